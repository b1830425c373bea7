Feature: Only failures use a job's attempts up

  Scenario: A job is preempted again and again
    Every night an organisation reclaims its guaranteed shape, and the job that
    borrowed it is preempted. If each preemption counted as a failure, the job would
    end as failed although nothing went wrong with it.
    Given a protocol job that may fail once
    When the protocol job is preempted 3 times
    Then the protocol job waits in the queue with 0 failures
    When a member of the protocol job fails 1 times
    Then the protocol job waits in the queue with 1 failures
    When a member of the protocol job fails 1 times
    Then the protocol job has ended as "failed"

  Scenario: A gang that needs every worker comes back to one that failed it
    On a site of two workers a gang needs both, and one of them fails it once. If
    the job avoided that worker without an end, it would wait for ever.
    Given a protocol job that may fail once
    When a member of the protocol job fails and its worker is avoided for 0.2 s
    Then the protocol job may use every worker again
