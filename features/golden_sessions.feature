Feature: Whole sessions are the same, byte by byte

  Scenario Outline: The session <name>
    Guards against an unintended change of a message to a caller, an operator or
    another process, which would break clients. The session runs with a fixed clock and
    seed. After an intended change, rewrite the files with:
    python -m features.support.golden --renew
    Then the golden session "<name>" matches its file

    Examples:
      | name              |
      | job_with_reclaim  |
      | operator_race     |
      | outage            |
      | request_and_retry |

  Scenario: Every golden session has a scenario, and a difference reads well
    A session without a scenario is never compared, and files with a diff too long to
    read are rewritten without review.
    Then the golden sessions are those of the outline
    And one changed field of a golden session shows as a diff of at most 9 lines
