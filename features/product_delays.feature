Feature: The delays of a day are attributed to stages

  Scenario: The history of a job is read from the lines of several leaders
    Guards against a second run where a successor finds the run at work, and against
    lines that are skipped because of what a log collector wrote before them.
    Given the logs
      """
      0.01 north submission: job=j queue=q organisation=o outcome=Stored took_s=0.01
      0.02 south job planned: job=j run=1 members=2 workers=a+b
      0.03 south urgent work began: job=j run=1 waited_s=0.02 orders_s=0.01
      2.00 east urgent work began: job=j run=1 ran_s=1.9
      2.03 east run ended: job=j run=1 index=1 worker=b how=failed
      2.04 east run ended: job=j run=1 index=0 worker=a how=broken
      2.50 east job planned: job=j run=2 members=2 workers=a+c
      """
    And a collector's prefix with a brace before each line
    And the lines come in the order of their nodes, and each twice
    When the histories are built
    Then job "j" was tried first at 0.0 s and stored at 0.01 s
    And its run 1 began at 0.03 s and was lost at 2.04 s as "broken, failed"
    And its run 2 is not lost
    And its history is incomplete, as it has no end
