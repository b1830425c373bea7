Feature: Planning passes leave the processor to orders and answers

  Scenario Outline: Passes use at most a third of the processor
    Guards against a leader on a small VM whose orders wait for seconds behind passes.
    Given a leader whose planning passes take <pass> s each
    When something changes every 0.002 s for 10 s
    Then passes take at most a third of that time, and <count> are run or more

    Examples:
      | pass  | count |
      | 0.001 | 1000  |
      | 0.01  | 300   |
      | 0.1   | 30    |

  Scenario: A single change is planned within a few milliseconds
    Guards against urgent work that waits although the leader is idle.
    Given a leader whose planning passes take 0.1 s each
    When something changes once after an idle second
    Then a pass begins within 0.21 s, and within 0.005 s if it is the first

  Scenario Outline: A pass plans for a limited time, and at least one unit
    Guards against a pass that blocks the leader until its lease has ended, and against
    one that never comes to its first unit.
    Given a pass in which each unit takes <unit> s
    When it plans units while its budget lasts
    Then it plans <count> units

    Examples:
      | unit | count |
      | 0.03 | 4     |
      | 0.5  | 1     |
