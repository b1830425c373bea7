Feature: A gang that can no longer start frees all its workers at once

  Scenario Outline: All members end when one of them cannot take part
    Guards against members that hold their workers until they end by themselves.
    Given a gang of 3 of which two members are running and one is <third>
    When <event>
    Then all three members are ordered to stop
    And the gang is planned again within 0.1 s of the proof that they are over

    Examples:
      | third   | event                                             |
      | sent    | the start of the third gets no answer             |
      | running | a poll does not list the third, nor any end of it |

  Scenario: A successor ends a gang that its predecessor was aborting
    Guards against members that hold their workers after a change of the leader.
    Given a gang of 3 of which two members are running and one is sent
    When the start of the third gets no answer
    And it is proved over, and the leader is succeeded before the others are
    Then the two others are ordered to stop by the successor
