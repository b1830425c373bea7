Feature: A leaving target gets no new requests after a few seconds

  Background:
    Given a request site with 2 targets in each failure domain
    And callers continuously send idempotent requests at every gateway

  Scenario: The VM list lags behind a target that leaves
    The target reports that it will stop, but the platform's list still shows it
    as live. Requests sent to it now would be aborted when it stops.

    When the first target reports that it is leaving
    Then it gets no new requests after 3 s

  Scenario: A target leaves while it is the fastest
    The other targets are much slower, so the routing prefers the target that is
    leaving.

    Given the first target is 20 times faster than the others
    When the first target reports that it is leaving
    Then it gets no new requests after 3 s

  Scenario: A target leaves while the store is unavailable
    The VM list cannot be read and nothing can be written. The target's own
    report must still reach the gateways of the other failure domain.

    Given the store is unavailable
    When the first target reports that it is leaving
    Then it gets no new requests after 3 s

  Scenario: A target leaves while the failure domains are partitioned
    No gateway of the target's failure domain can relay its report, so the other
    gateways must probe the target themselves.

    Given the failure domains receive no heartbeats from each other
    When the first target reports that it is leaving
    Then it gets no new requests after 3 s

  Scenario: A leaving target stops answering
    The target does not answer probes while it shuts down. That must not count
    as being back in service: a request sent now would be lost.

    When the first target reports that it is leaving
    Then it gets no new requests after 3 s
    When the first target freezes for 2 s
    Then it gets no new requests after 0 s

  Scenario: The VM list alone says that a target leaves
    The platform has marked the VM as leaving before the target knows it.

    When the VM list shows the first target as leaving
    Then it gets no new requests after 3 s
