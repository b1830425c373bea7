Feature: Work that only seems to be stalled or new is not lost

  Scenario: Members of a gang that are done wait for a slow one
    The members of a gang end together, and some workers are slow for a while. Members
    on fast workers were done early and then made no progress. They counted as stalled:
    the run was aborted with almost all of its work done, and good workers were
    quarantined.
    Given workers 0 to 2 running a gang "g" of 3 since 0 s
    When its members are at 100, 100 and 40 per cent after 8 s
    And the slow one goes on to 90 per cent within 16 s
    Then the run of "g" goes on
    And no worker is quarantined

  Scenario: A gang of which all members are done and none ends is aborted
    A worker may also hang at the end, and its gang would otherwise wait for ever.
    Given workers 0 to 2 running a gang "g" of 3 since 0 s
    When its members are at 100, 100 and 100 per cent after 1 s
    And no progress is reported for 6 s
    Then the run of "g" is aborted

  Scenario Outline: Work is aborted when waiting has cost as much as doing it again
    Workers hang for some seconds and then continue. When runs were aborted after 4.5 s
    each time, a run of ten seconds lost eight seconds of work because of a pause that
    was almost over.
    Given workers 0 to 2 running a gang "g" of 3, <saving>, since 0 s
    When its members are at 80, 80 and 80 per cent after 8 s
    And no progress is reported for <quiet> s
    Then the run of "g" <fate>

    Examples:
      | saving              | quiet | fate       |
      | which saves nothing | 6     | goes on    |
      | which saves nothing | 9     | is aborted |
      | which saves         | 6     | is aborted |

  Scenario: Nothing else starts on a stalled worker
    The run there is given more time, but new work on such a worker would stall as well.
    Given workers 0 to 2 running a gang "g" of 3, which saves nothing, since 0 s
    And a gang "h" of 3 running beside it
    When its members are at 80, 80 and 80 per cent after 8 s
    And no progress is reported for 6 s
    Then the run of "g" goes on
    And workers 0 to 2 are quarantined

  Scenario: A successor knows how far the work is that it inherits
    After each change of the leader, all running work counted as new, and the first
    urgent job preempted a gang that was almost done as if it cost nothing.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And another leader takes over after 4 s, with "old" at 80 per cent
    And workers 3 to 8 running a gang "young" of 6 since 4 s
    When an urgent job of one task finds no free capacity after 5 s
    Then "young" is stopped and "old" goes on

  Scenario: A gang counts as a whole before each of its workers has reported
    A new leader gets the reports of some workers sooner than of others. A gang of twenty
    with one reported member counted as one task, and the first urgent job preempted it.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And workers 3 to 3 running a gang "single" of 1 since 0 s
    When another leader has a report of "old" from worker 0 at 40 per cent, of "single" at 60
    And an urgent job of one task finds no free capacity there
    Then "single" is stopped and "old" goes on as far as is known

  Scenario: A successor learns no run times from work that it did not see start
    Inherited work ends soon after the takeover. When run times were learned from it, all
    work seemed short, and workers that were far from free were kept for waiting gangs.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And another leader takes over after 4 s, with "old" at 80 per cent
    When "old" is done after 5 s
    Then a run of its queue is still expected to take 5 s
