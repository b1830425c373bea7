Feature: One leader at a time, and none needed for what runs

  The leadership lease is 2 s here, so a successor is due within 4 s.

  Scenario: The leader is killed while a gang runs
    The VM that leads a failure domain fails. The running gang must not be affected:
    a successor takes it over before its leases expire.
    Given a protocol site of 3 workers
    When a protocol gang of 2 members runs for 9 s
    And all members of the protocol gang run
    And the protocol leader is killed
    Then a protocol successor commands every worker within 4 s
    And the protocol gang ends as "done"
    And the protocol gang was attempted once
    And no protocol worker is overcommitted and no attempts overlap

  Scenario: The leader is frozen past its lease and wakes beside its successor
    A VM is paused, for a migration, in the middle of its work. It resumes as if it
    still led, and could place a second gang on accelerators that its successor has
    allocated.
    Given a protocol site of 3 workers
    When a protocol gang of 2 members runs for 12 s
    And all members of the protocol gang run
    And the protocol leader is frozen
    Then a protocol successor commands every worker within 4 s
    When a protocol gang of 1 members runs for 2 s
    And the protocol leader that was frozen wakes
    Then the woken protocol leader has stepped down without a command
    And every protocol gang ends as "done"
    And the protocol gang was attempted once
    And no protocol worker is overcommitted and no attempts overlap

  Scenario: The answer to the election is lost
    The store makes a scheduler the leader, but its answer is lost. No other one can
    be elected while that key exists: unless the scheduler reads the key, the failure
    domain has no leader until the lease expires.
    Given a protocol site of 3 workers
    And the protocol store loses the answer to the next election
    When the protocol leader is killed
    Then a protocol successor commands every worker within 5 s
    When a protocol gang of 2 members runs for 1 s
    Then the protocol gang ends as "done"

  Scenario: A leader is told to stop in mid-placement
    An operator restarts the VM that leads while one gang runs and another is
    starting. Both continue under the successor, and neither starts again.
    Given a protocol site of 3 workers
    When a protocol gang of 2 members runs for 8 s
    And all members of the protocol gang run
    And protocol worker 3 answers after 0.8 s
    And a protocol gang of 1 members runs for 5 s
    And the protocol leader is told to stop once worker 3 has a member held
    Then a protocol successor commands every worker within 4 s
    And every protocol gang ends as "done"
    And the protocol gang was attempted once
    And no protocol worker is overcommitted and no attempts overlap

  Scenario: The store is down for everybody
    The store is unavailable for a while. Running gangs continue, an idempotent job
    still starts, a job that must run once waits, and every outcome is in the store
    after the outage.
    Given a protocol site of 3 workers
    When a protocol gang of 3 members runs for 7 s
    And all members of the protocol gang run
    And a protocol gang of 3 members runs for 3 s
    And a protocol gang of 1 members that must run once runs for 1 s
    And the protocol store is down
    Then all members of protocol job 2 run without the store
    And protocol job 3 has not started
    When the protocol store is up again
    Then every protocol gang ends as "done"
    And the protocol gang was attempted once
    And no protocol worker is overcommitted and no attempts overlap
