Feature: Running work that falls behind is moved to faster workers

  Scenario Outline: A worker becomes several times slower
    Load: workers that become 6.5 times slower for seconds. Work there ends late, and a
    whole gang waits for its slowest member.
    Given <workers> workers, of which the first runs a task of 10 s that <saves>
    When the task has done <done> per cent in time and its worker is <slowness> times slower
    Then the task is <decision>

    Examples:
      | workers | saves | done | slowness | decision                        |
      | 2       | saves | 50   | 6.5      | moved and avoids its worker     |
      | 2       | saves | 50   | 1.3      | not moved                       |
      | 2       | saves | 97   | 6.5      | not moved                       |
      | 1       | saves | 50   | 6.5      | not moved                       |
      | 2       | loses | 20   | 6.5      | moved and avoids its worker     |
      | 2       | loses | 90   | 6.5      | not moved                       |

  Scenario: A pool that slows down as a whole goes on with most of its work
    Guards against stopping everything when the estimates of many workers change.
    Given 40 workers, of which the first 12 run a task of 10 s that saves
    When each task has done 50 per cent in time and its worker is 6.5 times slower
    Then 4 tasks are stopped

  Scenario: A job is moved twice at most
    Guards against moving work for ever that is slow by itself.
    Given 8 workers, of which the first runs a task of 10 s that saves
    When whichever worker has the task is 6.5 times slower, 5 times
    Then the task was moved 2 times
