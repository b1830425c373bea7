Feature: Responses of external systems that are large, slow or endless

  Scenario: A response that timed out is not read further
    Guards against aborted calls whose responses still use the slow link of a small VM.
    Given a server whose response of 40 chunks takes 4 s
    When it is called with 0.3 s for the response
    Then the call ends "sent_unanswered" within 0.6 s
    And the server's connection is closed within 0.5 s

  Scenario: A large response that keeps arriving is read completely
    Guards against timeouts for small responses that abort each attempt at a large one.
    Given a server whose response of 40 chunks takes 4 s
    When it is called with 0.3 s for the response to begin and 1.0 s between its chunks
    Then the call ends "answered" within 5.2 s

  Scenario: A large response that stops arriving times out soon
    Guards against waiting for the full timeout of a large response on a dead connection.
    Given a server whose response of 2 chunks takes 8 s
    When it is called with 0.3 s for the response to begin and 0.4 s between its chunks
    Then the call ends "sent_unanswered" within 0.8 s
    And the server's connection is closed within 0.5 s

  Scenario: A response that is announced as too large is not read
    Guards against filling a slow link with a body that is discarded.
    Given a server whose response of 40 chunks takes 4 s
    When it is called for at most 10000 bytes
    Then the call ends "too_large" within 0.3 s
    And the server's connection is closed within 0.5 s

  Scenario: A small response queued behind a large one does not count as an outage
    Guards against taking a full link for an outage: the node would refuse its clients.
    Given a store whose listing takes 2 s to arrive and that answers no other call
    When an item is read with 0.4 s for it while the listing arrives
    Then the store still counts as reachable
    When an item is read with 0.4 s for it after the listing
    Then the store counts as unreachable

  Scenario: Dead connections are not tried one after the other
    Guards against calls that each time out on the next idle connection.
    Given a store with 8 idle connections that are all dead
    When items are read with 0.2 s for each until one is answered
    Then at most 1 read was lost

  Scenario: A listing of the etcd store that keeps arriving is read completely
    Guards against a timeout for small responses on a configuration of 1 MB.
    Given an etcd store whose listing takes 3 s to arrive
    When the etcd store is listed
    Then the listing is complete

  Scenario: A listener that finishes accepts no call that it cannot answer
    Guards against calls on open connections that arrive just before the process exits.
    Given a listener with an idle connection and a call that takes 0.5 s
    When the listener finishes within 2 s
    Then the idle connection was closed before the call was answered
    And the call was answered

  Scenario: A call that gets no connection in time is never sent
    Guards against sending orders that already failed for lack of a connection.
    Given a server that accepts no connections
    When it is called with 0.3 s to be sent and 1.4 s for the response
    Then the call ends "not_sent" within 0.6 s
    And nothing arrives when the server accepts connections again

  Scenario: A call that counts as not sent never arrives, although the process stood still
    Guards against tasks that run twice, as a start that was not sent is planned again.
    Given a server that counts the calls that arrive
    When 200 calls get up to 6 ms to be sent while the process stands still for up to 20 ms
    Then some of them count as not sent and some are answered
    And none that counts as not sent has arrived

  Scenario Outline: A process that has ended is told from a path that is cut
    Guards against taking a crashed worker for one that is only out of reach.
    Given a server that <behaves>
    When it is called with 0.3 s for the response
    Then the call ends "<kind>" within 0.6 s, closed by the server: <closed>

    Examples:
      | behaves                           | kind            | closed |
      | has ended                         | not_sent        | yes    |
      | ends while it handles a call      | sent_unanswered | yes    |
      | resets while it handles a call    | sent_unanswered | yes    |
      | does not answer                   | sent_unanswered | no     |
