Feature: Preempted work is not preempted again and again, and ends

  Scenario: A gang that has lost runs before is not the first to be stopped again
    Work that has just started costs nothing to stop. Under a stream of urgent jobs the
    same gang was started and preempted a second later, again and again, and never
    ended, while younger work beside it did.
    Given workers 0 to 3, and a gang "patient" of 2 that urgent work has stopped 3 times
    And "patient" running for 0.2 s beside a gang "new" of 2 running for 1.5 s
    When an urgent job of one task finds no free capacity
    Then "new" is stopped and "patient" goes on

  Scenario: Urgent work preempts no more while its capacity is being freed
    A leader behind a saturated link learns late that stopped tasks have ended. A
    reservation that was not free after 1.5 s expired, and the job preempted again
    elsewhere: one urgent job stopped the work of three, and others got the first
    capacity.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are reported after 3 s
    Then one gang was stopped
    And the urgent job has started

  Scenario: Urgent work preempts elsewhere if its capacity is not freed
    A worker that answers but does not stop its tasks must not keep urgent work waiting.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are not reported for 6 s
    Then both gangs were stopped

  Scenario: Preempted work does not start again at once
    In a burst of urgent jobs on a full pool, the work that the first one preempted
    started again on the next free worker, where the second one preempted it a moment
    later. This took hundreds of orders a second, and delayed the urgent jobs.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are reported after 0 s
    And the other gang is done
    Then the stopped gang does not start within 0.7 s
    And it starts within 1.3 s
