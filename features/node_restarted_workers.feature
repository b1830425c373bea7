Feature: Ends of a worker that has started again under its id

  Until its leader learns of the restart, polls carry the numbers of its former life.

  Scenario Outline: Tasks of its next life whose ends are swallowed do not run again
    Guards against ends that a poll meant for the former life has acknowledged unread.
    Given 2 workers that keep their ids, where 20 tasks have ended as done
    When one starts again under its id after <before>, and 20 tasks of 0.1 s come
    And the first polls of it and its first entry are lost
    Then each of the 40 tasks is done, and none starts after its end was acknowledged

    Examples:
      | before                           |
      | its ends were acknowledged       |
      | an acknowledgement got no answer |
