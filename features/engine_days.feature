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

  Scenario: Days and planners are named in the command's table
    When "evaluate_days --days=small_pool --planners=first_come --day_seeds=1" is run
    Then it prints a row for "small_pool" and "first_come" with 11 more columns
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
