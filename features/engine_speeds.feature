Feature: Urgent work goes to workers that are fast

  Scenario: The speeds of workers are learned within half a minute of usual work
    A third of the workers take a fourth longer and a third a fifth less, and workers do
    not report their speed. An urgent job has half of its run time to spare: on a slow
    worker it is late although it started at once. Tasks of one step differ by 15%,
    declared times by a fifth.
    Given 9 workers that take 0.8, 1.0 and 1.25 times as long by turns
    When jobs of 6 tasks of 4 s run on them for 30 s
    Then each slow worker is known to be slower than each fast one

  Scenario: Declared times that are tenfold off make no worker look slow
    Some callers declare a tenth of the time that their tasks take, others twice as
    much. If that were attributed to the workers, urgent work would avoid good ones.
    Given 9 workers that take 1.0, 1.0 and 1.0 times as long by turns
    When jobs of 6 tasks of 4 s run on them for 30 s, declared tenfold off
    Then no worker is taken to be off by more than a fifth

  Scenario: A worker that is slow for a while is detected, and soon used again
    A worker is six times slower for some seconds: urgent work that is placed there is
    certainly late. When it is fast again it must not be avoided for long.
    Given 9 workers that take 1.0, 1.0 and 1.0 times as long by turns
    And jobs of 6 tasks of 4 s have run on them for 10 s
    When worker 4 takes 6.0 times as long for 8 s
    Then worker 4 is taken to be the slowest
    When it takes as long as before for 30 s
    Then worker 4 is taken to be off by less than a fourth

  Scenario: An urgent gang takes the fastest free workers
    Given 9 workers that take 0.8, 1.0 and 1.25 times as long by turns
    And jobs of 6 tasks of 4 s have run on them for 30 s
    And all of them have ended
    When an urgent gang of 3 whole workers arrives
    Then it is planned on the 3 fast workers

  Scenario: Work that is not urgent fills workers whatever their speed
    Whole workers stay free for large gangs only if small work goes where it leaves the
    least capacity. It has several times its run time to spare.
    Given 9 workers that take 0.8, 1.0 and 1.25 times as long by turns
    And jobs of 6 tasks of 4 s have run on them for 30 s
    And all of them have ended
    When 2 small jobs that are not urgent arrive
    Then they share a worker
