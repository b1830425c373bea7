Feature: Nodes of a failure domain that is cut off, and its callers

  Scenario: A node that is cut off says so at once, and serves when it is back
    A failure domain is cut off for some seconds, and its callers still reach it. Its
    node reaches neither the store nor the other domain. It held each caller for its
    whole deadline; a caller that is sent on within a second is served elsewhere.
    Given nodes in 2 failure domains
    When node 1 is cut off from the store and from the other domain
    Then node 1 is not ready within 3 s
    And node 1 answers a submission within 0.5 s, with when to come back
    And it closes the connection
    When node 1 is connected again
    Then node 1 is ready again within 2 s
    And the same submission is taken by node 1, and its job completed once
