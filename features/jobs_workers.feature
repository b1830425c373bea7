Feature: Bad workers, bad jobs and changing selectors

  Scenario: A worker that fails distinct jobs is tried again by a probe
    A worker fails every task that it starts, and is repaired without notice to the
    scheduler. If a quarantine never ended, the fleet would shrink with every repair.
    Given a jobs-world worker with failures of 3 distinct jobs
    Then the worker takes nothing new
    And after the quarantine it takes one probe and no second job beside it
    And a failed probe doubles the quarantine, and a success ends it

  Scenario: One bad job does not take healthy workers out of use
    Given a jobs-world worker with failures of 1 distinct jobs
    Then the worker is not in quarantine
    And a job that failed on 3 healthy workers is at fault, on quarantined ones not

  Scenario: A job that failed on three healthy workers ends with its reason
    A job fails on every worker. Unless it is ended, it is started for ever, and each
    start counts as a failure of a healthy worker.
    Given jobs-world workers in racks of 4
    When a queued job has failed on 3 of the jobs-world workers
    Then the job is ended as failed and placed nowhere

  Scenario: Work that its selector no longer allows is moved only by checkpoint
    Operators change a selector while two jobs run. The checkpointable one is moved;
    the other would lose its progress, so it runs to its end.
    Given a jobs-world with a checkpointable and a plain job running
    When the selector of both changes to workers elsewhere
    Then only the checkpointable job is moved and runs where it may
    And the plain job still runs where it was
