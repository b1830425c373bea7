Feature: A task runs once, even if its orders are lost or late

  Scenario: Nothing is sent before it is durable
    A leader that dies right after sending a start order would leave a run that its
    successor does not know. The successor would start the task again, and the caller
    would get two conflicting results.
    Given an engine with 2 workers of 8 accelerators
    When job "a" of 1 task with 8 accelerators is submitted and planned
    Then no start is sent
    When what has changed becomes durable
    Then 1 start is sent

  Scenario: A task that lasts is started again when it ends as done
    Guards against a service that is shown as completed although nobody cancelled it.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task that lasts is running
    When "a" ends as done
    Then "a" is planned again under run 2

  Scenario: A start without an answer is stopped and waited for before the next
    The answer to a start order is lost, or the worker carries it out seconds later.
    If the task were started elsewhere at once, it would run twice at the same time.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When the start of "a" gets no answer
    Then "a" is ordered to stop and holds its capacity
    When a poll sent before the stop was answered does not list "a"
    Then "a" holds its capacity
    When the stop of "a" is answered and a later poll does not list it
    Then "a" is planned again under run 2

  Scenario: A run that cannot be reached is not started again before its lease ends
    A worker is partitioned from the leader, and its tasks continue. Until the longest
    lease that may have reached it has expired, the task may still run there.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 9 seconds
    Then "a" is still running as far as the engine knows
    When its worker is unreachable for 13 seconds
    Then "a" waits for its next run

  Scenario: A worker's new incarnation proves that the runs of the last one are over
    A worker crashes and another incarnation answers at its address.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When another incarnation answers for its worker
    Then "a" waits for its next run

  Scenario: A gang of which one member is rejected ends and starts as a whole
    One worker rejects its member of a gang. The other members would otherwise wait for
    it, hold their accelerators, and end by themselves.
    Given an engine with 2 workers of 8 accelerators
    And job "g" of a gang of 2 tasks with 8 accelerators is started
    When one member of "g" is rejected and the other accepted
    Then the accepted member of "g" is ordered to stop
    When the end "stopped" of that member is listed
    Then "g" is planned again under run 2

  Scenario: An end is acknowledged and shown only when it is durable
    If a leader acknowledged the end of a run and died before storing it, the worker
    would have dropped the end, and the successor would run the finished job again.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    Then "a" is shown as "running" and its end is not acknowledged
    When what has changed becomes durable
    Then "a" is shown as "completed" and its end is acknowledged

  Scenario: An end waits for its record also when its worker's entry expires meanwhile
    In a store outage the entries of workers expire while an end that was read is not
    stored yet. The worker registers again and lists the end again. It matched no run
    any more and was acknowledged at once; a successor, whose records did not have it,
    ran the finished job again.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    And its worker's entry expires and comes back, and the end is listed again
    Then "a" is shown as "running" and its end is not acknowledged
    When what has changed becomes durable
    Then "a" is shown as "completed" and its end is acknowledged

  Scenario Outline: A successor counts a job as pending unless a task may have begun
    Guards against a queue that is shown as shorter than it is after a change of leaders.
    Given an engine with 1 worker of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When the worker <answers> the start, and a successor reads the records
    Then the successor counts <count> pending

    Examples:
      | answers | count |
      | refuses | 1     |
      | accepts | 0     |

  Scenario: A successor polls the workers before it starts anything again
    The leader dies while a task is running. Its successor reads that the task is on a
    worker, and may not start it elsewhere before that worker has answered.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When a successor loads what was durable
    Then "a" is not planned by the successor
    When the worker tells the successor that "a" is at 40 per cent
    Then the successor shows "a" as "running" with one run

  Scenario: A successor waits no longer for a lost worker than its last lease lasts
    A worker disappears, and its leader dies while waiting for the lease to expire. The
    successor does not know when the lease was granted. If it counted from its own
    start, the job would wait for half a minute beside idle workers.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 9 seconds
    And a successor loads what was durable at second 9
    And the successor finds the worker unreachable for 5 seconds
    Then "a" waits for its next run

  Scenario: A lease is granted again only when the record of its expiry is updated
    A worker is reachable again after a partition. The records say that its runs end
    soon: if the leader renewed the lease and died, the successor would start the tasks
    a second time.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 3 seconds
    And what has changed becomes durable
    And its worker answers again
    Then no lease may be sent to it
    When what has changed becomes durable
    Then a lease may be sent to it

  Scenario: A run that starts after it was aborted is stopped and holds its capacity
    A start order is carried out seconds late, after the next run has started. This
    orphan would exceed its worker's capacity and do the work twice.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When a worker lists a run of "a" that the engine does not know
    Then that run is ordered to stop
    And nothing else is placed on that worker

  Scenario: A job fails only after its last attempt, and by failed ends alone
    A task is preempted and later fails through its own fault. Only failures count as
    attempts; otherwise its caller would be told too early that the job has failed.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators and 2 attempts is running
    When "a" ends as "stopped", and then as "failed", each time started again
    Then "a" is shown as "running"
    When "a" ends as "failed" once more
    Then "a" is shown as "failed"

  Scenario: A cancelled job is stopped at once and never started again
    A caller cancels while its job is being started. All of its runs must be stopped, and
    no later pass may start it.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When "a" is cancelled
    Then "a" is ordered to stop and holds its capacity
    And no pass plans "a" again

  Scenario: A completed job stays completed while the rest of its gang ends
    The end "done" of one member completes a gang, so its job is shown as completed. The
    job was shown as running again when the ends of the other members arrived, until
    they were stored too.
    Given an engine with 2 workers of 8 accelerators
    And job "g" of a gang of 2 tasks with 8 accelerators is started
    When both members of "g" are accepted, and the end "done" of one is listed
    And what has changed becomes durable
    Then "g" is shown as "completed"
    When the end "done" of the other member is listed
    Then "g" is shown as "completed"
    When "g" is cancelled
    Then "g" is shown as "completed"

  Scenario: A cancelled job is never shown as running again
    A node that cannot reach the leader reads the record of the cancellation and shows
    the job as cancelled. The leader, whose own write waited for a slow store, then
    showed it as running.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When "a" is cancelled
    Then "a" is shown as "cancelled"

  Scenario: A cancellation takes precedence over an outcome that nobody has seen
    The job's last task ends while its cancellation is on its way to the leader. Nodes
    that read the records show it as cancelled, and the leader must not contradict them.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    And "a" is cancelled
    Then "a" is shown as "cancelled"
    When what has changed becomes durable
    Then "a" is shown as "cancelled"

  Scenario: A cancellation that arrives before its job is remembered
    The leader may read the two records in any order. If it dropped the cancellation,
    it would run a job that its caller was told is cancelled.
    Given an engine with 2 workers of 8 accelerators
    When "a" is cancelled and "a" arrives after
    Then no pass plans "a" again

  Scenario Outline: Capacities, run numbers and gangs are respected in any order of events
    Orders are accepted, rejected, lost or late, workers disappear and return, jobs are
    cancelled, leaders change. Workers that do not check their capacity start whatever
    is ordered: if the leader miscounts, tasks run out of memory.
    When <events> random events reach an engine and its workers, seed <seed>
    Then no worker is ever over its capacity
    And no task ever runs twice at once or after it is done
    And every order carries a higher run number than the last one of its task
    And no member of a gang starts under an older run than the other members
    And no task starts whose attempts are used up

    Examples:
      | events | seed |
      | 1500   | 1    |
      | 1500   | 2    |
      | 1500   | 3    |
      | 1500   | 4    |

  Scenario Outline: No task is started beyond its attempts through any order of events
    The same events, but every other job fails in each run. If a failure were lost with
    its leader or worker, the job would start once too often: it would take capacity from
    others, and its caller would learn of the failure later.
    When <events> random events reach an engine with jobs that always fail, seed <seed>
    Then no worker is ever over its capacity
    And no task ever runs twice at once or after it is done
    And no task starts whose attempts are used up

    Examples:
      | events | seed |
      | 1500   | 31   |
      | 1500   | 36   |
      | 1500   | 51   |

  Scenario: Generated histories respect capacities, runs and gangs
    The same events as above, drawn by a property-testing library that finds rare
    combinations and can shrink a failing history. Guards against tasks that run twice
    or not at all.
    When hypothesis draws 200 histories of 120 events
    Then each history respects capacities, runs and gangs
