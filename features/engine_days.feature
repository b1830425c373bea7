Feature: Simulated days of jobs on the scheduling core

  Scenario: Urgent work is in time on a full pool, far more often than by backfilling
    A pool of four racks is full of lower-priority work when a burst of urgent gangs
    arrives. Without preemption, urgent work would wait for overnight jobs to end.
    When the day "small_pool" is played with seeds 1 and 2 by "engine" and "easy_backfill"
    Then "engine" serves at least 0.9 of the urgent work's worth
    And "engine" earns at least 1.2 times what "easy_backfill" earns
    And every job that "engine" started has ended

  Scenario: The same day gives the same outcome
    Two planners can be compared only if the simulation is deterministic.
    When the day "small_pool" is played with seeds 3 and 3 by "engine" and "engine"
    Then all outcomes are the same

  Scenario: The work of lost workers is done on others
    One worker in ten disappears without notice on a full day.
    When the small pool loses 5 of its workers at 8 s, with seed 4
    Then every job has ended, and lost work is counted

  Scenario: Work that saves its progress goes on where it was stopped
    Only the work since the last checkpoint is repeated. If all of its work counted as
    lost, stopping it would seem as expensive as stopping work without checkpoints.
    Given a day of one worker, on which saved work of 10 s is stopped at 4 s for 2 s
    When the day is played by "engine"
    Then the saved work ends within 13 s of its arrival, and nothing was lost

  Scenario Outline: A fault has its effect on a run, and is named as its delay
    Days with faults decide between ways of planning. They would mislead if a fault had
    no effect, if a run were lost with its leader, or if another cause were named.
    When a day of one job of 10 s on two workers is played, on which <fault>
    Then the job takes <least> s to <most> s, most delayed by: <cause>
    And <runs> runs were started, and <lost> work was lost

    Examples:
      | fault                                    | least | most | runs | lost | cause               |
      | w000 is 6.5 times slower from 4 s to 6 s | 11.7  | 11.9 | 1    | no   | slow worker         |
      | w000 fails all that it starts until 2 s  | 10.2  | 20.5 | 2    | some | failed run          |
      | w000 leaves at 5 s, as it says at 2 s    | 12.1  | 13.5 | 2    | some | preempted or lost   |
      | w000 is lost at 2 s                      | 12.0  | 12.3 | 2    | some | preempted or lost   |
      | the store is away from -1 s to 3 s       | 13.0  | 16.2 | 1    | no   | store away          |
      | the store is away from 8 s to 12 s       | 12.0  | 12.1 | 1    | no   | store away          |
      | there is no leader from 4 s to 9 s       | 10.0  | 10.2 | 1    | no   | waited for capacity |
      | there is no leader from 8 s to 12 s      | 12.0  | 12.1 | 1    | no   | leader away         |

  Scenario: A job that its caller cancels is stopped, and counts neither way
    If cancelled jobs counted, a planner would gain by ending them before their cancel.
    When a job of 10 s on one worker is cancelled at 2 s, with another behind it
    Then the other one has ended by 13 s, and only its worth counts

  Scenario: Arrivals and organisations of the second deployment are as uneven as there
    A day of constant rates and equal organisations is never short for a moment, nor for
    one organisation, so that it cannot show who bears a shortage.
    When the day "varied" is drawn with seeds 1 to 20
    Then its busiest seconds of 13 have at least 2 times the arrivals of its quietest
    And its three largest organisations have 0.45 to 0.6 of the jobs
    And 0.2 to 0.4 of its small jobs have a second step

  Scenario Outline: Simulated days rank known pairs of planners as whole days do
    Days decide which of two planners is better before whole days are played. They would
    mislead if they did not show what whole days have shown.
    When the day "<day>" is played with seeds 1, 2 and 3 by "<better>" and "best_fit"
    Then "<better>" earns at least <factor> times what "best_fit" earns
    And its worst windows earn at least <windows> more than those of "best_fit"

    Examples:
      | day          | better                  | factor | windows |
      | small_uneven | known_speeds_slow_first | 1.05   | 0.03    |
      | small_uneven | wide_speeds_slow_first  | 1.03   | 0.0     |

  Scenario: Late work last earns more than the order of arrival under overload
    When the day "small_overload" is played with seeds 1, 2 and 3 by "late_last" and "arrival_order"
    Then "late_last" earns at least 1.02 times what "arrival_order" earns
    And its worst windows earn at least 0.03 more than those of "arrival_order"

  Scenario: Days and planners are named in the command's table
    When "evaluate_days --days=small_pool --planners=first_come --day_seeds=1" is run
    Then it prints a row for "small_pool" and "first_come" with 17 more columns
    When "evaluate_days --days=small_pool --planners=first_come --day_seeds=1 --format=json" is run
    Then it prints JSON with the same columns, and the share of each seed
    When "evaluate_days --planners=nobody" is run
    Then it fails and names "nobody" and "easy_backfill"

  Scenario Outline: A pass with caches decides as one without
    A full pool has a thousand tasks, and each waiting gang needs the remaining times of
    all of them; thousands of similar tasks wait, and each checks the free capacity of
    all workers. A stale cache would send gangs to the wrong workers, or leave work
    waiting beside free capacity.
    When "<day>" is played with seed <seed>, with and without the caches of passes
    Then both outcomes are the same

    Examples:
      | day            | seed |
      | small_pool     | 1    |
      | small_pool     | 5    |
      | small_overload | 2    |
