Feature: The library's client repeats only what may be repeated

  Scenario Outline: <title>
    If the client retried a booking whose answer was lost, one student could hold two
    seats. If it did not retry a call that was never sent, the student would lose the
    seat without need.
    Given gateways that answer "<first>" and "<second>"
    When the library sends a request that is <kind>
    Then its outcome is "<outcome>"
    And the gateways received it <seen> times under one id

    Examples:
      | title                              | first           | second | kind           | outcome | seen |
      | An answer comes                    | done            | done   | not idempotent | done    | 1    |
      | A lost answer is not asked again   | silence         | done   | not idempotent | unknown | 1    |
      | A lost answer may be asked again   | silence         | done   | idempotent     | done    | 2    |
      | No connection, the next gateway    | nothing         | done   | not idempotent | done    | 1    |
      | Refused, and taken when told       | not_run, done   | done   | not idempotent | done    | 2    |
      | Refused after a lost answer        | silence         | not_run | idempotent    | unknown | 2    |
      | Failed work is not asked again     | failed          | done   | idempotent     | failed  | 1    |

  Scenario: Importing the library costs next to nothing
    A program that only reads the version must not load an HTTP client.
    Then importing the library loads no internal module
