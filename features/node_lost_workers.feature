Feature: A worker that the leader could not reach gets work again

  A worker's entry in the store says nothing of the path from the leader to the worker.

  Scenario Outline: A worker that could not be connected to is polled again
    Guards against an idle worker that gets no work for the rest of the leader's term.
    Given two workers that a gang of 2 needs
    When the gang is submitted while one of them cannot be connected to for <seconds> s
    Then the gang is done within 15 s of that

    Examples:
      | seconds |
      | 0.2     |
      | 3       |

  Scenario: A worker whose runs have lapsed is polled again
    Guards against a worker that gets no work any more after it was out of reach.
    Given two workers that a gang of 2 needs
    When one of them does not answer the leader for 13 s while the gang runs
    Then the gang is done within 45 s of that

  Scenario: Work begins again when a link is fast again
    Guards against workers that all get no work any more after answers were late.
    Given two workers that a gang of 2 needs
    When all answers to the leader take 0.9 s for 15 s while the gang runs
    Then the gang is done within 45 s of that

  Scenario Outline: Running work goes on behind a slow link
    Guards against leases that are not renewed because each poll times out.
    Given two workers that a gang of 2 needs
    When all answers to the leader take <answer> s from some time after its start on
    Then its first run is done

    Examples:
      | answer |
      | 0.5    |
      | 0.58   |
      | 0.9    |

  Scenario: No worker is left out after faults drawn at random
    Guards against workers that are lost to the leader by some other order of events.
    When 12 plays of 6 jobs have faults and changes, drawn from seed 70 on
    Then each job is done, and the last leader reaches every worker
