Feature: A partitioned node sends its callers where they can be served

  Scenario Outline: A partitioned node reaches neither the store nor another domain
    A failure domain is partitioned for five seconds while its callers still reach it.
    Its nodes can store nothing. They rejected each caller until it gave up, while
    every other domain had free capacity. In an outage of the store alone no node is
    better off, and sending callers elsewhere would only cost them time.
    Given no node of another failure domain has answered for <silent> s
    And the store has been unreachable for <outage> s
    Then a node <is> partitioned

    Examples:
      | silent | outage | is     |
      | 0.0    | 0.0    | is not |
      | 0.3    | 5.0    | is not |
      | 5.0    | 0.0    | is not |
      | 1.0    | 0.1    | is     |
      | 6.0    | 6.0    | is     |

  Scenario: A fleet in one failure domain is never partitioned
    Given no node of another failure domain is known
    And the store has been unreachable for 6.0 s
    Then a node is not partitioned

  Scenario: A partition of the own failure domain is detected within a second and a half
    Callers wait three seconds. The load balancer reacts to the second failed check, a
    second after the first, which leaves little more than a second to detect a partition.
    Given a fleet of 3 failure domains with 2 nodes each
    When the own domain is partitioned for 1.5 s
    Then the other domains count as silent for at least 0.9 s
    When the partition has been over for 1.0 s
    Then the other domains count as silent for at most 0.7 s

  Scenario: A partition of another failure domain is not taken for one's own
    If all greetings of a second went to the partitioned domain during an outage of the
    store, the nodes of a healthy domain would consider themselves partitioned. They would
    report so to the load balancer, and callers would be sent elsewhere for nothing.
    Given a fleet of 3 failure domains with 2 nodes each
    When another domain is partitioned for 6.0 s
    Then the other domains never counted as silent for 0.9 s

  Scenario: A partition that lasts longer than peers are remembered is still detected
    Peers that are silent for long are forgotten. If the silence were forgotten with them,
    a partition of half a minute would seem over, and callers would be sent back to a node
    that can store nothing.
    Given a fleet of 3 failure domains with 2 nodes each
    When the own domain is partitioned for 40.0 s
    Then the other domains count as silent for at least 39.0 s

  Scenario: A peer that is gone for good is not asked to store for others
    Some nodes cannot reach the store, and one node was removed for good. Each caller's
    record was sent to the removed node again and again: half a second each time, with an
    unknown outcome, until the caller had given up without an answer.
    Given a fleet of 3 failure domains with 2 nodes each
    And every peer has reported that it reaches the store
    When the leader is removed for good and 4.0 s have passed
    Then it is not asked for help
    And another peer is

  Scenario: A helper that does not answer is not asked again at once
    Given a fleet of 3 failure domains with 2 nodes each
    And every peer has reported that it reaches the store
    When the leader does not answer a call for help
    Then it is not asked for help
    And another peer is
