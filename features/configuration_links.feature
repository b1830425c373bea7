Feature: A large configuration reaches nodes behind small links

  Scenario: A configuration that takes long to come over a node's link is adopted
    Guards against time limits that cut off a large answer each time that it is asked for.
    Given a node whose link to the store carries 5 Mbit/s
    And the store has not answered it for 6 s
    When 2200 routes are added and the store answers again
    Then the node serves the newest route within 3 s

  Scenario: A node that missed many versions reads only the newest
    Guards against catching up with every version missed, which is more than an answer holds.
    Given a node whose link to the store carries 5 Mbit/s
    And the store turns it away
    When 2200 routes are added and 14 versions follow
    And the store takes it back
    Then the node serves the newest route within 3 s

  Scenario: Versions that come faster than a node's link carries them are skipped
    Guards against reading every version of a series in turn, each later than the one before.
    Given a node whose link to the store carries 5 Mbit/s
    When 2200 routes are added and 14 versions follow
    Then the node serves the newest route within 3 s

  Scenario: A full link is not taken for the loss of the store
    Guards against small answers that wait behind a large one and count as an outage.
    Given a node whose link to the store carries 1 Mbit/s
    When 2200 routes are added
    Then the node serves the newest route within 8 s
    And it has not counted the store as lost

  Scenario Outline: Nodes that the store turns away have large versions from peers in time
    Guards against copies from peers that take longer than a greeting may, and fill links.
    Given a fleet of <nodes> nodes with links of 5 Mbit/s of which the store turns a third away
    When 5 versions of 1400 routes come 1.2 s apart
    Then every node had every version, or a newer one, within 3 s
    And no node's link was held for more than 0.7 s by one version

    Examples:
      | nodes |
      | 40    |
      | 150   |
