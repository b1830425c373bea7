Feature: Leases that count as ended have ended

  Scenario: A start that the next life of a worker has carried out is counted
    Guards against starting a task elsewhere while its lease still runs there.
    Given a worker that starts again under its id
    When a start meant for its former life is carried out, and it falls silent then
    Then the task never runs twice at once, and is completed
