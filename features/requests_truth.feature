Feature: Requests run at most once, and "not_run" is answered only if true

  Background:
    Given a request site

  Scenario Outline: A caller retries while the first attempt is in flight
    The client sends the same request again at another gateway. Without a single
    owner of the id it would run twice.

    Given the targets take 0.8 s
    When a single-run request is sent at "bern-halle-1"
    And its run has started
    And the request is sent again at "<other>"
    Then attempt 1 is answered "done"
    And attempt 2 is answered "done"
    And the request ran 1 time

    Examples:
      | other         |
      | bern-halle-1  |
      | bern-halle-2  |
      | olten-halle-1 |

  Scenario Outline: A caller retries after the answer
    The answer was lost on its way to the caller, whose retry may reach any
    gateway.

    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    When the request is sent again at "<other>"
    Then attempt 2 is answered "done"
    And the request ran 1 time

    Examples:
      | other         |
      | bern-halle-2  |
      | olten-halle-1 |

  Scenario: A caller retries with a ticket in another failure domain
    A ticket names the incarnation of the gateway that issued it. A retry must
    be relayed there from any gateway.

    When a single-run request with a ticket of "bern-halle-1" is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    When the request is sent again at "olten-halle-1"
    Then attempt 2 is answered "done"
    And the request ran 1 time

  Scenario: A caller retries during a partition of the failure domains
    The retry reaches the other failure domain, which can read the owner of the
    id but cannot reach it. It must answer "unknown"; after the partition the same
    id gives the outcome.

    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    When the failure domains are partitioned from each other
    And the request is sent again at "olten-halle-1" with a deadline of 700 ms
    Then attempt 2 is answered "unknown"
    When the partition ends
    And the request is sent again at "olten-halle-1"
    Then attempt 3 is answered "done"
    And the request ran 1 time

  Scenario: A relayed request is delayed by a partition past its deadline
    The other failure domain relays the request, and the partition delays the
    message. The caller gets "unknown", asks the owner, gets "not_run" and sends
    the request with a new id. If the old message then ran, it would run twice.

    Given the failure domains are already partitioned from each other
    When a single-run request with a ticket of "bern-halle-1" is sent at "olten-halle-1" with a deadline of 700 ms
    Then attempt 1 is answered "unknown"
    When the partition ends
    And another single-run request with a ticket of "bern-halle-1" was relayed the same way
    Then the request ran 0 times

  Scenario Outline: The gateway that owns the id is killed while the request runs
    The gateway's VM fails in the middle of a request. Whether it ran is no longer
    known, so no other gateway may run it, or answer that it did not run.

    Given the targets take 0.5 s
    When a single-run request <with> is sent at "bern-halle-1"
    And its run has started
    And gateway "bern-halle-1" is killed
    And the request is sent again at "<other>" with a deadline of 2000 ms
    Then attempt 2 is answered "unknown"
    When gateway "bern-halle-1" is started again
    And the request is sent again at "bern-halle-1" with a deadline of 2000 ms
    Then attempt 3 is answered "unknown"
    And the request ran 1 time

    Examples:
      | with                          | other         |
      | with its own id               | bern-halle-2  |
      | with a ticket of "bern-halle-1" | olten-halle-1 |

  Scenario: The answer comes after the deadline
    The target is slow. The caller must get "unknown" at the deadline and not
    later, and the late answer when it retries with the same id.

    Given the targets take 1.2 s
    When a single-run request is sent at "bern-halle-1" with a deadline of 600 ms
    Then attempt 1 is answered "unknown" before 1.1 s
    And it has a retry time
    When the request is sent again at "olten-halle-2"
    Then attempt 2 is answered "done"
    And the request ran 1 time

  Scenario: Two copies arrive at once at different gateways
    A client sends the same request over several connections at the same time.

    When 8 copies of a single-run request are sent at once
    Then every attempt is answered "done"
    And the request ran 1 time

  Scenario Outline: The connection to the target breaks
    A target breaks the connection before or after it ran the request. Bytes were
    sent, so the gateway cannot know which: it must answer "unknown" and must not
    send the request a second time.

    Given the targets answer in mode "<mode>"
    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "unknown"
    Given the targets answer in mode "ok"
    When the request is sent again at "bern-halle-2"
    Then attempt 2 is answered "unknown"
    And the request arrived 1 time

    Examples:
      | mode         |
      | reset_before |
      | reset        |
      | crossed      |
      | truncated    |

  Scenario: The connection to the target breaks while the request is being sent
    Part of the request was sent when the target's connection breaks. The gateway
    cannot know whether that part was enough to run it.

    When a large single-run request is sent at "bern-halle-1" to a target that resets connections
    Then attempt 1 is answered "unknown"
    And the target was connected to 1 time for it

  Scenario: No target can be connected to
    All targets of the service are down. Nothing was sent, so "not_run" is
    correct, and the same id may run later.

    Given every target is killed
    When a single-run request is sent at "bern-halle-1" with a deadline of 1500 ms
    Then attempt 1 is answered "not_run"
    And it has a retry time
    When every target is started again
    Then the request is eventually answered "done" at "olten-halle-1"
    And the request ran 1 time

  Scenario: The store loses the answer to the claim
    The claim was written, but the gateway got no answer. It must recognise its
    own write, and neither run the request twice nor refuse it permanently.

    Given the store loses 1 answer to a claim
    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    When the request is sent again at "olten-halle-1"
    Then attempt 2 is answered "done"
    And the request ran 1 time

  Scenario: The store is unavailable
    Tickets need no store. The owner of an id that the caller chose cannot be
    read: an earlier attempt may have run elsewhere, and after "not_run" the
    caller would send the request with a new id and run it twice.

    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    Given the store is unavailable
    When the request is sent again at "olten-halle-1"
    Then attempt 2 is answered "unknown"
    And it has a retry time
    And the request ran 1 time
    When a single-run request marked as its first attempt is sent at "olten-halle-1"
    Then attempt 1 is answered "not_run"
    And the request ran 0 times
    When a single-run request with a ticket of "olten-halle-1" is sent at "olten-halle-1"
    Then attempt 1 is answered "done"
    And the request ran 1 time

  Scenario: The caller disconnects before the answer
    The caller loses its network just after sending the request. The request runs
    once, and the next attempt gets its answer.

    Given the targets take 0.5 s
    When a single-run request is sent at "bern-halle-1" by a caller who disconnects
    And its run has started
    And the request is sent again at "bern-halle-2"
    Then attempt 1 is answered "done"
    And the request ran 1 time
