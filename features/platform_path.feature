@platform
Feature: Jobs on the users' platform, from submission to outcome

  Scenario: A job is taken by one node, shown by another, and completed once
    When a client submits a job of 2 steps, the second after the first
    Then every node shows it as "completed" within 15 s
    And each of its 5 tasks has run exactly once

  Scenario: A gang starts whole
    When a client submits a gang of 3 tasks with 4 accelerators
    Then every node shows it as "completed" within 15 s
    And each of its 3 tasks has run exactly once

  Scenario: A submission that arrives again is the same job
    Guards against running a job twice when a client repeats a submission: after a
    lost response, or while the first submission is still in progress.
    When a client submits a job of 1 task of 1.0 s twice at once and after its end
    Then every submission is answered 200
    And each of its 1 tasks has run exactly once

  Scenario: A cancelled job ends, and is shown so
    Given a client has submitted a job of 1 task of 60.0 s that is running
    When the client cancels it
    Then every node shows it as "cancelled" within 3 s
    And nothing of it runs within 3 s

  Scenario: Each refusal is typed and true
    When clients send invalid requests
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
    When a client submits 2 jobs that fit on no worker
    Then every node reports that 2 jobs of that queue wait

  Scenario: Entries of other writers harm nothing
    Another writer stores entries with missing fields, wrong types or invalid bytes
    beside those of workers, operators and the product.
    When invalid entries are written beside valid ones
    And a client submits a job of 1 task of 0.3 s
    Then every node shows it as "completed" within 15 s
    And each invalid entry was skipped and logged

  Scenario: A node that the store rejects still accepts jobs and follows changes
    The store answers one node with 503 and serves the others. That node's clients
    would be refused although the fleet can serve them, and a revoked key would stay
    valid there.
    Given the store rejects the calls of node 1
    When a client submits a job of 1 task of 0.3 s at node 1
    Then every node shows it as "completed" within 15 s
    When the operators revoke the key
    Then node 1 answers 401 within 2 s

  Scenario: While the store is silent, nothing is accepted and no outcome is false
    A submission that may have been written must not be reported as "not run", and
    one that cannot be attempted is refused at once.
    Given the store does not respond
    When a client submits a job of 1 task of 0.3 s
    Then it is answered 504 before its deadline
    When the store responds again
    Then the job exists, or never runs

  Scenario: The store is busy for all
    Given the store rejects all calls
    When a client submits a job of 1 task of 0.3 s
    Then it is answered 503 within 1 s with a time to retry
    When the store responds again
    Then the job does not exist and never runs

  Scenario: Nodes notice at once that the store is reachable
    Guards against a first watch after an outage that waits for a change: its node
    counted the store as unreachable for seconds, and refused clients for too long.
    Given the store rejects all calls
    And every node has logged the outage
    When the store responds again
    Then every node logs within 1.5 s that the store is reachable

  Scenario: The leader is killed with work under way
    The scheduling process dies while tasks run and another job is queued.
    Given a client has submitted a job of 3 tasks of 3.0 s that is running
    When the leader is killed
    And a client submits another job of 1 task of 0.3 s
    Then both jobs are shown as "completed" within 20 s
    And nothing has run twice

  Scenario: An evacuation outlives the leader that read it
    Guards against a successor that starts work in an evacuated failure domain.
    Given the operators evacuate the workers' failure domain
    When a client submits a job of 1 task of 0.3 s
    And the leader is killed
    Then nothing of it has started 4 s later
    When the operators end the evacuation
    Then the job is shown as "completed" by a live node within 15 s

  Scenario: A leader with a slow link to the store eventually reads all records
    The only live node has a slow link, and the records are large. Guards against a
    timeout shorter than the transfer of a page: the node kept the leadership but read
    the same page repeatedly, and nothing was scheduled.
    Given the records have 600 KB more, and node 0 has a slow link to the store
    When all nodes are killed and node 0 alone starts again
    And a client submits a job of 1 task of 0.3 s at node 0
    Then it is shown as "completed" by node 0 within 30 s

  Scenario: Responses of the store are lost, and writes come late
    Given the store drops a third of its responses and writes late
    When clients submit 8 jobs of 1 task of 0.3 s, retrying unknown outcomes
    And the store responds again
    Then all jobs that were accepted are completed within 20 s
    And nothing has run twice

  Scenario: Orders are executed late and without a response
    Given workers execute a third of the orders 1.5 s late
    When clients submit 6 jobs of 1 task of 0.5 s, retrying unknown outcomes
    Then all jobs that were accepted are completed within 40 s
    And nothing has run twice

  Scenario: The history of the store is gone
    Given the store drops its history repeatedly
    When clients submit 4 jobs of 1 task of 0.3 s, retrying unknown outcomes
    Then all jobs that were accepted are completed within 20 s

  Scenario: A planned stop aborts no request and hands over at once
    When the leader is asked to stop while clients submit jobs
    Then no request on an open connection is aborted
    And a successor leads within 2 s of the signal
    And all jobs that were accepted are completed within 20 s

  Scenario: Work of a queue with advice runs only where it may
    Guards against starts without a ticket, which the workers reject.
    Given the advice service refuses worker 0
    When a client submits an advised job of 2 tasks, and one after them
    Then every node shows it as "completed" within 15 s
    And each of its 3 tasks has run exactly once
    And nothing of it ran on worker 0, and no ticket was rejected

  Scenario: A silent advice service closes only its own queue
    Guards against an id that is called "not run" although it was accepted before.
    Given the advice service does not respond
    When a client submits an advised job of 1 task, and repeats it with others
    Then within 10 s other advised jobs are refused at every node, the first never
    When a client submits a job of 1 task of 0.3 s
    Then every node shows it as "completed" within 15 s
    When the advice service responds again
    Then the first advised job is shown as "completed" within 15 s

  Scenario: Settings change while a node runs
    When a node's settings file becomes invalid and it gets SIGHUP
    Then it logs the refusal and continues to serve
    When the settings file is valid again
    Then it logs that it has reloaded it

  Scenario: Invalid settings end a node at its start
    When a node is started with a settings file that lacks the store's address
    Then it ends with code 2 and names the field

  Scenario: A node that is told to reload while it starts goes on starting
    The settings file changes just after a node was started. Guards against a SIGHUP
    before its handler is installed: it killed the process without a log line, and
    clients found a closed port.
    When node 1 is killed, started again and told to reload as it starts
    Then node 1 is ready within 15 s
