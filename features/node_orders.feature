Feature: Orders reach workers although some get no answer

  Scenario: Stops that get no answer do not pile up before a worker
    Guards against stops that are queued faster than they can be sent.
    Given a leader whose worker runs 8 tasks and then stops answering
    When all of them are stopped and the worker does not answer for 6 s
    Then at most 8 stops are queued for the worker
    And all are carried out within 1 s of its return

  Scenario: A run that did not start is proved absent beside a waiting poll
    Guards against capacity that stays occupied for seconds after a stop was answered.
    Given a leader whose worker has one active task
    When the start of another task is lost, and its stop is answered
    Then that task is ordered again within 0.3 s of the answer

  Scenario: Work begins although all answers are late
    Guards against a leader on a full link whose orders all time out before their answers.
    Given a leader all of whose answers take 0.6 s
    When a job of 6 tasks is submitted
    Then all of them are active within 5 s, none in more than its second run

  Scenario: Silent workers do not make the answers of others awaited for longer
    Guards against urgent work that is delayed because other orders were lost.
    Given a leader whose worker runs 8 tasks and then stops answering
    When all of them are stopped and the worker does not answer for 6 s
    Then the timeout of the next order is 0.35 s

  Scenario: A gang begins although some of its starts are lost
    Guards against gangs that never start while a share of the orders gets no answer.
    Given a leader of 8 workers, of whose next orders 4 are lost
    When a gang of 8 is submitted, one task for each worker
    Then the gang is active within 1.5 s, in its first run

  Scenario: Starts wait for a worker that has missed one call
    Guards against a lost order that ends all other runs planned on its worker.
    Given a leader whose worker has one active task
    When a stop for it is lost, and a job of 4 tasks is submitted
    Then all 4 are active within 1 s, in their first run

  Scenario: Urgent work does not wait behind other starts to its worker
    Guards against urgent starts and stops that are sent after all other starts.
    Given a leader of one worker, all of whose answers take 0.3 s
    When a job of 6 small tasks is submitted, and an urgent one 0.1 s later
    Then the urgent one is active before 3 of the small tasks are

  Scenario: A run whose start has not left is not stopped over the network
    Guards against stops that overtake the starts that they belong to.
    Given a leader of one worker, all of whose answers take 0.3 s
    When a job of 6 small tasks is submitted, and cancelled 0.1 s later
    Then only its first task was started, and no other was stopped

  Scenario: A leader that has lost its authority grants no lease with a start
    Guards against work that starts where a successor counts on the end of a lease.
    Given a leader of one worker, all of whose answers take 0.3 s
    When a job of 6 small tasks is submitted, and the leader is frozen 0.1 s later
    Then only its first task was started, and no other was stopped

  Scenario: A start that found no connection is ordered elsewhere at once
    Guards against tasks that wait for the lease of an order that was never sent.
    Given a leader of 2 workers, one of which accepts no connection
    When a job of 8 small tasks is submitted
    Then all of them are active within 1 s

  Scenario: A stop does not wait for the repetitions of a lost start
    Guards against stops that come later than a gang's members wait for each other.
    Given a leader whose worker has one active task
    When the start of another task is lost 3 times, and the first is stopped meanwhile
    Then its stop is sent within 0.2 s

  Scenario: Starts do not wait for the repetitions of lost ones
    Guards against queues in which each lost order delays all others to its worker.
    Given a leader whose worker has one active task
    When a job of 7 tasks is submitted, and the next 6 starts are lost
    Then 7 of its starts were sent within 1.2 s

  Scenario: A silent worker gets only a few orders at once
    Guards against ever more orders in flight to a worker that does not answer.
    Given a leader whose worker has one active task
    When a job of 7 tasks is submitted, and the next 99 starts are lost
    Then 4 of its starts were sent within 0.9 s

  Scenario: An order is overdue soon where answers are fast, and later where they are slow
    Guards against many orders in flight over a full link.
    Given a leader of one worker, all of whose answers take 0.3 s
    When a job of 6 tasks is submitted
    Then an order is overdue after 0.3 s or more

  Scenario: Only as many orders are in flight as a slow leader can handle
    Guards against a leader none of whose orders is answered in time.
    Given a leader of 120 workers that each answer after 0.3 s
    When 12 gangs of 10 are submitted, one task for each worker
    Then at most 48 orders were in flight, and all gangs are active in run 1

  Scenario: Urgent starts and stops go before other starts to all workers
    Guards against urgent work that waits behind the starts to other workers.
    Given an order window that is full
    When a start, a stop and an urgent start wait, each for a worker of its own
    Then they get their turns in the order urgent start, stop, start

  Scenario: An order that waits is overtaken by an urgent one to its worker
    Guards against urgent work that waits behind a start to its own worker.
    Given an order window that is full
    When two starts wait, and an urgent start joins the second
    Then the second gets its turn first, and only one turn is granted for each release

  Scenario: A worker full of small tasks is cleared in few round trips
    Guards against urgent work whose room comes one answer after another.
    Given a leader whose worker runs 8 tasks, and whose answers take 0.1 s
    When all of them are stopped
    Then the last stop is sent within 0.25 s of the first
    And at most 4 stops await their answer at a time

  Scenario: Urgent work does not wait behind starts that fill the leader's link
    Guards against guaranteed work that begins late behind starts to other workers.
    Given a leader of 41 workers behind a link of 2 Mbit/s
    When 40 tasks of 3000 bytes are submitted, one for each worker, and an urgent one 0.1 s later
    Then the urgent one is active 0.15 s after that
    And all of the others are active within 0.9 s

  Scenario: Starts do not wait for a link that other traffic keeps full
    Guards against lower work that never begins behind a link without a pause.
    Given a leader of 4 workers behind a link of 2 Mbit/s that is never free
    When 4 tasks of 3000 bytes are submitted
    Then all of the others are active within 2.5 s

  Scenario: Starts that wait for the link leave in the order of their age
    Guards against gangs whose members start far apart because others overtake them.
    Given a link of 2 Mbit/s that is busy for 0.2 s
    When starts queued at 3, 1 and 2 s wait for it, and the oldest is withdrawn
    Then those of 2 and 3 s leave in this order, 0.17 s later at the earliest

  Scenario: Starts that are no longer wanted do not take turns
    Guards against new work that waits for the link behind work that was cancelled.
    Given a leader of 41 workers behind a link of 2 Mbit/s
    When 40 tasks of 3000 bytes are submitted, and cancelled for one more 0.1 s later
    Then that one is active 0.15 s after that

  Scenario Outline: Work for other workers begins while many are silent
    Guards against stops to silent workers that keep all starts from being sent.
    Given a leader of 90 workers that run 8 tasks each, whose answers take <answer> s
    When all of them are stopped, and 88 of the workers do not answer
    Then a gang of 2 that is submitted 1 s later is active within 1.5 s, in its first run

    Examples:
      | answer |
      | 0.01   |
      | 0.26   |
