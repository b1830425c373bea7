Feature: A task that crashes its workers is given up, and no other job with it

  After three workers have crashed under a task it may be started twice more: five starts.

  Scenario: A task that crashes each worker is given up
    Guards against a task that is started without end, as a crash lists no failed run.
    Given 6 workers, and a job that crashes each worker 0.01 s after its start
    When the job is submitted and 40 s pass
    Then the job is shown as "failed" after at most 5 starts

  Scenario Outline: It is given up wherever in its run the worker crashes
    Guards against charging only crashes that show themselves in one way.
    Given 6 workers, and a job that crashes each worker <after> s after its start
    And crashed workers come back <down> s later
    When the job is submitted and <seconds> s pass
    Then the job is shown as "failed" after at most 5 starts

    Examples:
      | after | down | seconds |
      | 0     | 3.3  | 40      |
      | 0.01  | 0.1  | 40      |
      | 0.01  | 14   | 90      |
      | 2.5   | 3.3  | 50      |

  Scenario Outline: The crashes that are charged outlive the leader
    Guards against a task that a successor starts as often again.
    Given 6 workers, and a job that crashes each worker 0.01 s after its start
    When the job is submitted and the leader is <how> <wait> s after each of its starts
    Then the job is shown as "failed" after at most 5 starts

    Examples:
      | how         | wait |
      | killed      | 0.02 |
      | killed      | 1    |
      | killed      | 3.6  |
      | handed over | 1    |
      | handed over | 3.6  |
      | cut off     | 1    |

  Scenario: Callers hear of the failure as soon as the last crash is known
    Guards against a job that is shown as running until its other tasks have stopped.
    Given 6 workers, and a job that crashes each worker 2.5 s after its start
    When the job is submitted as a gang of 2, whose other member is silent in run 3
    Then it is shown as "failed" within 0.1 s of the loss of the last worker

  Scenario: A gang of which one member crashes its worker is given up
    Guards against counting only tasks that run by themselves.
    Given 6 workers, and a job that crashes each worker 0.01 s after its start
    When the job is submitted as a gang of 3 and 60 s pass
    Then the job is shown as "failed" after at most 5 starts

  Scenario Outline: A sound job whose workers go for other reasons is done
    Guards against taking workers that leave, or are cut off, for crashed ones.
    Given 6 workers, and a sound job of 8 s
    When its worker <goes>, 2.5 s after its start, 4 times, and 120 s pass
    Then the job is done

    Examples:
      | goes                                    |
      | drains and leaves                       |
      | is cut off and restarts behind the cut  |
      | is cut off until its lease has expired  |
      | drains and leaves as the leader changes |

  Scenario: A sound job under which two workers crash by chance is done
    Guards against giving up a job that runs alone on workers that crash by chance.
    Given 6 workers, and a sound job of 8 s
    When its worker crashes, 2.5 s after its start, 2 times, and 120 s pass
    Then the job is done

  Scenario: Other jobs lose work once at most to a task that crashes its workers
    Guards against placing a suspected task, and what it met before, on one worker again.
    Given 16 workers of 8 accelerators, a third used by sound jobs of 1 accelerator for 4 s
    When 4 jobs that crash each worker 0.01 s after their start come 1.5 s apart
    Then each of them is shown as "failed" after at most 5 starts
    And from its second start on nothing else runs on the workers that it crashes
    And each sound job is done

  Scenario: A suspected task does not wait for an idle worker for ever
    Guards against a job without an answer, as no worker ever becomes idle.
    Given 4 workers of 8 accelerators, each used by a sound job of 5 accelerators for 40 s
    When 1 job that crashes each worker 0.01 s after their start comes
    Then each of them is shown as "failed" after at most 5 starts
    And each sound job is done

  Scenario: Sound jobs are done beside workers that keep crashing by themselves
    Guards against charging jobs with the crashes of a worker that goes down and up.
    Given 6 workers, and a sound job of 3 s
    When 24 such jobs come 0.7 s apart, while 3 workers are 0.8 s up and 0.8 s down in turn
    Then each sound job is done

  Scenario: Sound jobs that come while workers have no power are done
    Guards against giving up jobs that never began, as their starts went to such workers.
    Given 24 workers, and a sound job of 3 s
    When the workers are without power for 0.4 to 1.4 s, and 12 such jobs come meanwhile
    Then each sound job is done

  Scenario: No crash is missed, nor charged to a sound job, in faults drawn at random
    Guards against more starts than allowed, or a sound job given up, by other events.
    When 8 plays of 24 jobs, of which 3 crash their workers, are drawn from seed 300 on
    Then each crashing task is started 5 times at most, and each sound job is done

  Scenario Outline: Workers that restart under their ids run no task twice
    Guards against taking the next incarnation of a worker for the former one.
    When a play of 24 jobs, of which 3 crash their workers, is drawn from seed <seed>, with workers that keep their ids
    Then each crashing task is started 5 times at most, and each sound job is done
    And no task runs twice at the same time

    Examples:
      | seed |
      | 0    |
      | 6    |
      | 22   |
      | 47   |

  Scenario Outline: The random plays that failed once pass
    Guards against <what>.
    When 1 plays of 24 jobs, of which 3 crash their workers, are drawn from seed <seed> on
    Then each crashing task is started 5 times at most, and each sound job is done

    Examples:
      | seed | what                                                               |
      | 142  | taking a worker for cut off because one poll of it was lost        |
      | 172  | clearing a task of so many crashes that it is started a sixth time |
      | 209  | giving up a job for crashes that others have caused                |
      | 234  | taking a worker that crashes while it drains for one that has left |
      | 248  | taking a worker for cut off because one poll of it was lost        |
      | 259  | starting a job beside the cause of its first crashes again         |
