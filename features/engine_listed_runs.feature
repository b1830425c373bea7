Feature: Runs that a worker lists otherwise than expected

  Scenario Outline: The log tells why a task that was done would start again
    Guards against second starts of which no line tells what the leader had concluded.
    Given a task runs on a worker
    When <event>
    Then the log has "<decision>" with the run, the newest run and the worker's last ends

    Examples:
      | event                                                             | decision              |
      | the worker lists its end under a number that counts as read       | end skipped           |
      | the worker lists neither the run nor its end                      | active run not listed |
      | the worker lists its end as done after its lease counted as ended | done without a run    |
      | the worker lists a newer run of it                                | stray run stopped     |
