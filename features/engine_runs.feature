Feature: A task runs once, whatever becomes of the orders for it

  Scenario: Nothing is sent before it is durable
    A leader that dies right after sending a start would leave a run behind that
    its successor knows nothing of. The successor would start the task again, and
    a coach would get two conflicting plans.
    Given an engine with 2 workers of 8 accelerators
    When job "a" of 1 task with 8 accelerators is submitted and planned
    Then no start is sent
    When what has changed becomes durable
    Then 1 start is sent

  Scenario: A start without an answer is stopped and waited for before the next
    The answer to a start is lost, or the worker carries it out seconds later.
    Started elsewhere at once, the task would run twice at the same time.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When the start of "a" gets no answer
    Then "a" is ordered to stop and holds its capacity
    When a poll sent before the stop was answered does not list "a"
    Then "a" holds its capacity
    When the stop of "a" is answered and a later poll does not list it
    Then "a" is planned again under run 2

  Scenario: A run that cannot be reached is not started again before its lease ends
    A worker is cut off and runs on. Until the longest lease that may have reached
    it has ended, the task may still be at work there.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 9 seconds
    Then "a" is still running as far as the engine knows
    When its worker is unreachable for 13 seconds
    Then "a" waits for its next run

  Scenario: A worker's next life proves that the runs of the last one are over
    A worker crashes and another incarnation answers at its address.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When another incarnation answers for its worker
    Then "a" waits for its next run

  Scenario: A gang of which one member is not taken ends whole and starts whole
    One worker rejects its part of a gang. The other members would wait for it,
    hold their accelerators, and end alone.
    Given an engine with 2 workers of 8 accelerators
    And job "g" of a gang of 2 tasks with 8 accelerators is started
    When one member of "g" is rejected and the other accepted
    Then the accepted member of "g" is ordered to stop
    When the end "stopped" of that member is listed
    Then "g" is planned again under run 2

  Scenario: An end is acknowledged and shown only when it is durable
    A leader acknowledges the end of a run and dies before it is stored. The worker
    has forgotten the end; the successor would run the finished job once more.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    Then "a" is shown as "running" and its end is not acknowledged
    When what has changed becomes durable
    Then "a" is shown as "completed" and its end is acknowledged

  Scenario: An end waits for its record also when its worker's entry lapses meanwhile
    The store is away and the entries of workers lapse with it; an end that was read
    is not stored yet. The worker registers again and lists the end again: taken for
    one of no run, it was acknowledged at once, and a successor, whose records did
    not have it, ran the finished job once more.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    And its worker's entry expires and comes back, and the end is listed again
    Then "a" is shown as "running" and its end is not acknowledged
    When what has changed becomes durable
    Then "a" is shown as "completed" and its end is acknowledged

  Scenario: A successor asks the workers before it starts anything again
    The leader dies with a task at work. Its successor reads that the task is
    with a worker, and may not start it elsewhere before that worker has answered.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When a successor loads what was durable
    Then "a" is not planned by the successor
    When the worker tells the successor that "a" is at 40 per cent
    Then the successor shows "a" as "running" with one run

  Scenario: A successor waits no longer for a lost worker than its last lease lasts
    A worker leaves for good, its leader waits for the lease to end, and dies. The
    successor cannot know when the lease was granted; reckoning from its own begin,
    it would leave the job waiting for half a minute beside idle workers.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 9 seconds
    And a successor loads what was durable at second 9
    And the successor finds the worker unreachable for 5 seconds
    Then "a" waits for its next run

  Scenario: A lease is granted again only when the record of its end is corrected
    A worker returns after a cut. The records say that its runs end soon; if the
    leader renews the lease and dies, the successor would start them a second time.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When its worker is unreachable for 3 seconds
    And what has changed becomes durable
    And its worker answers again
    Then no lease may be sent to it
    When what has changed becomes durable
    Then a lease may be sent to it

  Scenario: A run that came after it was given up is stopped and holds its room
    An order is carried out seconds late, after another run has taken its place.
    Left alone it would overfill its worker and do the work twice.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When a worker lists a run of "a" that the engine does not know
    Then that run is ordered to stop
    And nothing else is placed on that worker

  Scenario: A job fails only after its last attempt, and by failed ends alone
    A task is stopped for more urgent work and later fails by its own fault. Only
    failures count as attempts; otherwise a caller is told too early that its job
    cannot be done.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators and 2 attempts is running
    When "a" ends as "stopped", and then as "failed", each time started again
    Then "a" is shown as "running"
    When "a" ends as "failed" once more
    Then "a" is shown as "failed"

  Scenario: A cancelled job is stopped at once and never started again
    A caller cancels while its job is being started. Whatever is under way must
    end, and no later pass may start it.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is started
    When "a" is cancelled
    Then "a" is ordered to stop and holds its capacity
    And no pass plans "a" again

  Scenario: A completed job stays completed while the rest of its gang ends
    One done end stands for a whole gang, so the job is shown as completed. When the
    other members' ends came in, it was shown as running until they were stored too.
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
    A node without the leader reads the record of the cancellation and shows the job
    as cancelled. Asked next, the leader, whose own write still waits for a slow
    store, told that it is running.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When "a" is cancelled
    Then "a" is shown as "cancelled"

  Scenario: A cancellation goes before an outcome that nobody has seen
    The job's last task ends while its cancellation is on its way. Nodes that read
    the records show it as cancelled; the leader must not contradict them later.
    Given an engine with 2 workers of 8 accelerators
    And job "a" of 1 task with 8 accelerators is running
    When the end "done" of "a" is listed
    And "a" is cancelled
    Then "a" is shown as "cancelled"
    When what has changed becomes durable
    Then "a" is shown as "cancelled"

  Scenario: A cancellation that arrives before its job is remembered
    The two records travel apart. A leader that forgot the cancellation would run
    a job that its caller was told is cancelled.
    Given an engine with 2 workers of 8 accelerators
    When "a" is cancelled and "a" arrives after
    Then no pass plans "a" again

  Scenario Outline: Room, run numbers and gangs hold through any order of events
    Orders are accepted, rejected, lost or late, workers vanish and return, jobs are
    cancelled, leaders change. A worker that guards nothing starts whatever it is
    told: one wrong count and tasks crash for want of memory.
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
    The same events, and every other job fails whenever it runs. A failure that is
    forgotten with its leader or its lost worker starts a hopeless job once more: it
    takes room, and its caller hears of the failure later.
    When <events> random events reach an engine with jobs that always fail, seed <seed>
    Then no worker is ever over its capacity
    And no task ever runs twice at once or after it is done
    And no task starts whose attempts are used up

    Examples:
      | events | seed |
      | 1500   | 31   |
      | 1500   | 36   |
      | 1500   | 51   |

  Scenario: Drawn histories break neither room nor runs nor gangs
    The same events as above, drawn by a library that seeks rare mixtures and can cut
    a failing history down. A caller would see a task run twice, or not at all.
    When hypothesis draws 200 histories of 120 events
    Then each history respects capacities, runs and gangs
