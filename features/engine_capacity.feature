Feature: A worker's capacity may shrink and grow while tasks run there

  Background:
    Given 2 workers of 8 accelerators, of which the second is full

  Scenario Outline: Starts that were planned for the former capacity are withdrawn
    Guards against bringing a worker over the capacity that it has said it has.
    Given tasks of 4, 2 and 2 accelerators whose starts are <state> to the first worker
    When the first worker shrinks to <accelerators> accelerators
    Then tasks of <left> accelerators are left there
    And no start beyond them is sent

    Examples:
      | state          | accelerators | left |
      | not yet stored | 6            | 4, 2 |
      | not yet sent   | 6            | 4, 2 |
      | not yet sent   | 3            | none |
      | not answered   | 4            | 4    |

  Scenario: The least urgent start is withdrawn first
    Guards against making urgent work wait for a start that only came earlier.
    Given a task of 4 and then an urgent one of 4 accelerators, not yet sent there
    When the first worker shrinks to 4 accelerators
    Then the urgent task is left there

  Scenario: Tasks at work go on, and nothing else starts until it fits
    Guards against stopping work for room, and against counting room that is in use.
    Given tasks of 4, 2 and 2 accelerators that run on the first worker
    When the first worker shrinks to 4 accelerators
    Then tasks of 4, 2, 2 accelerators are left there
    When the task of 4 accelerators ends
    Then a task of 1 accelerator does not start
    When a task of 2 accelerators ends
    Then a task of 1 accelerator starts

  Scenario: What is being stopped still counts
    Guards against taking the capacity of a task that has not ended yet.
    Given tasks of 4, 2 and 2 accelerators that run on the first worker
    When the task of 4 accelerators is cancelled and the first worker shrinks to 6
    Then a task of 2 accelerators does not start
    When the stop of the cancelled task ends
    Then a task of 2 accelerators starts

  Scenario: Capacity that returns is used again
    Guards against a worker that stays small for the leader for the rest of its term.
    Given the first worker shrinks to 2 accelerators
    Then a task of 4 accelerators does not start
    When the first worker grows to 8 accelerators
    Then it starts

  Scenario: Work whose data is near workers that became too small begins elsewhere
    Guards against waiting for a rack that may never have the room again.
    Given a task of 4 accelerators whose data is near the first worker
    When the first worker shrinks to 2 accelerators while the second one is idle
    Then it starts on the second worker

  Scenario: An urgent task does not preempt for room that is gone
    Guards against stopping work without the room that the stop was to make.
    Given a task of 4 accelerators that runs on the first worker
    When the first worker shrinks to 2 accelerators
    Then an urgent task of 4 accelerators stops nothing there

  Scenario Outline: No worker is brought over a capacity that it had announced
    Guards against starts that are too large in some other order of events.
    When <events> random events reach an engine whose workers shrink and grow, seed <seed>
    Then no start exceeds the capacity of its worker, and much work is done

    Examples:
      | events | seed |
      | 4000   | 1    |
      | 4000   | 2    |
      | 4000   | 3    |

  Scenario: A leader follows what a worker says of its capacity
    Guards against a change of the entry in the store that never reaches the plan.
    Given a leader of 2 workers, and jobs of 2 accelerators for 3 s each 0.35 s
    When one worker shrinks to 3 accelerators for 10 s
    Then no start brings it over 3 accelerators meanwhile
    And it holds more than 3 accelerators later, and each job is done
