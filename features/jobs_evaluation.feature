Feature: The placement policy under load, against its baselines

  Scenario: No reclaim fails when all owners claim at once
    Lent work fills the fleet when all owners use their whole shapes at once. An owner
    whose gang has to wait until borrowers end has no guarantee.
    When the reclaim load runs with seeds 1 and 2 under "cells" and "first_fit"
    Then no reclaim failed under "cells", of at least 20
    And reclaims failed under "first_fit"

  Scenario: The median large gang waits at most half as long as under EASY backfill
    A mix of small and large jobs nearly fills the fleet. Small jobs spread over all
    workers fragment the free capacity, and gangs of whole workers wait.
    When the mixed load runs with seeds 1 and 2 under "cells" and "easy_backfill"
    Then the large median wait under "cells" is at most 0.5 times that of "easy_backfill"

  Scenario: Faulty workers do not fail the whole queue
    One worker fails every job at once, and so always looks idle. Without quarantine
    each new job is sent there first, and fails.
    When the faulty_workers load runs with seeds 1 and 2 under "cells" and "first_fit"
    Then every job is done under "cells"

  Scenario: The bars of large gangs' waits and of lost work are met
    Owners' reclaims delay a borrower's large gang again and again, and a reclaim of
    most of the fleet discards the runs of jobs without checkpoints.
    When the mixed load runs with seeds 1 and 2 under "cells" and "easy_backfill"
    And the reclaim load runs beside it under "cells" and "youngest_first"
    Then large waits are at most 0.5 of EASY's, small medians 1.1, and lost work 0.25
