Feature: Waiting, preemption and placement

  Scenario: An urgent gang waits for its rack rather than spread at once
    A burst of urgent gangs fills one rack. Spread over two racks, a gang takes three
    times as long, is late itself, and holds accelerators that the next gangs need.
    Given an engine with 2 racks of 2 workers
    And urgent gangs of other organisations hold 1 worker of each rack
    When an urgent gang of 2 whole workers that wants one rack arrives
    Then it is not planned
    When the urgent gang in one rack ends
    Then it is planned on the workers of that rack

  Scenario: A guaranteed gang takes any racks before its time is over
    Guaranteed work must start within seconds, even if it then runs more slowly.
    Given an engine with 2 racks of 2 workers
    And organisation "owner" is guaranteed 16 accelerators
    And urgent gangs of other organisations hold 1 worker of each rack
    When an urgent gang of 2 whole workers of "owner" that wants one rack arrives
    Then it is not planned
    When 1.8 seconds have passed
    Then it is planned on workers of both racks

  Scenario: A guaranteed gang is spread while there is time to make room for it
    Guards against room that a leader behind a full link makes too late for a guarantee.
    Given an engine with 2 racks of 2 workers
    And organisation "owner" is guaranteed 16 accelerators
    And urgent gangs of other organisations hold 1 worker of each rack
    And lower work holds the other workers
    When an urgent gang of 2 whole workers of "owner" that wants one rack arrives
    Then no lower work is stopped
    When 1.3 seconds have passed
    Then all lower work is stopped for it

  Scenario: A gang larger than any rack is spread at once
    Given an engine with 2 racks of 2 workers
    When a gang of 3 whole workers that wants one rack arrives
    Then it is planned on workers of both racks

  Scenario: Urgent work that can be in time goes before urgent work that is late
    A burst of urgent jobs exceeds the capacity. In order of arrival, each would wait
    behind jobs that are already late, and all would be late.
    Given an engine with 1 rack of 1 worker
    And urgent whole-worker jobs arrived 6, 5 and 0 seconds ago
    When a pass is made
    Then the job that arrived 0 seconds ago is planned
    When that job ends and a pass is made
    Then the job that arrived 6 seconds ago is planned

  Scenario: Very late urgent work is not put off for ever
    Given an engine with 1 rack of 1 worker
    And urgent whole-worker jobs arrived 60, 5 and 0 seconds ago
    When a pass is made
    Then the job that arrived 60 seconds ago is planned

  Scenario Outline: Lower work that can be in time goes before lower work that is late
    More heavy jobs arrive than fit. In order of arrival, each would wait behind jobs that
    are already late, and all would be late.
    Given an engine with 1 rack of 1 worker
    And whole-worker jobs of priority <priority> arrived 8, 7 and 0 seconds ago
    When a pass is made
    Then the job that arrived 0 seconds ago is planned
    When that job ends and a pass is made
    Then the job that arrived 8 seconds ago is planned

    Examples:
      | priority |
      | 1        |
      | 2        |

  Scenario: Very late lower work is not put off for ever
    Given an engine with 1 rack of 1 worker
    And whole-worker jobs of priority 1 arrived 60, 7 and 0 seconds ago
    When a pass is made
    Then the job that arrived 60 seconds ago is planned

  Scenario: Urgent work stops the work that loses least
    Young work and work with checkpoints lose little when stopped; work that is almost
    done, or a wide gang, loses much.
    Given an engine with 1 rack of 3 workers
    And whole-worker jobs are running: "old" for 8 s, "saving" for 8 s, "young" for 3 s
    When an urgent job of 1 whole worker arrives
    Then only "saving" is stopped for it

  Scenario: A small urgent job does not break a large gang beyond its guarantee
    A gang over many workers has run for some seconds. Preempting it for one small job
    loses more work than the job is worth, and both end late.
    Given an engine with 1 rack of 8 workers
    And a gang of 8 whole workers has been running for 8 s
    When an urgent job of 1 task with 1 accelerator arrives
    Then nothing is stopped for it

  Scenario: A guarantee is reclaimed whatever it costs
    Cheaper capacity often becomes free within a second, and the work that a large gang
    would lose is worth many urgent jobs. But guaranteed work must still start within
    the guaranteed time.
    Given an engine with 1 rack of 8 workers
    And organisation "owner" is guaranteed 16 accelerators
    And a gang of 8 whole workers has been running for 8 s
    When an urgent job of 1 task with 1 accelerator of "owner" arrives
    Then nothing is stopped for it
    When 0.65 seconds have passed
    And a pass is made
    Then nothing is stopped for it
    When 0.1 seconds have passed
    And a pass is made
    Then the gang is stopped for it, and it is planned when the capacity is free

  Scenario: A guarantee is reclaimed at once where little is lost
    Given an engine with 1 rack of 8 workers
    And organisation "owner" is guaranteed 16 accelerators
    And whole-worker jobs are running: "old" for 8 s, "saving" for 8 s, "young" for 3 s
    And 5 whole-worker jobs of 3 s fill the rest
    When an urgent job of 1 task with 1 accelerator of "owner" arrives
    Then only "saving" is stopped for it

  Scenario: A stream of small tasks does not starve a large gang
    Small tasks arrive all the time, and each takes the capacity that an earlier one
    frees. The gang waits for whole workers, which are never free at the same time.
    Given an engine with 1 rack of 4 workers
    When small tasks of 4 s arrive every 0.25 s, and a gang of 4 whole workers at 5 s
    Then the gang starts within 15 s of its arrival
    And small tasks go on being started after it

  Scenario: Small tasks leave whole workers free
    Given an engine with 1 rack of 4 workers
    When 16 jobs of 1 task with 1 accelerator arrive
    Then they are placed on 2 workers

  Scenario Outline: Work moves off a worker that leaves before it can be done
    Workers are replaced one by one. Work that still runs on a worker when it leaves is
    lost, and counts as lost only when its lease has expired, ten seconds later.
    Given an engine with 1 rack of 2 workers
    And a job that <saves> its progress and takes 10 s has worked for 2 s
    When its worker says that it leaves in <leaves> s
    Then the job is <moved>

    Examples:
      | saves | leaves | moved     |
      | saves | 5.0    | not moved |
      | saves | 0.5    | moved     |
      | loses | 5.0    | moved     |
      | loses | 7.5    | not moved |

  Scenario Outline: Workers that fail everything get no work, but a pool is never shut
    Jobs that are sent to a faulty worker use up their attempts. When most workers fail
    jobs, the jobs are at fault, and quarantining all workers would stop all work.
    Given an engine with 1 rack of 6 workers
    When 2 jobs have failed on each of <bad> workers
    Then a new job of each worker's size is placed on <used> workers

    Examples:
      | bad | used |
      | 2   | 4    |
      | 6   | 6    |

  Scenario: A burst over a full fleet with mixed sizes serves urgent work in time
    Urgent, heavy and small jobs ask for twice the capacity at once.
    Given an engine with 3 racks of 4 workers
    When heavy and small jobs for twice the capacity arrive, and an urgent gang each second
    Then 9 in 10 urgent gangs start within 1 s
    And all jobs end at last

  Scenario: Work that saves its progress loses no more by a stop than the settings say
    A task with checkpoints saves one when it is stopped, however old the last one is.
    A leader that assumes a fixed loss overestimates the cost where workers restore
    fast, and preempts young work instead, which is lost.
    Given an engine with 1 rack of 2 workers
    And whole-worker jobs are running: "saving" for 8 s, "young" for 0.4 s
    When an urgent job of 1 whole worker arrives
    Then only "saving" is stopped for it
