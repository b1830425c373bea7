Feature: A planned stop aborts no request

  Background:
    Given a request site with 2 targets in each failure domain

  Scenario: A gateway is stopped while slow requests are open
    A VM is replaced while requests are open. Each of them, queued ones included,
    must be answered before the gateway exits.

    Given the targets take 0.5 s
    When 60 callers send requests at "bern-halle-1"
    And gateway "bern-halle-1" is told to stop
    Then all of them are answered "done"
    And gateway "bern-halle-1" ended gracefully

  Scenario: The stop signal is repeated
    A supervisor repeats the signal until the process has exited. A late signal
    must not turn the graceful stop into a crash.

    Given the targets take 0.5 s
    When 20 callers send requests at "bern-halle-1"
    And gateway "bern-halle-1" is told to stop until it has exited
    Then all of them are answered "done"
    And gateway "bern-halle-1" ended gracefully

  Scenario: A request arrives on an open connection while the gateway stops
    A client reuses its connection just after the stop began. The request is
    served, and the client is told to close the connection.

    Given a caller with an open connection to "bern-halle-1"
    And the targets take 1.0 s
    When 8 callers send requests at "bern-halle-1"
    And gateway "bern-halle-1" is told to stop
    And gateway "bern-halle-1" no longer listens
    And the caller sends a request on the open connection
    Then the caller is answered "done" and told to close the connection
    And all of them are answered "done"
    And gateway "bern-halle-1" ended gracefully

  Scenario: The time to stop expires before the requests end
    A request takes longer than the time to stop. Its caller must get the outcome
    as far as it is known, instead of a broken connection.

    Given gateway "bern-halle-1" may take 1 s to stop
    And the targets take 5.0 s
    When 40 callers send requests at "bern-halle-1"
    And gateway "bern-halle-1" is told to stop
    Then each of them is answered "unknown" or "not_run"
    And those answered "not_run" did not run
    And gateway "bern-halle-1" ended gracefully

  Scenario: All gateways of a failure domain are replaced in turn
    A failure domain is upgraded under load. Callers whose connection is refused
    use another gateway, and no request is lost.

    Given the targets take 0.02 s
    And callers continuously send single-run requests and use another gateway when refused
    When every gateway of "bern-halle" is replaced in turn
    Then none of their requests was aborted
    And none of their requests ran twice

  Scenario: A caller disconnects while its idempotent request is queued
    Nobody waits for the answer any more. Running the request would take a slot
    from a caller that still waits.

    Given the targets take 0.4 s
    When 80 callers send requests at "bern-halle-1"
    And a caller disconnects from "bern-halle-1" while an idempotent request is queued there
    Then all of them are answered "done"
    And the idempotent request ran nowhere
