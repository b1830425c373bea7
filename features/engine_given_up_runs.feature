Feature: An end as done of a run that the leader has given up

  A worker may list the end of a run that the leader has given up: its next life has
  carried out a late start, or a lease was counted as expired that had not.

  Scenario Outline: The end as done of a run that was given up counts
    Guards against a task that runs again although its end was acknowledged.
    Given an engine with 3 workers of 8 accelerators
    And job "a" of 1 task is started again, as its worker began its next life
    And its second run is <state>
    When the next life lists the end "done" of the first run
    Then "a" has no run that is not being stopped
    And the end is acknowledged only when "a" is durably completed

    Examples:
      | state   |
      | planned |
      | sent    |
      | at work |
      | over    |
