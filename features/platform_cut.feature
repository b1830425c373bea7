Feature: Nodes of a partitioned failure domain, and their clients

  Scenario: A partitioned node refuses at once, and serves again when reconnected
    A failure domain is partitioned for some seconds, but its clients still reach it.
    Its node reaches neither the store nor the other domain. Guards against holding
    each client until its deadline; one that is refused within 1 s is served elsewhere.
    Given nodes in 2 failure domains
    When node 1 is partitioned from the store and the other domain
    Then node 1 is not ready within 3 s
    And node 1 answers a submission within 0.5 s, with a time to retry
    And it closes the connection
    When node 1 is reconnected
    Then node 1 is ready again within 2 s
    And the same submission is accepted by node 1, and its job completed once

  Scenario: Submissions are refused, not left unknown, while the store is silent
    The store answers nothing for some seconds. Guards against sending it a write for
    each submission: without an answer a caller can only be told that the outcome is
    unknown, and must not submit its job again.
    Given nodes in 2 failure domains
    When the store is silent, and a first submission to each node was not accepted
    Then node 0 answers a submission within 2.0 s, with a time to retry
    And node 1 answers a submission within 2.0 s, with a time to retry
    When node 1 is reconnected
    Then the same submission is accepted by node 1, and its job completed once
