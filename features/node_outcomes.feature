Feature: Outcomes that callers have seen stay

  Nodes that cannot reach the leader read the records; the others ask the leader.

  Scenario: A stored outcome whose answer is lost is not withdrawn
    Guards against showing a job as running that another node has shown as completed.
    Given a store that loses the answers to all writes from 2.2 s to 7 s
    When a job ends meanwhile, and both kinds of nodes are asked for its state
    Then no outcome is followed by another state
    And the outcome is "completed"

  Scenario: A leader learns from a conflict which outcome is stored
    Guards against an outcome that is written again for as long as some answers are lost.
    Given a store that loses the answer to every second write from 2.2 s on
    When a job ends meanwhile, and both kinds of nodes are asked for its state
    Then no outcome is followed by another state
    And the leader knows the outcome by 3.8 s

  Scenario Outline: A job cancelled around its end keeps the outcome that was first
    Guards against a cancellation that replaces an outcome, and the reverse.
    Given a store that <loses> from 2.2 s to 7 s
    And a leader that reads a cancellation <late_s> s late
    When a job is cancelled <after_s> s after its end, and its state is asked for
    Then no outcome is followed by another outcome
    And the outcome is "<outcome>"

    Examples:
      | loses                           | late_s | after_s | outcome   |
      | loses no call                   | 1      | -0.1    | cancelled |
      | loses no call                   | 1      | 0.5     | completed |
      | loses the answers to all writes | 0      | 0.3     | completed |
      | loses the answers to all writes | 3      | 0.3     | completed |
      | loses the answers to all writes | 3      | -0.1    | cancelled |
      | loses all writes                | 0      | 0.3     | cancelled |
      | loses all writes                | 3      | 0.3     | cancelled |
      | carries out writes 2 s late     | 0      | 0.3     | cancelled |
      | carries out writes 2 s late     | 3      | 0.3     | cancelled |

  Scenario Outline: An outcome that was first is not withdrawn by a cancellation
    Guards against showing a job as running that another node has shown as ended.
    Given a store that <loses> from 2.2 s to 7 s
    And a leader that reads a cancellation <late_s> s late
    When a job is cancelled <after_s> s after its end, and its state is asked for
    Then no outcome is followed by another state

    Examples:
      | loses                           | late_s | after_s |
      | loses no call                   | 1      | 0.5     |
      | loses the answers to all writes | 0      | 0.3     |
      | loses the answers to all writes | 3      | 0.3     |
      | loses all writes                | 0      | 0.3     |
      | loses all writes                | 3      | 0.3     |
      | carries out writes 2 s late     | 3      | 0.3     |

  Scenario: A cancellation that the leader has not read yet is not withdrawn
    Guards against showing a job as running that another node has shown as cancelled.
    Given a store that loses no call from 2.2 s to 7 s
    And a leader that reads a cancellation 1 s late
    When a job is cancelled -0.1 s after its end, and its state is asked for
    Then no outcome is followed by another state
