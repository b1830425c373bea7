Feature: A node that is cut off sends its callers where they can be served

  Scenario Outline: Cut off is who reaches neither the store nor another failure domain
    The load is a failure domain cut off for five seconds whose callers still reach it.
    The domain's nodes can store nothing. They refused each caller until it gave up,
    while every other domain had room. In an outage of the store alone no node is
    better off, and sending callers round would only cost them time.
    Given the other failure domains have been silent for <silent> s
    And the store has been away for <away> s
    Then a node <is> cut off

    Examples:
      | silent | away | is     |
      | 0.0    | 0.0  | is not |
      | 0.3    | 5.0  | is not |
      | 5.0    | 0.0  | is not |
      | 1.0    | 0.1  | is     |
      | 6.0    | 6.0  | is     |

  Scenario: A fleet in one failure domain is never cut off
    Given no node of another failure domain is known
    And the store has been away for 6.0 s
    Then a node is not cut off

  Scenario: A cut of the own failure domain is noticed within a second and a half
    Callers wait three seconds. The balancer believes the second refusal, a second
    after the first, so that little more than a second is left to notice the cut.
    Given a fleet of 3 failure domains with 2 nodes each
    When the own domain is cut off for 1.5 s
    Then the others count as silent for at least 0.9 s
    When the cut is over for 1.0 s
    Then the others count as silent for at most 0.7 s

  Scenario: A cut of another failure domain is not taken for one's own
    If all greetings of a second went to the domain that is cut off while the store is
    away for all, the nodes of a sound domain would take themselves for cut off. They would
    tell the balancer so, and their callers would be sent round for nothing.
    Given a fleet of 3 failure domains with 2 nodes each
    When another domain is cut off for 6.0 s
    Then the others never counted as silent for 0.9 s

  Scenario: A cut that lasts longer than peers are remembered stays one
    Peers that are silent for long are greeted no more. Forgotten with them, a cut of
    half a minute would seem over, and callers would come back to a node that can store
    nothing.
    Given a fleet of 3 failure domains with 2 nodes each
    When the own domain is cut off for 40.0 s
    Then the others count as silent for at least 39.0 s

  Scenario: A peer that is gone for good is not asked to store for others
    The store turns some nodes away, and one node was removed for good. Each caller's
    record was sent to the removed one again and again: half a second each time, with
    an outcome that nobody knows, until the caller had given up without an answer.
    Given a fleet of 3 failure domains with 2 nodes each
    And every peer has said that it reaches the store
    When the leader is removed for good and 4.0 s have passed
    Then it is not asked for help
    And another peer is

  Scenario: A helper that does not answer is not asked again at once
    Given a fleet of 3 failure domains with 2 nodes each
    And every peer has said that it reaches the store
    When the leader does not answer a call for help
    Then it is not asked for help
    And another peer is
