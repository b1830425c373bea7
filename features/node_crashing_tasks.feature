Feature: A task that crashes its workers is given up, and no other job with it

  After three workers have crashed under a task it may be started twice more: five starts.

  Scenario: A task that crashes each worker is given up
    Guards against a task that is started without end, as a crash lists no failed run.
    Given 6 workers, and a job that crashes each worker 0.01 s after its start
    When the job is submitted and 40 s pass
    Then the job is shown as "failed" after at most 5 starts
