Feature: Answers of outside systems that are large, slow or never end

  Scenario: An answer that is given up is not read on
    Guards against abandoned answers that go on filling the link of a small VM.
    Given a server whose answer of 40 parts takes 4 s
    When it is called with 0.3 s for the answer
    Then the call ends "sent_unanswered" within 0.6 s
    And the server's connection is closed within 0.5 s

  Scenario: A large answer that keeps arriving is read to its end
    Guards against limits for small answers that cut off each try of a large one.
    Given a server whose answer of 40 parts takes 4 s
    When it is called with 0.3 s for the answer to begin and 1.0 s between its parts
    Then the call ends "answered" within 5.2 s

  Scenario: A large answer that stops arriving is given up soon
    Guards against waiting for the whole limit of a large answer on a silent connection.
    Given a server whose answer of 2 parts takes 8 s
    When it is called with 0.3 s for the answer to begin and 0.4 s between its parts
    Then the call ends "sent_unanswered" within 0.8 s
    And the server's connection is closed within 0.5 s

  Scenario: An answer that is announced as too large is not read
    Guards against filling a small link with what is thrown away in the end.
    Given a server whose answer of 40 parts takes 4 s
    When it is called for at most 10000 bytes
    Then the call ends "too_large" within 0.3 s
    And the server's connection is closed within 0.5 s

  Scenario: A small answer that waits behind a large one does not say that the store is away
    Guards against a full link that counts as an outage: the node would refuse its callers.
    Given a store whose listing takes 2 s to arrive and that does not answer else
    When an item is read with 0.4 s for it while the listing arrives
    Then the store still counts as reachable
    When an item is read with 0.4 s for it after the listing
    Then the store counts as unreachable

  Scenario: Connections that have fallen silent are not tried one after the other
    Guards against calls that each run out of time on the next idle connection.
    Given a store with 8 idle connections that have all fallen silent
    When items are read with 0.2 s for each until one is answered
    Then at most 1 read was lost

  Scenario: A listing of the product's own store that keeps arriving is read to its end
    Guards against a limit for small answers on a configuration of a megabyte.
    Given a store of the product's own whose listing takes 3 s to arrive
    When the product's own store is listed
    Then the listing is whole

  Scenario: A listener that finishes takes no call that it cannot answer
    Guards against calls on open connections that are read just before the process ends.
    Given a listener with an idle connection and a call that takes 0.5 s
    When the listener finishes within 2 s
    Then the idle connection was closed before the call was answered
    And the call was answered

  Scenario: A call that finds no connection in time never leaves
    Guards against orders that are sent after they were given up for lack of a connection.
    Given a server that takes no connections
    When it is called with 0.3 s to leave and 1.4 s for the answer
    Then the call ends "not_sent" within 0.6 s
    And nothing arrives when the server takes connections again
