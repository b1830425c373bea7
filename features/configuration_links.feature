Feature: A large configuration reaches nodes behind slow links

  Scenario: A configuration that takes long to come over a node's link is adopted
    Guards against timeouts that abort every attempt to read a large response.
    Given a node whose link to the store carries 5 Mbit/s
    And the store has not answered it for 6 s
    When 2200 routes are added and the store answers again
    Then the node serves the newest route within 3 s

  Scenario: A node that missed many versions reads only the newest
    Guards against reading all missed versions, which exceed the size of a response.
    Given a node whose link to the store carries 5 Mbit/s
    And the store rejects its calls
    When 2200 routes are added and 14 versions follow
    And the store accepts its calls again
    Then the node serves the newest route within 3 s

  Scenario: Versions that come faster than a node's link carries them are skipped
    Guards against reading a series of versions in turn with a growing delay.
    Given a node whose link to the store carries 5 Mbit/s
    When 2200 routes are added and 14 versions follow
    Then the node serves the newest route within 3 s

  Scenario: A full link is not taken for an outage of the store
    Guards against small responses queued behind a large one that count as an outage.
    Given a node whose link to the store carries 1 Mbit/s
    When 2200 routes are added
    Then the node serves the newest route within 8 s
    And it has not reported the store as unreachable

  Scenario Outline: Nodes that the store rejects get large versions from peers in time
    Guards against copies from peers that exceed the heartbeat timeout and fill links.
    Given a fleet of <nodes> nodes with links of 5 Mbit/s of which the store rejects a third
    When 5 versions of 1400 routes come 1.2 s apart
    Then every node had every version, or a newer one, within 3 s
    And no node's link was busy for more than 0.7 s by one version

    Examples:
      | nodes |
      | 40    |
      | 150   |
