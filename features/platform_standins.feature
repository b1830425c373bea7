Feature: The ledger of the platform's stand-ins judges each end as done by itself

  A task must not start after it has ended as done, if that end is acknowledged before
  or later. Ends that a worker took with it when it went down may be unknown for good.

  Scenario Outline: A task starts again after it was done
    Guards against a ledger that overlooks second starts, as the soak then finds none.
    Given two stand-in workers of the platform, and a task that is done on the first
    When <events>, and it starts on the second
    And its end is acknowledged if the first still lists it
    Then the ledger says <problems>

    Examples:
      | events                                            | problems                 |
      | its end is acknowledged                           | "acknowledged before"    |
      | its end is acknowledged and the first goes down   | "acknowledged before"    |
      | nothing else happens                              | "acknowledged afterwards" |
      | the lease lapses                                  | "lease lapsed"           |
      | the first goes down                               | nothing                  |

  Scenario: A later run of a task is done
    Guards against exempting a task for ever, as one of its ends was lost.
    Given two stand-in workers of the platform, and a task that is done on the first
    When the first goes down, and it starts on the second
    And it is done there as well, and starts again
    Then the ledger says "end 1 of run 2"

  Scenario: One member's end stands for the gang
    Guards against a gang that runs again, as its other member's end was lost.
    Given two stand-in workers of the platform, and a gang of 2 that is done on them
    When the first goes down, and the first member starts on the second
    Then the ledger says "end 1 of run 1"

  Scenario: A worker that is down carries out nothing
    Guards against work on a worker that is down, which no leader can know.
    Given two stand-in workers of the platform, and a task that is done on the first
    When the first goes down, and an order comes there
    Then it is not carried out
