Feature: Nothing waits for long beside a pool that is mostly idle

  Scenario: Workers kept for a wide gang are lent when most of the pool is idle
    After a burst of wide gangs, each limits backfilling on the workers that it can get
    soonest, which are idle until the last one is free. Small work that lasts longer
    waited beside a mostly idle pool for as long as gangs came, some of it for ever.
    Given 8 workers in 1 rack, 1 of them busy for 10 s
    And a gang that needs all 8 waits
    When a task that takes 20 s arrives
    Then it is not started at once
    But it is started within 5 s

  Scenario: Workers kept for a wide gang stay kept on a busy pool
    If most of the pool is busy, small work that takes each worker as it becomes free
    would starve the gang.
    Given 8 workers in 1 rack, 5 of them busy for 10 s
    And a gang that needs all 8 waits
    When a task that takes 20 s arrives
    Then it is not started within 9 s

  Scenario: Work whose data is in a rack that nobody can use goes elsewhere
    A rack is partitioned, or all of its workers leave. Work that prefers it is slower
    elsewhere, but is never done if it waits for the rack.
    Given 8 workers in 2 racks, 0 of them busy for 10 s
    And no worker of the first rack can be used
    When a task whose data is in the first rack arrives
    Then it is not started within 3 s
    But it is started within 11 s

  Scenario: A gang that wants one rack takes two when none has capacity for long
    Given 8 workers in 2 racks, 2 of them busy for 10 s
    When a gang of 4 workers in one rack arrives
    Then it is not started within 3 s
    But it is started within 11 s
