Feature: A leader uses the workers that are registered

  Scenario Outline: A worker that registers again is used again
    Guards against workers without a session, which stay idle until the leader changes.
    Given a leader with one idle worker
    When the worker's entry is removed and written again <gap> s later
    Then the leader polls the worker within 1 s, and keeps one session for it

    Examples:
      | gap |
      | 0.0 |
      | 0.1 |
      | 0.6 |
