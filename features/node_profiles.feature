Feature: What a leader learns of its workers

  Scenario: A session polls a worker in time to measure it
    Guards against a decision of the core that no poll follows.
    Given an urgent task of 2 s that runs on a worker of which nothing is known
    Then the poll of its session waits between 0.8 and 1.2 s
