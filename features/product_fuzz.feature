Feature: Parsers at the border give a value or a typed failure, whatever comes

  Scenario Outline: <parser> never raises
    Callers, operators and other daemons send input that no other test covers. An
    unexpected exception would give them no reason, or would end the task that serves
    all of them.
    When <parser> reads <count> generated and altered inputs
    Then each gave a value or a typed failure

    Examples:
      | parser                       | count |
      | the selector parser          | 3000  |
      | the body of a request        | 1400  |
      | the body of a job            | 1400  |
      | the body of a change set     | 1400  |
      | the body of a ticket request | 600   |
      | the message decoder          | 3000  |
      | the settings reader          | 800   |
      | the clients' label reader    | 800   |
