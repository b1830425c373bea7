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

  Scenario: A successor does not leave a member waiting for a worker that is silent
    Guards against a gang that is only partly started when its leader changes.
    Given a leader of 2 workers, all of whose answers take 0.01 s
    When the leader hands over while one start of a gang of 2 is lost, and the worker of that start is silent to the successor for 3 s
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
