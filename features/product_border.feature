Feature: Slow and hostile peers cost bounded memory and stop nobody else

  Background:
    Given a listener of 16 connections with a request timeout of 2 s

  Scenario: Senders that trickle their requests keep nobody out
    Peers take every connection and send a header line from time to time, so that
    no connection is idle. Without a limit for the whole request, other callers
    never get a connection.
    When 16 peers slowly send it header lines
    Then a caller is answered within 1 s
    And the connections of all slow peers are closed within 6 s

  Scenario: A flood of silent connections keeps nobody out
    A port scanner or a faulty load balancer opens hundreds of connections and sends
    nothing. The process must neither grow with them nor reject other callers.
    When 300 peers connect and send nothing
    Then a caller is answered within 1 s
    And the listener holds at most 16 connections
    And its memory grew by less than 8 MB

  Scenario: Callers who are being served are never cut for newcomers
    Every connection has a request that is being served. Another caller's connection
    is closed at once, and new ones are accepted when the first callers disconnect.
    When 16 callers are being served
    Then one more caller is closed within 1 s
    And no caller who is being served was disconnected
    When the callers who were being served disconnect
    Then a caller is answered within 2 s

  Scenario Outline: An oversized body is refused with its reason
    A caller sends a larger body than the listener accepts. If the connection were
    reset while it sends, it would see a network fault and keep retrying.
    When a caller sends a body of <size> bytes <how>
    Then it reads a typed rejection with status 413
    And a caller is answered within 1 s
    And its memory grew by less than 8 MB

    Examples:
      | size     | how                   |
      | 5000     | with its length       |
      | 20000000 | with its length       |
      | 20000000 | in chunks of no total |

  Scenario Outline: Malformed requests end their own connection alone
    Peers that send no valid HTTP reach the port. They must neither use up memory
    nor disturb other callers.
    When a peer sends <what>
    Then its connection is closed within 20 s
    And a caller is answered within 1 s
    And its memory grew by less than 8 MB

    Examples:
      | what                        |
      | headers of 10 MB            |
      | a request line of 10 MB     |
      | 2 MB of random bytes        |
      | 2000 pipelined requests and reads nothing |
