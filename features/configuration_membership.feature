Feature: Membership at the required fleet size

  Scenario: In a healthy fleet no process is marked as lost
    Peers in other failure domains are contacted in rotation. Guards against limits
    too short for the rotation: live gateways would lose their shares sporadically.
    Given the membership of 6 failure domains with 3 entry VMs of 2 processes each
    When 150 heartbeat periods pass
    Then no process has marked another as lost

  Scenario: Exchanges are few at full fleet size
    Guards against heartbeats between all nearby processes: 4 times the permitted load.
    Given the membership of 6 failure domains with 9 entry VMs of 2 processes each
    When 20 heartbeat periods pass
    Then no process had more than 20 exchanges a period on average

  Scenario: A partitioned failure domain is detected within seconds and comes back
    All processes of a failure domain become unreachable at once. Guards against limits
    per peer only, which would detect the partition after minutes.
    Given the membership of 6 failure domains with 9 entry VMs of 2 processes each
    When 10 heartbeat periods pass
    And the last failure domain is partitioned for 14 periods
    Then every process has marked exactly the other side of the partition as lost
    When the partition of the membership ends and 5 periods pass
    Then every process has heard from the last failure domain again

  Scenario: A process that was paused itself marks no process as lost
    A process resumes after a minute without heartbeats. If it marked all others as
    lost, it would claim the full capacity of every target.
    Given the membership of 3 failure domains with 2 entry VMs of 2 processes each
    When 20 heartbeat periods pass
    And one process is paused for 60 periods
    Then it has marked no process as lost
