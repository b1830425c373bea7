Feature: A partitioned failure domain serves what it can and rejoins without a double run

  Scenario Outline: Partitioned from <what>, <times>
    A failure domain is partitioned while a gang runs there, and callers and
    operators go on calling its gateway. Calls that need nothing outside must be
    served; the others must be refused with the true reason and a time to retry. A
    call that is repeated after the partition must succeed, and nothing may run twice.
    Given three failure domains with a gang running in the third
    When the third is partitioned from <what> and calls of every kind arrive, <times>
    Then every call that needs neither <what> was served
    And every other call was refused with its true reason and a time to retry
    When the partition is over and callers repeat the refused calls
    Then every request ran exactly once
    And every job ran exactly once and the gang was never interrupted
    And the configuration is the same everywhere within 12 seconds

    Examples:
      | what                     | times |
      | the store                | once  |
      | the others               | once  |
      | the store and the others | once  |
      | the store and the others | twice |
