Feature: An owner's gang gets its shape from borrowers, as separate processes

  Scenario: The owner's gang starts at once on lent workers
    Another organisation's work fills every worker. Without reclaim the owner's gang
    would wait for hours behind borrowers of its accelerators.
    Given a jobs site where borrowers fill all workers
    When the owner submits a gang of its shape
    Then the owner's gang runs within 10 seconds
    And the preempted borrowers run again once the owner's gang is done

  Scenario: Tasks that ignore a graceful stop do not hold the shape
    The borrowers' tasks do not react to a graceful stop. If the leader waited for them,
    any task could delay the reclaim without bound.
    Given a jobs site where borrowers fill all workers
    And the borrowers' tasks ignore a graceful stop
    When the owner submits a gang of its shape
    Then the owner's gang runs within 15 seconds

  Scenario: The leader dies in mid-reclaim
    The leader dies after it has ordered borrowers to stop and before they have
    stopped. The next leader finds the owner's gang queued and borrowers on its shape.
    Given a jobs site where borrowers fill all workers
    And the borrowers' tasks ignore a graceful stop
    When the owner submits a gang of its shape
    And the leader is killed while it preempts for the owner
    Then the owner's gang runs within 30 seconds

  Scenario: Workers of the shape die
    So many workers die that the shape no longer fits. The owner's job cannot
    start, so the owner must be told that the guarantee is degraded.
    Given a jobs site where borrowers fill all workers
    When all workers but one are killed
    Then status says within 20 seconds that the owner's guarantee is degraded
