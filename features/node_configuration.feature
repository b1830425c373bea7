Feature: A new configuration reaches every node and fills nobody's link

  Scenario Outline: A change costs each link little, however large the fleet
    Keys are revoked and a fleet of small VMs with links of 2 Mbit/s adopts three versions
    at once, while the store turns a third of the nodes away. Sent whole by each node to
    each other, the versions held all links for a second: nodes lost the store, took
    themselves for cut off and refused their callers, and the leader's term ended.
    Given a fleet of <nodes> nodes of which the store turns a third away
    When three configurations of 6000 bytes come at once
    And 1 round of greetings has passed
    Then every node has the newest configuration
    And no node's link of 2 Mbit/s was held for more than 0.25 s
    And the nodes sent less than 1.5 times the configuration each on average

    Examples:
      | nodes |
      | 30    |
      | 100   |
      | 300   |
      | 1000  |

  Scenario: A node that no advert reaches hears of a version when it is greeted
    An advert is one message to a few peers, and may be lost or go elsewhere. A node that
    the store turns away must follow all the same, or it goes on taking revoked keys.
    Given a fleet of 30 nodes of which the store turns a third away
    And adverts are lost
    When three configurations of 6000 bytes come at once
    And 3 rounds of greetings have passed
    Then every node has the newest configuration

  Scenario: A node that the store serves is not sent what its own watch brings
    Given a fleet of 30 nodes of which the store turns none away
    When three configurations of 6000 bytes come at once
    Then no node was sent a configuration by a peer

  Scenario Outline: A node talks to a few others, however large the fleet
    Each peer greeted is a connection that is kept alive for a while. Drawn anew for each
    greeting, every node of a large fleet had one to every other: the signs of life alone
    kept processors and links of small VMs busy, and more so the larger the fleet.
    Given a fleet of <nodes> nodes of which the store turns none away
    When 15 s of greetings pass, and then 60 s more
    Then no node greeted more than 16 others within 15 s
    And every node has heard of at least <known> others

    Examples:
      | nodes | known |
      | 30    | 29    |
      | 100   | 90    |
      | 300   | 90    |
