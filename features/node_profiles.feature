Feature: What a leader learns of its workers

  Scenario: A session polls a worker in time to measure it
    Guards against a decision of the core that no poll follows.
    Given an urgent task of 2 s that runs on a worker of which nothing is known
    Then the poll of its session waits between 0.8 and 1.2 s

  Scenario: A successor starts with what the former leader has learned
    Guards against urgent work that is late because each new leader learns anew.
    Given a leader that has learned the speeds of 30 workers
    When it has written for 6 s and a successor reads the record
    Then the successor knows the workers as the leader does

  Scenario: Records are written seldom, and only if something has changed
    Each write is billed, and fills the link of a small VM.
    Given a leader that has learned the speeds of 30 workers
    When it has written for 21 s while it learns
    Then the record was written between 3 and 5 times
    When it has written for 21 s
    Then the record was written at most once more

  Scenario: Records of jobs go first
    Given a leader that has learned the speeds of 30 workers
    And a job whose record waits
    When it has written for 6 s
    Then no record was written

  Scenario: An outage of the store costs nothing but the record
    Given a leader that has learned the speeds of 30 workers
    And the store is down
    When it has written for 7 s
    Then no record was written
    When the store answers again
    And it has written for 6 s
    Then the successor knows the workers as the leader does

  Scenario: A write whose answer was lost is followed by another one
    Guards against a leader that never writes again because the revision is not its own.
    Given a leader that has learned the speeds of 30 workers
    And the answer to its first write is lost
    When it has written for 12 s
    Then the record was written between 1 and 2 times

  Scenario: A former leader writes nothing
    Given a leader that has learned the speeds of 30 workers
    And another node leads
    When it has written for 6 s
    Then no record was written
    And its term is to end

  Scenario Outline: A record that cannot be used is left out and replaced
    Given a leader that has learned the speeds of 30 workers
    And the record in the store is <what>
    When it reads the record and has written for 6 s
    Then the successor knows the workers as the leader does

    Examples:
      | what               |
      | not readable       |
      | of another version |
      | empty              |

  Scenario Outline: A new leader does not wait long for the record
    Guards against a term that is delayed, or ended, by what it can do without.
    Given a leader that has learned the speeds of 30 workers
    And it has written for 6 s
    When a successor loads while the record is read <how>
    Then it is ready within <within> s, and knows <known> workers

    Examples:
      | how                 | within | known |
      | as fast as the rest | 0.1    | 30    |
      | 5.0 s later         | 0.2    | 0     |

  Scenario: The record of a large fleet is small
    Then the record of 3000 workers has at most 40 bytes for each
