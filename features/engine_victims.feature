Feature: No work is preempted for ever

  Scenario: Every heavy gang ends beside an endless stream of urgent work
    Load: bursts of small urgent jobs, every 2 to 5 s without end, that use all of an
    organisation's guarantee. Half of the pool is left, on which the gangs need 45 s if
    none of them loses work. Guards against one gang that is stopped for each of the
    jobs, although the first frees enough for all: most gangs then never ended.
    When bursts of urgent work use 4 of 8 workers, beside 10 heavy gangs of 2 to 4 workers
    Then with each of 12 seeds all gangs have ended within 135 s

  Scenario: Work that was lost counts in core-seconds
    Guards against counting a lost run of 20 s as one second of its cores.
    Given a gang that lost a run of 20 s, and one that lost a run of 1 s
    When both have run for 1 s
    Then stopping the first costs at least 19 s of its cores more

  Scenario: Room is made on as many workers as a limit on tasks per worker asks for
    Guards against two tasks of a step on a worker that may have one of them.
    Given 2 workers full of lower tasks of 1 accelerator
    When an urgent job of 4 single tasks comes, of which a worker may have 1 at a time
    Then each worker gets 1 of them, and no work is stopped for the others
    When these are done
    Then each worker gets 1 of the others
