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

  Scenario: A start that found no connection is ordered elsewhere at once
    Guards against tasks that wait for the lease of an order that was never sent.
    Given a leader of 2 workers, one of which accepts no connection
    When a job of 8 small tasks is submitted
    Then all of them are active within 1 s

  Scenario: The members of a gang that share a worker start together on a slow leader
    Guards against members that end alone because each start waits for the last answer.
    Given a leader of one worker, all of whose answers take 0.6 s
    When a gang of 8 small tasks is submitted
    Then it is active, and the starts of that run are sent at most 2 s apart

  Scenario: Passes that take long leave half of the time to orders and answers
    Guards against a slow leader that plans all the time while its orders are late.
    Given a leader each of whose passes takes 0.2 s
    When a pass is requested all the time for 10 s
    Then the passes take at most 5.5 s of them
