Feature: A leader on a small link hands over to a larger VM

  Scenario Outline: A leader hands over only to a fitter VM with a larger link
    Guards against handovers that gain nothing, and leaders that never hand over.
    Given a leader with a link of <own> Mbit/s whose campaigns wait <delay> s
    And a peer with <other> Mbit/s whose campaigns wait <less> s
    Then the leader <does> to it within 6 s

    Examples:
      | own    | delay | other  | less | does               |
      | 5.0    | 0.5   | 100.0  | 0.0  | hands over         |
      | 5.0    | 0.5   | 100.0  | 0.25 | hands over         |
      | 5.0    | 0.25  | 100.0  | 0.25 | does not hand over |
      | 5.0    | 0.5   | 10.0   | 0.25 | does not hand over |
      | 100.0  | 0.25  | 1000.0 | 0.0  | does not hand over |

  Scenario: A leader that gets the leadership back hands over less and less often
    Guards against endless handovers while the larger VM cannot take over.
    Given a leader with a link of 5.0 Mbit/s whose campaigns wait 0.5 s
    And a peer with 100.0 Mbit/s whose campaigns wait 0.0 s
    When it is elected again each time
    Then it hands over at most 6 times within 120 s

  Scenario: A leader that does not reach the store keeps its term
    Guards against releasing a key that no other node could acquire.
    Given a leader with a link of 5.0 Mbit/s whose campaigns wait 0.5 s
    And a peer with 100.0 Mbit/s whose campaigns wait 0.0 s
    When the store does not answer the leader
    Then the leader does not hand over to it within 6 s

  Scenario: A larger VM that comes later leads within seconds
    Guards against a small VM that keeps leading because it was the first to campaign.
    Given a node with a link of 5 Mbit/s that leads and one with 100 Mbit/s that is down
    When the larger VM starts
    Then it leads within 10 s, and a job that is submitted then is completed
