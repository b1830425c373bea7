Feature: Orders reach workers although some get no answer

  Scenario: Stops that get no answer do not pile up before a worker
    Guards against stops that are queued faster than they can be sent.
    Given a leader whose worker runs 8 tasks and falls silent
    When all of them are to be stopped and nothing is heard for 6 s
    Then at most 8 stops wait for the worker
    And all are carried out within 1 s of its return
