Feature: Promises hold while nodes restart and are told to reload at once

  Scenario Outline: A reload signal meets a node that has hardly started
    A restarted node gets the reload signal before it has installed its handler. The
    soak finds nodes that do not come back, and jobs that were lost with them.
    When the soak runs with seed <seed> for <length> s
    Then no promise was broken

    Examples:
      | seed | length | why it is kept                                                   |
      | 200  | 12     | a reload signal ended a process before the interpreter's first line |
      | 201  | 12     | a reload signal ended a process before the interpreter's first line |
      | 205  | 12     | a reload signal ended a process before the interpreter's first line |
      | 207  | 12     | a node ended without a log line when told to reload at its start |
