Feature: Operators see what happens, and strangers change nothing

  Background:
    Given a small site whose operators have a token

  Scenario: Only operators read and change the configuration
    Without the token, anybody who reaches a gateway's port could remove an
    organisation's guarantee.
    When the configuration is read and changed without the token
    Then both are rejected as "unauthorised"
    And a wrong token of the same length is rejected as "unauthorised"
    And the command line changes the configuration with the token

  Scenario: Outcomes, refusals and times can be read from the metrics
    Operators set alarms on failing requests. If metrics did not count outcomes by
    type, many rejections would look like little traffic.
    Given the site is configured with its token
    When a request is answered and one for an unknown service is rejected
    Then the gateway's metrics count one of each, and both in the histogram
    And its events, connections and loop lag are in the metrics

  Scenario: A gateway that stops says so before it closes
    The load balancer polls every second. If a gateway closed its listener while the
    balancer still sent callers there, their connections would be refused.
    When the gateway is told to stop while it is polled every 20 ms
    Then it reported "not ready" for at least 0.2 s before its listener closed
    And it was live until then

  Scenario: The command line shows a change before it is made
    A file changes another organisation than the operator means, or has a shape that
    no longer fits. Both must show before the change is applied.
    Given the site is configured with its token
    When a change is compared, applied as a dry run and applied from the command line
    Then comparison and dry run changed nothing, and showed what would change
    And the change was applied
    And a shape that cannot fit is rejected in a dry run with exit code 3
    And jobs can be submitted, watched, listed and cancelled from there
