Feature: Ends as done of runs that counted as over

  A run counts as over when its lease has expired, or when its worker lists neither the
  run nor its end. An end that the worker lists after all is acknowledged, and then
  nothing else tells that the task was done.

  Scenario Outline: A task that was done by a run that counted as over is done
    Guards against an end as done that is acknowledged and thrown away.
    Given a <kind> runs whose leases count as expired, and <since then>
    When a worker lists its end as done
    Then the job is completed once that is durable, and the end is acknowledged
    And nothing of it is started, and <newer> run is stopped

    Examples:
      | kind   | since then                     | newer |
      | task   | it waits                       | no    |
      | task   | it is planned again            | no    |
      | task   | its next start is durable      | the   |
      | task   | it is at work again            | the   |
      | gang   | it waits                       | no    |
      | gang   | it is at work again            | the   |

  Scenario: A successor stops what runs of a task that was done before
    Guards against a second run that goes on for as long as its task takes.
    Given a task runs whose leases count as expired, and it is at work again
    When a worker lists its end as done
    And a successor reads the records
    Then nothing of it is started, and the run is stopped

  Scenario: A cancelled job stays cancelled
    Guards against a final state that is withdrawn.
    Given a task runs whose leases count as expired, and it is at work again
    And its job is cancelled
    When a worker lists its end as done
    Then the job is shown as cancelled

  Scenario: Ends that are listed out of order are all read
    Guards against an end that is skipped, and acknowledged with a later one.
    Given two tasks run on one worker
    When it lists the end of the second before that of the first, both as done
    Then the job is completed once that is durable
