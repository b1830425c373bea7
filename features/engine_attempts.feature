Feature: Every failed run counts, and no task is started beyond its attempts

  Scenario: A gang's failure outlives the leader that read it
    One member of a gang fails, its end is stored and acknowledged, and the leader dies
    while the other member is still stopping. If the record had only completed runs, the
    successor would start the gang once more than its queue allows.
    Given a gang of 2 whole workers with 2 attempts is running
    When one member ends "failed", which becomes durable and is acknowledged
    And a successor reads the records before the other member has ended
    And the other member ends "broken" for the successor
    Then 1 attempt of the gang is used
    When the gang runs again and one member ends "failed"
    Then the gang's job is shown as "failed" and is planned no more

  Scenario: A failure that is listed after its run was aborted counts
    A worker is unreachable until its leases have expired, and the run is aborted. When
    the worker answers again, it lists the run as failed. If that end were ignored as
    outdated, the job would get one attempt too many.
    Given a gang of 2 whole workers with 2 attempts is running
    When the worker of one member is unreachable until its run has expired
    And it comes back and lists that the run had ended "failed"
    Then 1 attempt of the gang is used

  Scenario: A failure that a worker lists twice counts once
    A leader dies before an end is acknowledged, and the worker lists it again to the
    successor. If it counted twice, the job would fail with an attempt left.
    Given a gang of 2 whole workers with 2 attempts is running
    When both members end "failed", which becomes durable and is not acknowledged
    And a successor reads the records and both ends are listed to it again
    Then 1 attempt of the gang is used
    And the gang is planned again

  Scenario: The last attempt's failure ends a job that waits, also when it comes late
    Given a gang of 2 whole workers with 1 attempt is running
    When the worker of one member is unreachable until its run has expired
    And it comes back and lists that the run had ended "failed"
    Then the gang's job is shown as "failed" and is planned no more
