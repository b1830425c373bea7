Feature: No gang runs partially

  Leases are short here: 2 s from the start of a member until its whole gang is
  confirmed, 6 s afterwards, 2 s for the leadership.

  Scenario: One member never starts
    A worker accepts its member of a gang and never runs it. The other member would
    run alone, and hold accelerators for a gang that can never end.
    Given a protocol site of 3 workers
    And protocol worker 1 never starts the tasks that it holds
    When a protocol gang of 2 members runs for 1 s
    Then the protocol gang ends as "done"
    And the protocol gang never ran partially for longer than 2 s
    And no protocol worker is overcommitted and no attempts overlap

  Scenario Outline: The leader is <how> while members are <moment>
    The leader fails after it has reserved, or started, one member and not the
    other. The member that started would run on alone, and the job would never
    continue.
    Given a protocol site of 3 workers
    And protocol worker 2 answers after 0.8 s
    When a protocol gang of 2 members runs for 4 s
    And the protocol leader is <how> once worker 1 has a member <moment>
    And protocol worker 2 answers after 0 s
    Then the protocol gang ends as "done"
    And the protocol leader that was <how> is back
    And the protocol gang never ran partially for longer than 2 s
    And no protocol worker is overcommitted and no attempts overlap

    Examples:
      | how    | moment  |
      | killed | held    |
      | killed | running |
      | frozen | held    |
      | frozen | running |

  Scenario: The leader of a job that must run once dies between start and confirm
    A job that must run once has started on one of its two workers when the leader
    dies. A second start could run it twice, so its caller learns that it may have
    run.
    Given a protocol site of 3 workers
    And protocol worker 2 answers after 0.8 s
    When a protocol gang of 2 members that must run once runs for 4 s
    And the protocol leader is killed once worker 1 has a member running
    Then the protocol gang ends as "unknown"
    And the protocol gang was attempted once
    And the protocol gang never ran partially for longer than 2 s
    And no protocol worker is overcommitted and no attempts overlap

  Scenario: The leader dies when one member runs and the other never will
    For twice as long as the lease of the running member lasts, no leader is there
    to end it. Only because that lease is short does the member not run alone, on
    accelerators that others wait for, until a successor is elected.
    Given a protocol site of 3 workers with leadership leases of 4 s
    And protocol worker 2 answers after 0.8 s and never starts
    When a protocol gang of 2 members runs for 6 s
    And the protocol leader is killed once worker 1 has a member running
    Then a protocol successor commands every worker within 8 s
    When protocol worker 2 answers after 0 s
    Then the protocol gang ends as "done"
    And the protocol gang never ran partially for longer than 2 s
    And no protocol worker is overcommitted and no attempts overlap
