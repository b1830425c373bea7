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
    Given a store that is away for 7 s
    When a caller comes at the first moment and obeys each answer, four times at most
    Then its last try meets a store that answers
