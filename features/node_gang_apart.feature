Feature: No member of a gang runs for long without the others

  A worker ends a member that waits 3 s for the others. Its capacity is lost until then,
  and the gang starts again later.

  Scenario Outline: A member does not wait for orders that others are queued behind
    Guards against a gang whose other start waits in the queue of a busy worker.
    Given a leader of 2 workers, all of whose answers take <answer> s
    When a gang of 2 is submitted while one worker has <orders> to be sent first
    Then no member of the gang ends alone

    Examples:
      | answer | orders                             |
      | 0.3    | the starts of 12 tasks             |
      | 0.3    | the stops of 12 tasks              |
      | 0.01   | the starts of 4 tasks, which are lost |
      | 0.2    | an urgent start each 0.2 s |

  Scenario: A successor does not leave a member waiting for a worker that is silent
    Guards against a gang that is only partly started when its leader changes.
    Given a leader of 2 workers, all of whose answers take 0.01 s
    When the leader hands over while a start is lost, to a worker that is then silent for 3 s
    Then no member of the gang ends alone

  Scenario Outline: Work begins behind a slow link
    Guards against a leader that never claims a worker because its polls time out.
    Given a leader of 2 workers, all of whose answers take <answer> s
    When a gang of 2 is submitted to it
    Then the gang is done within 20 s

    Examples:
      | answer |
      | 0.6    |
      | 0.9    |
      | 1.2    |

  Scenario Outline: A gang begins with many members on each worker
    Guards against a gang that is aborted for ever as its own starts wait for each other.
    Given a leader of 2 workers, all of whose answers take <answer> s
    When a gang of 16 is submitted to it, 8 members for each worker
    Then the gang is done within 20 s
    And no member of the gang ends alone

    Examples:
      | answer |
      | 0.2    |
      | 0.3    |
      | 0.4    |

  Scenario: A gang of more members than orders may be in flight begins
    Guards against a gang that is aborted for ever as its own starts wait for a turn.
    Given a leader of one rack of 100 workers, whose answers take 0.9 s
    When a gang of 100 is submitted to it, one member for each worker
    Then the gang is done within 20 s

  Scenario: A successor of a killed leader does not leave a member waiting
    Guards against a member that has waited under the former leader for half of its time.
    When the leader is killed while a start is lost, to a worker that is then silent
    Then no member of the gang ends alone

  Scenario: A fault of any one call delays the others of a gang by little
    Guards against a call whose loss, delay or repetition leaves a member waiting.
    When each of the first 2 calls of each kind to each worker of a gang of 2 has a fault
    Then in each play no member waits for longer than 1.2 s, and the gang is done

  Scenario: A change of the leader at any time ends or completes a gang
    Guards against a gang of which the successor does not learn that it is incomplete.
    When the leader changes in each way at each of 6 times after a start with a fault
    Then in each play no member waits for longer than 2.9 s, and the gang is done

  Scenario: Gangs are completed through faults drawn at random
    Guards against tasks that run twice or never again after some order of events.
    When 30 plays of 6 jobs have faults, restarts, outages and changes of the leader
    Then in each play no task runs twice at once, and each job is done
