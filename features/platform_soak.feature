Feature: Promises hold while everything misbehaves

  Scenario Outline: A seeded soak of overlapping faults breaks no promise
    Nodes are killed, stopped, suspended and reloaded. Their links to the store and to
    workers are delayed, stalled in one or both directions or reset. The store and the
    workers lose answers and carry out calls late. Clients keep their connections and
    repeat submissions with an unknown outcome. The soak finds jobs that are lost, that
    run twice or that run after they were rejected.
    When the soak runs with seed <seed> for <length> s
    Then no promise was broken

    Examples:
      | seed | length | why it is kept                                                   |
      | 1    | 8      | a gang of the stand-ins ended in parts                           |
      | 2    | 8      | the short run of every check                                     |
      | 116  | 12     | a later leader showed a cancelled job as running                 |
      | 231  | 12     | a completed job was shown as running while its gang ended        |

  Scenario: A soak with jobs for a queue with advice breaks no promise
    The advice service falls silent, is busy or refuses a worker, while leaders are lost.
    Guards against jobs that are called "not run" and run, and against tickets of a
    former leader or of another incarnation of a worker.
    When the soak runs with seed 400 for 10 s, half its jobs advised
    Then no promise was broken

  Scenario: A soak over three failure domains breaks no promise
    A node that reaches neither another domain nor the store rejects its callers. For a
    moment, suspended peers and a silent store look like that: a job that was rejected
    as "not run" then must not have run.
    When the soak runs with seed 300 for 10 s in 3 failure domains
    Then no promise was broken

  Scenario: A soak with workers that restart under their ids breaks no promise
    Two to four of eight workers restart at one moment, every second one under its id,
    while jobs have dozens of small tasks.
    Guards against tasks that start again after they ended as done, as the ends of a
    worker's next life were taken for those of its former one.
    When the soak runs with seed 9001 for 12 s, half its workers keeping their ids
    Then no promise was broken
