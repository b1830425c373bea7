Feature: Identities and records that say less than they seem to

  Scenario: A late poll of a worker's former life takes no ends of the next one
    Guards against a task that starts again as its end was taken off the list unread.
    Given a worker has done 10 tasks, whose ends were read, but not acknowledged yet
    And a poll that acknowledges them is on its way when the worker starts again
    And 10 other tasks are to start
    When that poll arrives there after 12 s
    Then none of them has started before
    And each of them starts and ends once after 13 s

  Scenario: A successor that reads an old entry leaves the runs of the newest life
    Guards against work that is stopped, and a crash that is charged for one before it.
    Given a worker started again under its id, which an answer showed
    And a task runs in that next life
    When a successor reads an entry of its former life
    And polls the worker
    Then the task is at work, not stopped and not charged

  Scenario: A job that is set aside does not keep the ends of others from the leader
    Guards against workers that list no new end any more.
    Given a worker lists the end of a job that is set aside
    When 600 tasks of other jobs are done there
    Then the leader has read all of their ends

  Scenario: A job with a task that was done has begun
    Guards against a state that goes back from running to queued, and jobs without a
    start that have one.
    Given a job of two steps whose first task got no answer to its start
    And whose run counts as expired
    When the worker lists its end as done
    Then leader and records show the job as running

  Scenario Outline: A cancellation that came after the outcome is not shown
    Guards against a final state that is withdrawn.
    Given a job whose outcome is stored after <count> of the reads for its state
    And a cancellation at once after that
    Then the records do not show it as cancelled

    Examples:
      | count |
      | 0     |
      | 1     |
      | 2     |
      | 3     |

  Scenario: An entry without a start of its worker does not hide a restart
    Guards against ends of the next life that are skipped under numbers of the former.
    Given a worker has done 10 tasks, whose ends were acknowledged
    And an entry of it is read that lacks the start of its incarnation
    When it starts again under its id, and nothing shows that yet
    And 10 other tasks are done there
    And answers come again, and stops are carried out
    Then both jobs are completed, and each task has started once

  Scenario: A record of a former life does not end the runs of the newest one
    Guards against work that is stopped, and a crash that is charged for one before it.
    Given a worker runs a task, whose record is kept as it is
    And it starts again under its id, and its next life runs another task
    When a successor reads the records and the newest entry
    Then the other task is not stopped and not charged

  Scenario: An outcome on its way to a silent store is not denied
    Guards against a final state that is withdrawn: a node may have read the outcome.
    Given the store is silent from 2 s to 8 s
    When a job ends meanwhile, and its state is asked for
    Then the leader does not tell it as running once its outcome may be stored
    And it is told as completed from 1.5 s after the store is back, two tries to write
