@site
Feature: The whole path, as separate processes

  Background:
    Given a site with two organisations configured

  Scenario: A coach's urgent request is answered by a target
    When the coach sends an urgent request at the first gateway
    Then the answer is "done" with the body of the coach's request
    And the request ran once on the targets

  Scenario: An overnight gang runs on the workers of one rack and finishes
    When a gang of 2 members with 8 accelerators each is submitted
    Then the job ends as "done"
    And its members ran together on one rack
    And no worker was overcommitted

  Scenario: Status, metrics and the time line show the fleet
    When a gang of 2 members with 8 accelerators each is submitted
    Then the job ends as "done"
    And status names a leader for every failure domain
    And the metrics of every gateway name the revision in force
    And the time line shows the job from its acceptance to its end
