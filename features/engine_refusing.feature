Feature: A caller that is refused learns when to come back

  Scenario Outline: The longer the store is away, the later callers come back
    The store is away for several seconds. A caller comes back four times at most;
    told one second each time, it gives up although its job could still be done.
    When callers are refused <away> s after the store was lost
    Then they are told to come back after <later> s

    Examples:
      | away | later |
      | 0.0  | 1     |
      | 0.7  | 1     |
      | 2.0  | 2     |
      | 6.0  | 3     |

  Scenario: Four tries reach across an outage of seven seconds
    Given a store that is unavailable for 7 s
    When a caller comes at the first moment and obeys each answer, four times at most
    Then its last attempt reaches a store that answers

  Scenario Outline: Small VMs let larger ones lead
    A VM with a slow link or processor wins the election, keeps its lease, and takes
    seconds to read the records; nothing is scheduled meanwhile.
    Then a VM with <cores> cores and <link> Mbit/s stands <delay> s after the others

    Examples:
      | cores | link   | delay |
      | 1.07  | 1000.0 | 0.0   |
      | 2.15  | 200.0  | 0.0   |
      | 0.52  | 1000.0 | 0.25  |
      | 0.52  | 10.0   | 0.5   |
