Feature: Old jobs are deleted from the store

  Ended jobs are deleted once callers need their state no more.

  Scenario: A former leader's deletion does not reach the store between two listings
    Guards against a successor that reads a job before and its progress after a late
    deletion, takes the job for new, and starts all its tasks again.
    Given a completed job that its leader deletes, with a call that takes 6 s more
    When a successor reads the jobs 0.5 s before and their progress 0.5 s after that
    Then none of the job's tasks has started twice

  Scenario Outline: A deleted job is not added again by what was read before
    Guards against starting all tasks of a job whose progress is deleted already.
    Given a leader that has deleted a completed job
    When <source> from before the deletion reaches it
    Then it plans no task of that job

    Examples:
      | source            |
      | a listing         |
      | a change          |
      | an announcement   |

  Scenario: A new job may have the id of a deleted one
    Guards against leaving out an accepted job for ever.
    Given a leader that has deleted a completed job
    When a job is accepted later under the same id
    Then it plans the tasks of that job

  Scenario: Ends that were read while their job was deleted are acknowledged
    Guards against a worker whose later ends are never forgotten.
    Given a completed job of which an end is read while it is deleted
    Then that end is acknowledged
