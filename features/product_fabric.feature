Feature: Strangers on the port between processes are not heard

  Scenario Outline: Only processes that know the fleet's secret are answered
    A process of another fleet, or an attacker, claims to be the leader or to have a
    newer configuration. Without authentication, the receiver would accept that.
    Given a process with the fleet's secret
    When a process with <secret> sends it a question
    Then it <answer>

    Examples:
      | secret         | answer                                |
      | the same one   | is answered                           |
      | another secret | gets no answer, and no handler got it |
      | no secret      | gets no answer, and no handler got it |

  Scenario Outline: Garbage costs bounded memory and stops nobody else
    A port scanner, or a daemon of another version, sends invalid messages. If one of
    them ended the loop that serves all peers, the whole VM would be unavailable.
    Given a process without a secret
    When a stranger sends <what>
    Then a peer is still answered
    And the process grew by less than 12 MB

    Examples:
      | what                             |
      | 5 MB of random bytes             |
      | 200 connections that say nothing |
      | 300 malformed messages           |
      | 40 messages of 3 MB              |
      | 100 deeply nested messages       |
