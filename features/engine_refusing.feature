Feature: A caller that is refused learns when to retry

  Scenario Outline: The longer a store outage lasts, the later callers come back
    The store is unavailable for several seconds, and a caller retries four times at
    most. If it were told one second each time, it would give up although its job could
    still be done.
    When callers are refused <outage> s after the store was lost
    Then they are told to come back after <later> s

    Examples:
      | outage | later |
      | 0.0    | 1     |
      | 0.7    | 1     |
      | 2.0    | 2     |
      | 6.0    | 3     |

  Scenario: Four attempts span a store outage of seven seconds
    Given a store that is unavailable for 7 s
    When a caller comes at the first moment and obeys each answer, four times at most
    Then its last attempt reaches a store that answers

  Scenario Outline: Small VMs let larger ones lead
    A VM with a slow link or processor that wins the election keeps its lease, but takes
    seconds to read the records. Nothing is scheduled meanwhile.
    Then a VM with <cores> cores and <link> Mbit/s campaigns <delay> s after the others

    Examples:
      | cores | link   | delay |
      | 1.07  | 1000.0 | 0.0   |
      | 2.15  | 200.0  | 0.0   |
      | 0.52  | 1000.0 | 0.25  |
      | 0.52  | 10.0   | 0.5   |
