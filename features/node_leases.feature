Feature: Leases that count as ended have ended

  Scenario: A start that the next life of a worker has carried out is counted
    Guards against starting a task elsewhere while its lease still runs there.
    Given a worker that starts again under its id
    When a start meant for its former life is carried out, and it falls silent then
    Then the task never runs twice at once, and is completed

  Scenario Outline: A leader that stands still grants no lease beyond its time
    Guards against a run that goes on after a successor has waited for its lease.
    Given a leader that stands still for 20 s after it has checked that it may <grant>
    When it sends that grant
    Then the lease ends within 10 s of the check

    Examples:
      | grant         |
      | start a task  |
      | renew a lease |

  Scenario Outline: A late start to a worker with a slow clock holds no longer lease
    Guards against a lease by a clock that was read long ago, beyond what is waited for.
    Given a worker with a clock that is 2 % slow, on which nothing ran for <idle_s> s
    When a start reaches it 11 s late, and the leader is gone and no other reaches it
    Then the task never runs twice at once, and is completed

    Examples:
      | idle_s |
      | 60     |
      | 600    |

  Scenario: A leader that stands still while it records when leases end is not early
    Guards against a record by which a successor starts a task while its lease runs.
    Given a worker that is out of reach, with a lease of 10 s more
    When its leader stands still for 20 s between any two readings of its clocks
    Then the record says that the lease ends in 10 s or later

  Scenario: A leader that stands still while it reads when leases end is not early
    Guards against starting a task while the lease that a former leader granted runs.
    Given a record that says that the lease of a worker ends in 10 s
    When a leader that stands still for 20 s between any two readings loads it
    Then it waits for 10 s or longer
