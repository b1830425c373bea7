@platform
Feature: Jobs on the users' platform, from the call to the outcome

  Scenario: A job is taken by one node, shown by another, and completed once
    When a client submits a job of 2 steps, the second after the first
    Then every node shows it as "completed" within 15 s
    And each of its 5 tasks has run exactly once

  Scenario: A gang starts whole
    When a client submits a gang of 3 tasks with 4 accelerators
    Then every node shows it as "completed" within 15 s
    And each of its 3 tasks has run exactly once

  Scenario: A submission that arrives again is the same job
    A client gets no answer, or its retry is still on its way when the answer
    comes. Taken as a second job, a plan would be made twice.
    When a client submits a job of 1 task of 1.0 s twice at once and after its end
    Then every submission is answered 200
    And each of its 1 tasks has run exactly once

  Scenario: A cancelled job ends, and is shown so
    Given a client has submitted a job of 1 task of 60.0 s that is at work
    When the client cancels it
    Then every node shows it as "cancelled" within 3 s
    And nothing of it runs within 3 s

  Scenario: Each refusal is typed and true
    When clients send what cannot be taken
      | method | path                 | body                                 | key   | status |
      | POST   | /q1/00000000000000aa | {"spec": "1", "steps": []}           | right | 422    |
      | POST   | /q1/00000000000000aa | {"spec": 1, "steps": [{"count": 1}]} | right | 400    |
      | POST   | /q1/00000000000000aa | not json                             | right | 400    |
      | POST   | /q1/too-short        | {"spec": "1", "steps": [{"count": 1}]} | right | 422  |
      | POST   | /q1/00000000000000aa | {"spec": "1", "steps": [{"count": 1}]} | wrong | 401  |
      | GET    | /q1/00000000000000aa |                                      | wrong | 401    |
      | GET    | /q1/00000000000000aa |                                      | right | 410    |
      | DELETE | /q1/00000000000000aa |                                      | right | 410    |
      | GET    | /nowhere/            |                                      | right | 404    |
      | PUT    | /q1/00000000000000aa |                                      | right | 405    |
    Then each is answered as listed, and nothing has started

  Scenario: The length of a queue counts jobs that have not begun
    When a client submits 2 jobs that fit nowhere
    Then every node tells that 2 jobs of that queue wait

  Scenario: Entries of other writers harm nothing
    Somebody writes entries with missing fields, other types or unreadable bytes
    beside those of the workers, of the operators and of the product.
    When unreadable entries are written beside all others
    And a client submits a job of 1 task of 0.3 s
    Then every node shows it as "completed" within 15 s
    And each entry was left out with a line in the log

  Scenario: A node that the store turns away still takes jobs and follows changes
    The store answers one node with 503 and serves the others. Its clients would be
    refused though the fleet can serve them, and a removed key would stay valid.
    Given the store turns node 1 away
    When a client submits a job of 1 task of 0.3 s at node 1
    Then every node shows it as "completed" within 15 s
    When the operators take the key away
    Then node 1 answers 401 within 2 s

  Scenario: While the store is silent nothing is accepted, and nothing is said falsely
    The store answers nothing. What may have been written must not be called "not
    run", and what could not be tried is refused at once.
    Given the store answers nothing
    When a client submits a job of 1 task of 0.3 s
    Then it is answered 504 before its deadline
    When the store answers again
    Then the job exists, or never runs

  Scenario: The store is busy for all
    Given the store turns everyone away
    When a client submits a job of 1 task of 0.3 s
    Then it is answered 503 within 1 s with when to come back
    When the store answers again
    Then the job does not exist and never runs

  Scenario: Nodes notice at once that the store is back
    After an outage the first watch waited for a change; for seconds its node took
    itself for turned away, and sent its clients away longer than needed.
    Given the store turns everyone away
    And every node has noticed
    When the store answers again
    Then every node says within 1.5 s that the store is back

  Scenario: The leader is killed with work under way
    The process that schedules dies with tasks at work, and one more job waiting.
    Given a client has submitted a job of 3 tasks of 3.0 s that is at work
    When the leader is killed
    And a client submits another job of 1 task of 0.3 s
    Then both jobs are shown as "completed" within 20 s
    And nothing has run twice

  Scenario: An evacuation outlives the leader that read it
    Guards against a successor that starts work where the operators asked for none.
    Given the operators evacuate the workers' failure domain
    When a client submits a job of 1 task of 0.3 s
    And the leader is killed
    Then nothing of it has started 4 s later
    When the operators take the failure domain back
    Then the job is shown as "completed" by a live node within 15 s

  Scenario: A leader with a slow way to the store reads all records in the end
    The only node left has a slow link, and the records are large. Each page took
    longer than an answer was awaited for: the node kept the leadership, read the
    same page again and again, and nothing was scheduled any more.
    Given the records have 600 KB more, and node 0 has a slow way to the store
    When all nodes are killed and node 0 alone starts again
    And a client submits a job of 1 task of 0.3 s at node 0
    Then it is shown as "completed" by node 0 within 30 s

  Scenario: Answers of the store are lost, and writes come late
    Given the store loses a third of its answers and writes late
    When clients submit 8 jobs of 1 task of 0.3 s, retrying unknown ones
    And the store answers again
    Then all jobs that were accepted are completed within 20 s
    And nothing has run twice

  Scenario: Orders are carried out late and without an answer
    Given workers carry out a third of the orders 1.5 s late
    When clients submit 6 jobs of 1 task of 0.5 s, retrying unknown ones
    Then all jobs that were accepted are completed within 40 s
    And nothing has run twice

  Scenario: The history of the store is gone
    Given the store forgets its history again and again
    When clients submit 4 jobs of 1 task of 0.3 s, retrying unknown ones
    Then all jobs that were accepted are completed within 20 s

  Scenario: A planned stop cuts no request and hands over at once
    When the leader is asked to stop while clients submit jobs
    Then no call on an open connection is cut
    And a successor leads within 2 s of the signal
    And all jobs that were accepted are completed within 20 s

  Scenario: Settings change while a node runs
    When a node's settings file becomes wrong and it gets SIGHUP
    Then it says so in its log and goes on serving
    When the settings file is right again
    Then it says that it has reloaded it

  Scenario: Wrong settings end a node at its start
    When a node is started with a settings file that lacks the store's address
    Then it ends with code 2 and names the field

  Scenario: A node that is told to reload while it starts goes on starting
    The settings file changes just after a node was started. Until the signal was
    handled it ended the process without a line in the log, and its clients met a
    closed port.
    When node 1 is killed, started again and told to reload as it starts
    Then node 1 is ready within 15 s
