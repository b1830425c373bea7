Feature: Work is matched to workers of different speed

  Scenario: On a pool of equal workers decisions are those of best fit
    Guards against a strategy for heterogeneous pools that changes decisions on others.
    When 24 random loads are played on equal and unknown workers by both fits
    Then all decisions are the same, and there are at least 1000

  Scenario Outline: Work with slack leaves the fast workers to urgent work
    Load: variable demand on a pool of which a third is too slow for urgent work. Urgent
    work has a limit of 1.5 there, and was late on the slow worker.
    Given workers with the slowness <pool>
    When a job of <priority> with an objective of <stretch> times its run time arrives
    Then it is placed on the worker with <place>

    Examples:
      | pool                       | priority | stretch | place         |
      | 0.6, 1.0, 1.6              | 0        | 1.5     | 0.6           |
      | 0.6, 1.0, 1.6              | 2        | 3.0     | 1.6           |
      | 0.6, 1.0, 1.6              | 2        | 1.4     | 1.0           |
      | 0.6, 1.0, unknown          | 2        | 3.0     | 0.6           |
      | 0.6, 1.0, 1.6, unknown     | 0        | 1.5     | 0.6           |
      | 1.0, 1.6, unknown          | 0        | 1.5     | 1.0           |
      | 1.6, unknown, 0.6 doubtful | 0        | 1.5     | unknown       |
      | 0.6, 1.6 doubtful, unknown | 2        | 3.0     | unknown       |
      | 0.6, 1.6 doubtful          | 2        | 3.0     | 0.6           |

  Scenario: Tasks of one step are spread over unknown workers, so that these become known
    Given workers with the slowness 0.6, 1.0, 1.6, unknown, unknown
    When a job of 10 tasks with 1 accelerator and slack arrives
    Then its tasks are on 1.6 8 times and on each unknown worker once

  Scenario: A gang's rack is chosen by its slowest member there
    Guards against a rack that is the tightest fit and holds a slow worker: the gang
    would run at the pace of that one.
    Given racks of workers with the slowness 0.6, 1.6 and 1.0, 1.0, 1.0
    When a gang of urgent work asks for 2 whole workers of one rack
    Then it is placed on workers with 1.0 and 1.0

  Scenario Outline: Room is made on a fast worker if urgent work would be late elsewhere
    Load: a burst on a full pool. Only workers that are too slow for it are free.
    Given workers with the slowness 1.0, 1.6
    And a job with slack has run on the worker with 1.0 for <elapsed> s
    When a job of 0 with an objective of 1.5 times its run time arrives
    Then it is <decision>

    Examples:
      | elapsed | decision              |
      | 1.0     | given room on 1.0     |
      | 60.0    | placed at once on 1.6 |
