Feature: Which crashes of a worker count against a task

  Background:
    Given 4 workers of 8 accelerators and a job "a" that needs one of them

  Scenario Outline: A crash is weighed by what else may have caused it
    Guards against giving up a job for crashes that something else explains.
    Given <before>
    When "a" runs there for <seconds> s and the worker <goes>
    Then a crash is charged to "a", sole <sole>, prompt <prompt>, unstable <unstable>

    Examples:
      | before                                   | seconds | goes                           | sole | prompt | unstable |
      | nothing else                             | 0.5     | crashes                        | yes  | yes    | no       |
      | nothing else                             | 5       | crashes                        | yes  | no     | no       |
      | job "b" runs there too                   | 0.5     | crashes                        | no   | yes    | no       |
      | job "b" was stopped there, unproved      | 0.5     | crashes                        | no   | yes    | no       |
      | job "b" is only planned there            | 0.5     | crashes                        | yes  | yes    | no       |
      | the worker has crashed idle              | 0.5     | crashes                        | yes  | yes    | yes      |
      | the worker has crashed once under "b"    | 0.5     | crashes                        | yes  | yes    | no       |
      | the worker has crashed twice without "a" | 0.5     | crashes                        | yes  | yes    | yes      |
      | the worker has crashed under no answer   | 0.5     | crashes                        | yes  | yes    | yes      |
      | the worker has drained and come back     | 0.5     | crashes                        | yes  | yes    | no       |
      | the crash comes before the answer        | 0       | crashes                        | yes  | yes    | no       |
      | nothing else                             | 0.5     | closes and crashes later       | yes  | no     | no       |
      | nothing else                             | 0.5     | is replaced with one poll lost | yes  | no     | no       |
      | nothing else                             | 0.5     | crashes as it begins to drain  | yes  | yes    | no       |

  Scenario Outline: A start without an answer counts if its worker is known to be up
    Guards against giving up a job whose starts went to workers that were gone already.
    Given the crash comes before the answer
    When "a" starts there <seconds> s after the worker's last answer, and it crashes
    Then the crash of "a" is <weight>

    Examples:
      | seconds | weight                 |
      | 0.1     | charged with two signs |
      | 0.5     | not proved             |

  Scenario: Losses that are not proved do not add up
    Guards against giving up a job whose starts went to workers that were gone already.
    Given the crash comes before the answer
    When "a" starts there 0.5 s after the worker's last answer, and it crashes, 6 times
    Then the job is shown as "queued"

  Scenario Outline: A loss that is no crash is charged to nobody
    Guards against counting workers that leave, are cut off, or never began the task.
    Given <before>
    When "a" runs there for 0.5 s and the worker <goes>
    Then no crash is charged to "a"

    Examples:
      | before                    | goes                                                 |
      | nothing else              | drains and is replaced                               |
      | nothing else              | is silent and is replaced                            |
      | nothing else              | is silent for 4 s, then refuses, and is replaced     |
      | nothing else              | is silent until its runs lapse, and is replaced      |
      | nothing else              | closes, answers again, falls silent, and is replaced |
      | the start is on its way   | is replaced before it answers                        |

  Scenario Outline: A job is given up by the weight of its crashes
    Guards against giving up too early, or only after more starts than are allowed.
    When "a" has crashes of <signs> signs each, <count> of them
    Then the job is shown as "<state>"

    Examples:
      | signs | count | state   |
      | 2     | 1     | running |
      | 2     | 2     | failed  |
      | 1     | 2     | running |
      | 1     | 3     | failed  |
      | 0     | 3     | running |
      | 0     | 4     | failed  |

  Scenario: Tasks that last are not given up for crashes by chance
    Guards against ending a service that has seen several workers crash in its life.
    Given the tasks of "a" last until it is cancelled
    When "a" has crashes of 1 signs each, 6 of them, all long after its start
    Then the job is shown as "running"

  Scenario: A record of an older build is read
    Guards against a new leader that cannot read the progress of running jobs.
    When the record of "a" lacks the fields that tell of crashes
    Then a successor reads its run, and no crash

  Scenario: An older build reads the record
    Guards against a fleet that is updated, and goes back, while jobs run.
    When "a" has crashes of 2 signs each, 1 of them
    Then a decoder without the fields that tell of crashes reads the record

  Scenario: Jobs that shared a worker with the cause are cleared
    Guards against giving up a job for what another one has done.
    Given job "b" runs there too
    When "a" runs there for 0.5 s and the worker crashes
    And "a" has crashes of 2 signs each, 2 of them
    Then the job is shown as "failed"
    And no crash is charged to "b"

  Scenario: Jobs that were charged twice do not meet a third time
    Guards against charging a job again because it waits for the same proof as the cause.
    Given job "b" runs there too
    When "a" runs there for 5 s and the worker crashes
    And both run there for 5 s again and the worker crashes
    And both are planned again, with room for both on each worker
    Then they run on different workers

  Scenario: The cause is given up before the jobs that share its last crash
    Guards against giving up a job in the same moment in which it would be cleared.
    Given job "b" runs there too
    When "b" has as many crashes without signs as it may have but one
    And "a" has crashes of 1 signs each, 2 of them
    And both run there and the worker crashes
    Then the job is shown as "failed"
    And job "b" goes on

  Scenario: A task that has run for longer does not cause prompt crashes
    Guards against giving up a job that was started again and again beside the cause.
    When "a" has run 2.1 s before one crash, and just begun before 3 others
    Then the job is shown as "running"

  Scenario: No task is started without end, whatever explains each of its crashes
    Guards against a limit that explanations take out of force.
    When "a" has run 2.1 s before one crash, and just begun before 4 others
    Then the job is shown as "failed"
