Feature: Promises hold while nodes restart and are told to reload at once

  Scenario Outline: A reload signal meets a node that has hardly started
    Signals come in series: a node is restarted and told to reload before it has set
    up what handles the signal. A user would notice a node that stays away, and jobs
    that were lost with it.
    When the soak plays seed <seed> for <length> s
    Then no promise was broken

    Examples:
      | seed | length | why it is kept                                                   |
      | 200  | 12     | a reload signal ended a process before the interpreter's first line |
      | 201  | 12     | a reload signal ended a process before the interpreter's first line |
      | 205  | 12     | a reload signal ended a process before the interpreter's first line |
      | 207  | 12     | a node told to reload while it started ended without a word      |
