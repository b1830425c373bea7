Feature: Work that only seems to stand still, or to have just begun, is not thrown away

  Scenario: Members of a gang that are done wait for a slow one
    The members of a gang end together, and some workers are slow for a while. Those on
    fast workers were done long before and showed no progress since: they were taken for
    standing still, the run was given up with nearly all of its work done, and sound
    workers got no more work. The caller waited for the whole gang once more.
    Given workers 0 to 2 running a gang "g" of 3 since 0 s
    When its members are at 100, 100 and 40 per cent after 8 s
    And the slow one goes on to 90 per cent within 16 s
    Then the run of "g" goes on
    And no worker is quarantined

  Scenario: A gang of which all are done and none ends is given up
    A worker may also hang at the end, and its gang would else wait for ever.
    Given workers 0 to 2 running a gang "g" of 3 since 0 s
    When its members are at 100, 100 and 100 per cent after 1 s
    And nothing is heard of any progress for 6 s
    Then the run of "g" is aborted

  Scenario Outline: Work is given up when waiting has cost as much as doing it again
    Workers hang for some seconds and go on. Given up after 4.5 s each time, a run of ten
    seconds lost eight seconds of work to be rid of a pause that was nearly over.
    Given workers 0 to 2 running a gang "g" of 3, <saving>, since 0 s
    When its members are at 80, 80 and 80 per cent after 8 s
    And nothing is heard of any progress for <quiet> s
    Then the run of "g" <fate>

    Examples:
      | saving              | quiet | fate       |
      | which saves nothing | 6     | goes on    |
      | which saves nothing | 9     | is aborted |
      | which saves         | 6     | is aborted |

  Scenario: Nothing else begins on a worker that stands still
    While the run there may still go on, what is sent to such a worker would stand still
    as well.
    Given workers 0 to 2 running a gang "g" of 3, which saves nothing, since 0 s
    And a gang "h" of 3 running beside it
    When its members are at 80, 80 and 80 per cent after 8 s
    And nothing is heard of any progress for 6 s
    Then the run of "g" goes on
    And workers 0 to 2 are quarantined

  Scenario: A successor knows how far the work is that it inherits
    After each change of the leader all that ran counted as just begun, and the first
    urgent job stopped a gang that was nearly done as if nothing were lost by it.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And another leader takes over after 4 s, with "old" at 80 per cent
    And workers 3 to 8 running a gang "young" of 6 since 4 s
    When an urgent job of one task finds no free capacity after 5 s
    Then "young" is stopped and "old" goes on

  Scenario: A gang counts whole before each of its workers was heard
    A new leader hears from some workers sooner than from others. A gang of twenty of which
    one member was heard counted as one task, and was stopped for the first urgent job.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And workers 3 to 3 running a gang "single" of 1 since 0 s
    When another leader has heard of "old" from worker 0 at 40 per cent, of "single" at 60
    And an urgent job of one task finds no free capacity there
    Then "single" is stopped and "old" goes on as far as was heard

  Scenario: A successor does not learn run times from what it has not seen begin
    Inherited work ends soon after the takeover. Learned from, it made all work look short:
    waiting gangs got workers kept for them that were far from free.
    Given workers 0 to 2 running a gang "old" of 3 since 0 s
    And another leader takes over after 4 s, with "old" at 80 per cent
    When "old" is done after 5 s
    Then a run of its queue is still expected to take 5 s
