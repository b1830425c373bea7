Feature: Only workers that the advice service allows get the work of its queues

  The service answers one request at a time, tickets expire, and each rejected start is
  billed.

  Scenario: Nothing starts without a ticket, and then only where one is known
    Guards against starts that the workers reject.
    Given 4 workers, and a queue with advice
    When an advised job of 2 tasks is submitted
    Then no advised task is planned
    When the service is asked and allows w2 only
    Then all advised tasks are planned on w2, and each start carries its ticket

  Scenario: A queue follows the configuration in force while its jobs wait
    Given 2 workers, and a queue with advice
    When an advised job of 1 task is submitted
    Then no advised task is planned
    When a new configuration takes the advice away
    Then all advised tasks are planned

  Scenario: A queue gains advice while starts of its jobs wait to be sent
    Guards against a start without a ticket under the new configuration.
    Given 2 workers, and a queue without advice
    When an advised job of 1 task is planned, and then the queue gains advice
    Then its run is withdrawn before its start is sent

  Scenario: The first request is small
    Guards against a large request for a single task, which holds up the other steps.
    Given 150 workers, and a queue with advice
    When an advised job of 1 task is submitted
    Then the next request names 30 workers for it

  Scenario: A wide step is asked for at once
    Given 150 workers, and a queue with advice
    When an advised gang of 60 with 8 accelerators is submitted
    Then the next request names 100 workers for it

  Scenario: A gang starts only with tickets for all its workers
    Given 4 workers, and a queue with advice
    When an advised gang of 3 with 8 accelerators is submitted
    And the service is asked and allows w0 and w1 only
    Then no advised task is planned

  Scenario: A gang for one rack waits until the service has named a rack's workers
    Guards against a gang that is spread over racks because tickets for one rack came
    first in part; it would take several times as long.
    Given 16 workers in racks of 8, and a queue with advice
    When an advised gang of 6 for one rack is submitted
    And tickets are known for 3 workers of each rack
    Then no advised task is planned
    When the service is asked and allows all
    Then all advised tasks are planned, in one rack

  Scenario: A gang for one rack is spread if no rack can hold it
    Guards against a gang that waits for ever for a rack that the policy forbids.
    Given 16 workers in racks of 8, and a queue with advice
    When an advised gang of 6 for one rack is submitted
    And the service is asked and allows 4 workers of each rack
    Then all advised tasks are planned

  Scenario: A burst is asked for by priority, then by age
    Guards against urgent steps that wait behind those of lower priority.
    Given 4 workers, and all queues with advice
    When 40 jobs of lower priority come, and then 2 urgent ones
    Then the service is asked for the urgent ones first, then for the oldest

  Scenario: What cannot start is asked for in part only
    Guards against requests without end for steps that wait for capacity.
    Given 2 workers, and a queue with advice
    And all workers are full of other work
    When 40 advised jobs of 1 task are submitted
    Then the service is asked for 8 of them, once each while they wait for 20 s

  Scenario: Tickets are fetched while the step before runs
    Given 4 workers, and a queue with advice
    When an advised job of two steps is submitted, and its first step runs to 95 percent
    Then the next request is for its second step
    And nothing is asked for a third job that was cancelled

  Scenario: An occurrence is asked for shortly before it is due
    Given 2 workers, and a queue with advice
    When an advised job with occurrences in 1 s and 61 s is submitted
    Then the next request is for its first occurrence
    And after it nothing is asked

  Scenario: A ticket that expires before its start can arrive is not used
    Guards against starts that are rejected, and billed, because they arrive late.
    Given 2 workers, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and allows all, and 9.8 s pass
    Then no advised task is planned
    And the next request names 2 workers for it

  Scenario: A ticket expires while the record of its run is written
    Given 2 workers, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and allows all
    And the run becomes durable 12 s later
    Then its run is withdrawn before its start is sent
    And its failures count 0

  Scenario: A ticket belongs to one incarnation of its worker
    Given 2 workers, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and allows all
    And both workers are replaced by new incarnations
    Then no advised task is planned
    And the next request names 2 workers for it

  Scenario: A rejected ticket costs one more request, not the job
    Given 1 worker, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and allows all
    And the worker rejects the ticket of the start
    Then its failures count 0
    And the next request names 1 worker for it

  Scenario: A worker that rejects each ticket is left alone for longer and longer
    Guards against a start order every few milliseconds, each of which is billed.
    Given 1 worker, and a queue with advice
    When an advised job of 1 task is submitted
    And the worker rejects each ticket for 30 s
    Then at most 9 starts were sent

  Scenario: A worker asks for a ticket although the queue has no advice
    Guards against starts without a pause while a newer configuration is on its way.
    Given 1 worker, and a queue without advice
    When an advised job of 1 task is submitted
    And the worker rejects each ticket for 10 s
    Then at most 11 starts were sent

  Scenario: No worker is allowed
    Given 3 workers, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and refuses all
    Then nothing is asked for 9 s, and it is logged once that no worker is allowed
    When a worker registers that was not asked about
    Then the next request names 1 worker for it

  Scenario: Urgent work preempts only where it may run
    Guards against work that is lost for a gang that the workers then reject.
    Given 4 workers, and all queues with advice
    And all workers are full of other work
    When an urgent advised gang of 2 is submitted
    Then no work is preempted for it
    When the service is asked and allows w1 and w3 only
    Then only the work on w1 and w3 is preempted

  Scenario: Tickets that end while room is made are renewed before the start
    Guards against work that is preempted for starts that the workers then reject, and
    against preempting again elsewhere.
    Given 4 workers, and all queues with advice
    And all workers are full of other work
    When an urgent advised gang of 2 is submitted
    And the service allows w1 and w3 only, 9.4 s before the next pass
    And room is made for it, and its tickets end before the stops
    Then no advised task is planned
    And the next request names 2 workers for it
    When the service is asked and allows w1 and w3 only
    Then all advised tasks are planned
    And only two runs were stopped

  Scenario: A step whose tasks exclude each other on a worker asks for more workers
    Guards against a step that waits for ever, since the worker that it may use has room.
    Given 4 workers, and a queue with advice
    When an advised job of 3 tasks, one for each worker, is submitted
    And the service is asked for one worker after the other and allows all
    Then all advised tasks are planned

  Scenario: A new leader asks again
    Given 2 workers, and a queue with advice
    When an advised job of 1 task is submitted
    And the service is asked and allows all
    And a new leader takes over that knows no ticket
    Then no advised task is planned
    And the next request names 2 workers for it

  Scenario Outline: Random events break no rule of tickets and leave nothing behind
    Orders and answers are lost or late, workers are replaced, leaders are lost, tickets
    expire and are rejected, and queues gain and lose their advice. Guards against starts
    without a valid ticket, and against jobs that wait for ever although they may run.
    When <events> random events reach an engine whose queues have advice, seed <seed>
    Then each start had a valid ticket, and what may run has ended

    Examples:
      | events | seed |
      | 3000   | 0    |
      | 3000   | 6    |
      | 3000   | 8    |
