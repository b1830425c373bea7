Feature: Capacity that is kept free for urgent arrivals

  Scenario: Urgent gangs of a burst find room on a pool that lower work would fill
    Guards against an urgent gang that waits for the stop of work started a moment ago.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    When lower work for twice the pool arrives
    Then 2 whole workers of one rack are left free
    And an urgent gang of 2 whole workers that wants one rack starts without a stop

  Scenario: Without headroom the same gang waits for a stop
    Shows that the scenario above tests the headroom.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    And headroom is turned off
    When lower work for twice the pool arrives
    Then 0 whole workers of one rack are left free

  Scenario: A heavy backlog uses the whole pool soon after rare urgent work
    Guards against accelerators that stay idle for urgent work that does not come.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    When lower work for twice the pool arrives
    And 5.1 seconds pass without urgent work
    Then 0 whole workers of one rack are left free

  Scenario: Lower work is not held back beyond its objective
    Guards against work that never starts because urgent work never ends.
    Given 2 racks of 4 workers
    When urgent gangs of 1 worker arrive 4 times a second beside heavy gangs of 8 workers
    Then at most 15% of the pool is ever held
    And each heavy gang was held back for less than its objective

  Scenario: Lower work that must start now to be in time uses the headroom
    Guards against lower work that is late for room which may not be needed.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    When lower work for the whole pool arrives that must start now to be in time
    Then 0 whole workers of one rack are left free

  Scenario: Capacity on workers that are too slow for urgent work is not held
    Guards against headroom on which urgent work would end late.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    And the workers of the first rack take twice the usual time
    When lower work for twice the pool arrives
    Then no worker of the first rack is held

  Scenario: Headroom is noted when it changes, and when it is released
    Guards against a log line in each pass.
    Given 4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second
    When lower work for twice the pool arrives
    And 5.1 seconds pass without urgent work
    Then "headroom kept" and "headroom released" are noted with their inputs, a second or more apart

  Scenario Outline: Decisions are as before while headroom is not called for
    Guards against worse placements on pools without urgent work or with ample room.
    When 20 drawn histories have <load>
    Then each history gives the same placements with headroom and without

    Examples:
      | load                                     |
      | lower work on a full pool                |
      | urgent and lower work on a pool half full |
