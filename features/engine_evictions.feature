Feature: Work that makes way for urgent work makes way once, and ends one day

  Scenario: A gang that has lost runs before is not the first to be stopped again
    What was only just begun costs nothing to stop. Under a stream of urgent jobs the same
    gang was begun and stopped a second later, again and again, and its caller never got
    an answer, while younger work beside it ended.
    Given workers 0 to 3, and a gang "patient" of 2 that urgent work has stopped 3 times
    And "patient" running for 0.2 s beside a gang "new" of 2 running for 1.5 s
    When an urgent job of one task finds no free capacity
    Then "new" is stopped and "patient" goes on

  Scenario: Urgent work does not stop more while its room is on the way
    A leader behind a full link sees the ends of what it stops late. Room that was not
    there after 1.5 s was given up and made again elsewhere: the work of one urgent job
    stopped that of three, and the first room went to others.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are heard of after 3 s
    Then one gang was stopped
    And the urgent job has started

  Scenario: Room that does not come is made elsewhere
    A worker that answers and does not stop its work must not keep urgent work waiting.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are not heard of for 6 s
    Then both gangs were stopped

  Scenario: What was stopped for urgent work does not begin again at once
    A burst of urgent jobs meets a full pool. What the first one stopped began again on
    the next worker that came free, where the second one stopped it a moment later:
    hundreds of orders a second, which made the leader late for the urgent jobs.
    Given workers 0 to 3, and two gangs of 2 running on them
    When an urgent job of one task preempts work
    And the ends of the stopped gang are heard of after 0 s
    And the other gang is done
    Then the stopped gang does not start within 0.7 s
    And it starts within 1.3 s
