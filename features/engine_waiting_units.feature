Feature: A unit that waits is planned while there is room for it

  A unit avoids the workers on which it failed or stood still, and starts near its data
  if it can. Both are preferences.

  Scenario: A gang that needs every worker of a pool runs again where a member failed
    Guards against a gang that waits for ever because one worker is avoided.
    Given a gang of 3 that has the 3 workers of its pool to itself
    When one of its members fails, and nothing else is submitted
    Then the gang is planned again within 15 s

  Scenario: A gang that stood still on several workers runs again on an idle pool
    Guards against a gang that avoids so many workers that the others are too few.
    Given a gang of 3 that has the 6 workers of its pool to itself
    When it stands still 4 times, each time beside another worker
    Then the gang is planned again within 15 s

  Scenario Outline: A task that failed on the only worker near its data runs again
    Guards against a task that waits for ever for a rack on which it avoids each worker.
    Given a task of priority <priority>, near whose data there is one worker of 4
    When it fails there once, and nothing else is submitted
    Then the task is planned again within 15 s

    Examples:
      | priority |
      | 0        |
      | 1        |

  Scenario Outline: A task whose rack has no workers any more is planned elsewhere
    Guards against a task that waits for ever for workers that have left.
    Given a task of priority <priority>, near whose data there is no worker of 4
    When nothing else is submitted
    Then the task is planned again within 15 s

    Examples:
      | priority |
      | 0        |
      | 1        |

  Scenario: A task that avoids the only free worker is planned there
    Guards against a task that waits for ever for a worker that runs lasting work.
    Given a task that failed on one of 2 workers, the other of which runs lasting work
    When nothing else is submitted
    Then the task is planned again within 15 s

  Scenario: A task that avoids a free worker does not hold up the rest of its step
    Guards against tasks that wait for a worker that only an earlier one avoids.
    Given a step of 3 tasks, the first of which failed on the only free worker of 2
    When nothing else is submitted
    Then another task of the step is planned within 15 s
