Feature: Each caller gets the complete answer to its own request

  Background:
    Given a request site

  Scenario Outline: A target sends wrong answers to requests that may be repeated
    A target mixes up, truncates, duplicates or breaks off its answers to
    concurrent callers over reused connections. No caller may get the answer of
    another, or part of one.

    Given one target answers 12 requests in mode "<mode>"
    When 60 callers send 3 idempotent requests each, all at once
    Then every caller got the complete answer to each of its requests, or none
    And at least 170 of the answers are complete

    Examples:
      | mode       |
      | crossed    |
      | truncated  |
      | duplicated |
      | reset      |
      | closing    |

  Scenario Outline: A target sends wrong answers to requests that run once
    The same with requests that must not run twice: each caller gets the
    complete answer or "unknown", and nothing runs twice.

    Given one target answers 12 requests in mode "<mode>"
    When 20 callers send 2 single-run requests each, all at once
    Then every caller got the complete answer to each of its requests, or none
    And no request ran twice
    And at least <complete> of the answers are complete

    Examples:
      | mode       | complete |
      | crossed    | 28       |
      | truncated  | 28       |
      | duplicated | 40       |
      | closing    | 40       |

  Scenario: Answers come late, in another order than the requests
    The answer to an earlier request arrives while its caller already waits for
    that to the next one. Each answer must be matched to its own request.

    Given the targets take 0.6 s
    When 30 callers send idempotent requests with a short, then a long deadline
    Then every caller got the complete answer to each of its requests, or none
    And at least 30 of the answers are complete

  Scenario: A pooled connection was closed by the target while it was idle
    Targets close idle connections. The next request must neither be lost with
    the connection nor run twice.

    When 20 callers send 2 idempotent requests each, all at once
    And every target is killed
    And every target is started again
    And 20 callers send 2 idempotent requests each, all at once
    Then every caller got the complete answer to each of its requests, or none
    And at least 80 of the answers are complete
