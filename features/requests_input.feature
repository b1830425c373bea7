Feature: Bad requests get a typed answer with the field and the reason

  Background:
    Given a request site

  Scenario Outline: An invalid request
    A defect of a client must be reported with the field, before anything runs.
    If a truncated request were completed by guesses, another request would run.

    When a caller sends a request with <change>
    Then it is refused with <status>, "<type>" and field "<field>"
    And it ran nowhere

    Examples:
      | change                   | status | type           | field           |
      | the text "{"             | 400    | malformed_body |                 |
      | the text ""              | 400    | malformed_body |                 |
      | the text "[]"            | 400    | malformed_body |                 |
      | bytes that are not UTF-8 | 400    | malformed_body |                 |
      | a body nested too deep   | 400    | malformed_body |                 |
      | no "organisation"        | 400    | malformed_body | organisation    |
      | no "deadline_ms"         | 400    | malformed_body | deadline_ms     |
      | "dedline_ms" as 5        | 400    | malformed_body | dedline_ms      |
      | "deadline_ms" as 0       | 400    | malformed_body | deadline_ms     |
      | "deadline_ms" as -1      | 400    | malformed_body | deadline_ms     |
      | "deadline_ms" as 600001  | 400    | malformed_body | deadline_ms     |
      | "deadline_ms" as "soon"  | 400    | malformed_body | deadline_ms     |
      | "deadline_ms" as 1.5     | 400    | malformed_body | deadline_ms     |
      | "urgency" as "now"       | 400    | malformed_body | urgency         |
      | "idempotent" as 1        | 400    | malformed_body | idempotent      |
      | "attempt" as 0           | 400    | malformed_body | attempt         |
      | "id" as "two words"      | 400    | malformed_body | id              |
      | "id" as ""               | 400    | malformed_body | id              |
      | "labels" as {"a": 1}     | 400    | malformed_body | labels[...]     |
      | "organisation" as "none" | 422    | invalid_value  | organisation    |
      | "id" as null             | 422    | invalid_value  | id              |
      | "id" as "t1.guess"       | 422    | invalid_value  | id              |
      | a body of 300000 bytes   | 413    | body_too_large | body            |
      | a service named "A B"    | 422    | invalid_value  | service         |

  Scenario Outline: An id comes again with another body
    Two clients chose the same id, or one changed its request. The second
    request must not be taken for a retry and get the answer to the first.

    When a single-run request is sent at "bern-halle-1"
    Then attempt 1 is answered "done"
    When the same id is sent at "<other>" with another body
    Then it is refused with 409, "duplicate_id" and field "id"
    And the request ran 1 time

    Examples:
      | other         |
      | bern-halle-1  |
      | olten-halle-1 |

  Scenario Outline: An invalid call for tickets
    When a caller asks for tickets with <body>
    Then it is refused with 400, "malformed_body" and field "<field>"

    Examples:
      | body           | field |
      | {"count": 0}   | count |
      | {"count": 1001} | count |
      | {"number": 1}  | number |
      | {"count"       |       |
