Feature: The time line puts events in an order that respects cause and effect

  Scenario: No effect comes before its cause over a whole run
    Jobs and changes of the configuration pass between processes through the store. If
    stored records had no Lamport times, the time line could show a job's start, or a
    configuration's adoption, before it was accepted.
    Given a site without work in progress
    When 12 jobs and 12 changes of the configuration are accepted at all gateways
    Then every job is accepted before reserved before started before ended
    And every revision is accepted before any process adopts it

  Scenario: The time line is filtered and reads events of dead processes from logs
    An operator examines the events of one worker and of one failure domain after a
    process has died, so that its events are only in its log.
    Given a site without work in progress
    When 3 jobs and 1 changes of the configuration are accepted at all gateways
    And a gateway of the second failure domain dies
    Then its events come from its log and no event comes twice
    And the time line of a worker has the gangs that ran on it and no others
    And the time line of a failure domain has its processes alone
    And the time line of the last 0 seconds is empty
    And a time line that is followed shows a job that is accepted later, once
    And on a terminal no line is longer than 120 columns

  Scenario: The catalogue of events in the code is sound
    Operators and their tools could not distinguish two events with one number.
    Then every event number and message is used once and lies in its range
