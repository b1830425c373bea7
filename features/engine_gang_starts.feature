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

  Scenario Outline: A gang whose members do not all start in time is aborted
    Guards against members that wait for a start in a queue until they end alone.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When the start of the third is <third> 1.6 s after the first start
    Then all three members are ordered to stop, 1.4 s before the first would end alone

    Examples:
      | third         |
      | still queued  |
      | only now sent |

  Scenario: A gang that is at work is not aborted because a start got no answer yet
    Guards against losing the work of a gang whose last member did start.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When a poll reports progress of the first before the start of the third is answered
    Then no member is ordered to stop 2.9 s after the first start

  Scenario Outline: A successor aborts a gang only if its members may wait for another
    Guards against members that end alone, or lose their work, after a change of leader.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When a successor finds the two at <percent> percent, and the third's worker is silent
    Then the successor has <stopped> 1.6 s later

    Examples:
      | percent | stopped                |
      | 0       | stopped all members    |
      | 10      | not stopped any member |

  Scenario: The abort of a gang is logged once
    Guards against logs in which one aborted run looks like many.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When the start of the third is still queued 1.6 s after the first start
    And the gang is checked again before its stops are answered
    Then one abort of it is logged

  Scenario: Saved progress of a resumed gang does not prove that all have started
    Guards against members that wait in vain because they show what was saved before.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When it has resumed from a checkpoint, and a poll shows the first at 40 percent
    Then all three members are ordered to stop 1.6 s after the first start

  Scenario: A successor does not abort a resumed gang that is at work
    Guards against losing the work of gangs whose workers a slow successor polls late.
    Given a gang of 3 whose members wait 3 s, two of which were started 1 s apart
    When it has resumed from a checkpoint, and a successor finds the two at 40 percent
    Then the successor has not stopped any member 1.6 s later
