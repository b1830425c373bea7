Feature: Ends that do not fit into one report of a worker

  A worker lists 500 ends at a time, and the others once these are acknowledged, which
  takes until their records are durable.

  Scenario Outline: Tasks whose ends are not listed yet are not started again
    Guards against taking a run that is in neither list of a report for one that is gone.
    Given 700 tasks that run on one worker and are all done while the store is down
    When <reader> reads the ends that fit into its reports for 5 s
    Then no task is stopped or started again
    When the store is back, and the worker's other ends are read
    Then the job is completed, and each task has started once

    Examples:
      | reader      |
      | the leader  |
      | a successor |

  Scenario: A run that is gone is noticed once all ends are listed
    Guards against runs that keep their capacity for ever, as they were never listed.
    Given 700 tasks that run on one worker and are all done while the store is down
    But the last of them has vanished from the worker without an end
    When the leader reads the ends that fit into its reports for 5 s
    And the store is back, and the worker's other ends are read
    Then only the last task is started again
