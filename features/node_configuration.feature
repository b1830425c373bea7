Feature: A new configuration reaches every node and fills nobody's link

  Scenario Outline: A change costs each link little, however large the fleet
    Keys are revoked and a fleet of small VMs with links of 2 Mbit/s adopts three versions
    at once, while a third of the nodes cannot reach the store. When each node sent whole
    configurations to each other, all links were full for a second: nodes lost the store,
    considered themselves partitioned and rejected callers, and the leader's term ended.
    Given a fleet of <nodes> nodes of which two thirds can reach the store
    When three configurations of 6000 bytes come at once
    And 1 round of greetings has passed
    Then every node has the newest configuration
    And no node's link of 2 Mbit/s was busy for more than 0.25 s
    And the nodes sent less than 1.5 times the configuration each on average

    Examples:
      | nodes |
      | 30    |
      | 100   |
      | 300   |
      | 1000  |

  Scenario: A node that no advert reaches hears of a version when it is greeted
    An advert is one message to a few peers, and may be lost or sent to other peers. A
    node that cannot reach the store must learn of the version all the same, or it keeps
    accepting revoked keys.
    Given a fleet of 30 nodes of which two thirds can reach the store
    And adverts are lost
    When three configurations of 6000 bytes come at once
    And 3 rounds of greetings have passed
    Then every node has the newest configuration

  Scenario: A node that the store serves is not sent what its own watch brings
    Given a fleet of 30 nodes of which all can reach the store
    When three configurations of 6000 bytes come at once
    Then no node was sent a configuration by a peer

  Scenario Outline: A node talks to a few others, however large the fleet
    Each greeted peer costs a connection that is kept alive for a while. When a peer was
    drawn for each greeting, every node of a large fleet had connections to all others:
    the keepalives alone kept processors and links of small VMs busy.
    Given a fleet of <nodes> nodes of which all can reach the store
    When 15 s of greetings pass, and then 60 s more
    Then no node greeted more than 16 others within 15 s
    And every node knows at least <known> others

    Examples:
      | nodes | known |
      | 30    | 29    |
      | 100   | 90    |
      | 300   | 90    |
