Feature: A gang that runs ends as a whole

  Leases are short here: 2 s from the start of a member until its whole gang is
  confirmed, 6 s afterwards, 2 s for the leadership.

  Scenario: A worker is partitioned during the run
    The network between the scheduler and one worker is partitioned. The member
    there can neither be observed nor stopped, and ends when its lease expires. The
    gang may start again elsewhere only after that.
    Given a protocol site of 3 workers
    When a protocol gang of 2 members runs for 8 s
    And all members of the protocol gang run
    And protocol worker 2 is partitioned
    Then the protocol gang ends as "done"
    And the protocol gang never ran partially for longer than 6 s
    And no protocol worker is overcommitted and no attempts overlap

  Scenario: A worker comes back after its gang was ended without it
    The partition heals after the scheduler has given the gang up, and before the
    lease of the member there has expired. As a worker's leases are renewed together,
    the first renewal would keep that one member running to its end.
    Given a protocol site of 3 workers
    When a protocol gang of 2 members runs for 14 s
    And all members of the protocol gang run
    And protocol worker 2 is partitioned
    And the protocol member on worker 1 has ended
    And protocol worker 2 is reachable again
    Then the protocol gang never ran partially for longer than 6 s after 11 s
    And no protocol worker is overcommitted and no attempts overlap

  Scenario Outline: A cancel races the start<also>
    A caller cancels a job at the very moment of its start<also>. Members that
    start after the cancellation would hold accelerators for nobody.
    Given a protocol site of 3 workers
    And protocol worker 2 answers after 0.8 s
    When a protocol gang of 2 members runs for 60 s
    And the protocol gang is cancelled<also> once worker 1 has a member <moment>
    Then the protocol gang ends as "failed"
    And no member of the protocol gang runs any more
    And the protocol gang never ran partially for longer than 2 s
    And no protocol worker is overcommitted and no attempts overlap

    Examples:
      | also                | moment  |
      |                     | held    |
      |                     | running |
      |  and its leader dies | running |
