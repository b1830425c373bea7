Feature: What a leader spends grows with what happens, not with the square of the fleet

  Scenario: The entries of 3,000 workers are read before the leader's lease ends
    Guards against comparing each new entry with all workers: reading the listing then
    blocked leaders for longer than their lease, one after the other.
    When the entries of 300 and of 3,000 workers are read
    Then the larger fleet takes at most 30 times as long

  Scenario: A worker that takes over the address of one that is gone ends its runs
    Guards against an index that misses a worker which lost its entry.
    Given a task that runs on a worker whose entry is removed
    When another worker registers at the same address
    Then the task waits again, and the former worker is gone

  Scenario: A long pass is interrupted, and the next one comes to the other tasks
    Guards against a pass that blocks the leader for longer than its lease, and against
    tasks that fit and never get their turn behind those that do not.
    Given 20 workers, 10 urgent tasks too large for any of them, and then 10 small ones
    When passes are run that are interrupted after 6 tasks each
    Then all small tasks are planned by pass 4
    And the last pass ends by itself
