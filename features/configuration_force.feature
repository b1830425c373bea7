Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given three failure domains of one entry VM whose configuration is loaded

  Scenario: Operators race at two gateways
    Two operators read the same revision and change it concurrently at gateways of two
    failure domains. If both were accepted, one change would undo the other unnoticed.
    When two operators change the same revision at once, 20 times
    Then each time exactly one was accepted and the other got "revision_conflict"
    And every accepted change is in the configuration

  Scenario: The response to an accepted change is lost and another change follows
    The store commits a change, but its response is lost; before the gateway reads
    again, another operator has written the next revision. Guards against reporting a
    conflict to the first operator, whose change is in force.
    Given the store drops its response to the next change
    When an operator adds organisation "lost-answer" at the first failure domain
    And once it is in force another operator adds "on-top" at the second
    Then both operators are told that their change was accepted
    And both organisations are in force everywhere

  Scenario: The store is down for a while
    The store refuses all calls. Operators must be told that nothing was changed, and
    the configuration in force must stay.
    When the store goes down
    Then a change is refused as "store_unavailable" with a time to retry
    And status at every gateway reports that the store is unreachable
    And the old configuration is still in force everywhere
    When the store is back
    Then a change is accepted and in force everywhere within 12 seconds

  Scenario: A failure domain is partitioned from everything and comes back
    A failure domain reaches neither the store nor the others. Operators elsewhere must
    see that it is partitioned and which revision it had; reconnected, it must catch up.
    When the third failure domain is partitioned from the store and the others
    And a change is accepted at the first failure domain
    Then status there says "cut off" for the third, at its old revision
    And the third failure domain reports that its store is unreachable
    When all partitions end
    Then the change is in force everywhere within 12 seconds

  Scenario: A process starts from an old peer while the store is down
    A gateway restarts while the store is down, and the only peer it reaches missed
    the last change. It must serve with that peer's revision, adopt the newer one when a
    peer reports it, and never return to the old one.
    Given the third failure domain missed the last change
    When the store goes down and a gateway starts that reaches only the third
    Then the new gateway is ready with the old revision
    When only the store stays down
    Then the newer revision comes into force in every failure domain
    And no process ever returned to a lower revision

  Scenario: The store is restored from an old backup
    The platform restores its store from a backup without the last changes. A process
    that adopted it would undo changes that operators were told are accepted; a
    change on top of it would be accepted but come into force nowhere.
    When the store is restored from a backup that is one change old
    Then every gateway reports "store holds an older configuration"
    And the latest revision is still in force everywhere
    And a change is accepted and in force everywhere within 12 seconds
    And no process ever returned to a lower revision

  Scenario: A gateway that has reached neither store nor peer is not ready
    A gateway starts while its failure domain is partitioned. It knows no organisation,
    so it would refuse every client as unknown.
    When the third failure domain is partitioned and its VM is replaced
    Then its gateway is live but not ready
    And a request and a job there are refused as "not_ready" with a time to retry
    When all partitions end
    Then its gateway is ready
