Feature: A leader of 3,000 workers

  Scenario Outline: A new leader claims all workers that answer
    Each call takes the leader 2 ms of processor. Guards against polling all workers at
    once: no answer then came within its timeout, and none was ever claimed.
    Given a new leader of 3,000 workers, of which <silent> are silent
    And each call takes 0.002 s of the leader's processor
    When it leads for <span> s
    Then it has claimed all workers that answer

    Examples:
      | silent | span |
      | 0      | 8.0  |
      | 1,000  | 20.0 |

  Scenario: A durable write wakes only the sessions that wait for it
    Guards against waking thousands of sessions for each write: a write took the leader
    35 ms of a full core.
    Given a new leader of 300 workers, of which 0 are silent
    When it leads for 2.0 s, and then 100 writes become durable within 0.1 s
    Then no session of an idle worker is woken by them

  Scenario: Nothing is computed for the workers while no task waits
    Guards against passes over thousands of workers several times a second.
    Given a new leader of 300 workers, of which 0 are silent
    When it leads for 2.0 s, and then for 5.0 s without a task
    Then no free capacity is computed

  Scenario: Changes of workers' entries take few calls of the store
    Guards against a call of the store, which is billed, for each of a hundred changes
    a second.
    Given a store where an entry changes every 0.01 s
    When a leader watches the entries for 5.0 s
    Then it has made at most 50 calls
    And it has seen all changes up to 0.2 s before
