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

  Scenario Outline: A job that is late through <stage>
    Guards against time that goes to the wrong stage, which would send the operator to
    the wrong part of the fleet. The objective is 1.5 s.
    Given the log of job "j", whose work takes 1 s, with "<lines>"
    When the delays are reported
    Then job "j" is late by "<stage>", which took <seconds> s

    Examples:
      | stage     | seconds | lines |
      | accept    | 1.01    | 1.01 south job planned: run=1; 1.02 south urgent work began: run=1 waited_s=0.01 orders_s=0.01; 2.02 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | store     | 0.9     | 0.02 south job planned: run=1; 0.93 south urgent work began: run=1 waited_s=0.92 orders_s=0.01; 1.93 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | capacity  | 0.79    | 0.8 south job planned: run=1; 0.81 south work began: run=1 waited_s=0.8 orders_s=0.01; 1.81 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | stops     | 0.7     | 0.1 south room made: victims=v cost_core_s=1.0; 0.8 south job planned: run=1; 0.81 south urgent work began: run=1 waited_s=0.8 orders_s=0.01; 1.81 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | orders    | 0.75    | 0.02 south job planned: run=1; 0.8 south urgent work began: run=1 waited_s=0.79 orders_s=0.75; 1.8 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | worker    | 0.9     | 0.02 south job planned: run=1 slowness=1.9; 0.03 south urgent work began: run=1 waited_s=0.02 orders_s=0.01; 1.93 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | rack      | 0.9     | 0.02 south job planned: run=1 racks=2 members=4; 0.03 south work began: run=1 waited_s=0.02 orders_s=0.01; 1.93 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | lapsed    | 0.9     | 0.02 south job planned: run=1; 0.03 south urgent work began: run=1 waited_s=0.02 orders_s=0.01; 0.93 south run ended: run=1 worker=w how=lapsed; 0.93 south job planned: run=2; 1.93 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | preempted | 0.9     | 0.02 south job planned: run=1; 0.03 south work began: run=1 waited_s=0.02 orders_s=0.01; 0.5 south room made: job=u victims=j; 0.6 south run ended: run=1 how=stopped worker=w; 0.93 south job planned: run=2; 1.93 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0 |
      | shown     | 0.9     | 0.02 south job planned: run=1; 0.03 south work began: run=1 waited_s=0.02 orders_s=0.01; 1.03 south job ended: outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0; 1.93 south end durable late: took_s=0.9 |

  Scenario: A failed run is the worker's, and lost jobs have a cause as well
    Guards against a job that fails, or never ends, without a cause, and against runs
    of a gang that are counted once for each member.
    Given the logs
      """
      0.01 north submission: job=j queue=q organisation=o outcome=Stored took_s=0.01
      0.02 south job planned: job=j run=1 members=2 cores=4.0 workers=a+b usual_s=1.0
      0.03 south work began: job=j run=1 waited_s=0.02 orders_s=0.01
      0.53 south run ended: job=j run=1 index=1 worker=b how=failed
      0.63 south run ended: job=j run=1 index=0 worker=a how=broken
      0.63 south job ended: job=j outcome=failed stretch=1.5 slo_s=0.0
      0.70 north submission: job=k queue=q organisation=o outcome=Stored took_s=0.01
      2.50 east submission: job=r queue=q organisation=p outcome=StoreUnavailable took_s=0.5
      3.00 east submission: job=c queue=q organisation=p outcome=Stored took_s=0.01
      3.10 east cancellation: job=c outcome=Stored
      3.10 south job ended: job=c outcome=cancelled
      """
    When the delays are reported
    Then job "j" is lost by "worker", which took 0.6 s
    And job "k" is lost by "capacity", which took 2.4 s
    And job "r" is refused by "accept", which took 0.5 s
    And the domain "east" has 1 jobs cancelled
    And the window "2 to 4 s" has 1 jobs refused
    And 4.8 core-seconds of 1 runs were lost as "failed"
    And the text names "refused,core_s,objective_s,capacity"

  Scenario: Several leaders decide about one job, and its runs go on
    Guards against a run that begins again, or a history that ends, where a successor
    finds the run at work. Files of the nodes come one after the other, and overlap. Of
    job "u", which is only named, the report says that lines are missing.
    Given the logs
      """
      0.01 north submission: job=j queue=q organisation=o outcome=Stored took_s=0.01
      0.02 south job planned: job=j run=1 cores=2.0 workers=a
      0.03 south urgent work began: job=j run=1 waited_s=0.02 orders_s=0.01
      2.00 east urgent work began: job=j run=1 ran_s=1.9
      2.03 east run ended: job=j run=1 worker=a how=stopped
      2.03 east room made: job=u victims=j
      2.04 east run ended: job=j run=1 worker=a how=stopped
      2.50 east job planned: job=j run=2 cores=2.0 workers=a
      3.50 east job ended: job=j outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0
      """
    And the lines come in the order of their nodes, and each twice
    When the delays are reported
    Then job "j" is late by "preempted", which took 2.47 s
    And 4.0 core-seconds of 1 runs were lost as "preempted for urgent work"
    And the report has "incomplete" 1

  Scenario: Lines are missing
    Guards against times that are made up where logs were rotated or lines dropped. The
    report counts such jobs and lines.
    Given the logs
      """
      0.01 north submission: job=j queue=q organisation=o outcome=Stored took_s=0.01
      0.93 south job planned: job=j run=2 cores=2.0 workers=a
      1.93 south job ended: job=j outcome=completed queue=q work_s=1.0 stretch=1.5 slo_s=0.0
      2.00 north submission: job=k queue=q organisation=o outcome=Stored took_s=0.01
      2.01 south job planned: job=k run=1 usual_s=1.0 workers=a
      2.02 south urgent work began: job=k run=1 waited_s=0.01
      3.02 south urgent work ended: job=k run=1 slowness=1.0
      """
    And a line that is cut off, and one that a node writes about 7 dropped
    When the delays are reported
    Then the report has "incomplete" 2
    And the report has "lines_dropped" 7
    And the report has "lines_unreadable" 1
    And the queue "q" has 1 jobs in time

  Scenario: A run that failed is not charged to urgent work
    Guards against waste and delays that are put down to a decision about another run of
    the same job: its name stands among the victims.
    Given the logs
      """
      0.01 north submission: job=j queue=q organisation=o outcome=Stored took_s=0.01
      0.02 south job planned: job=j run=1 cores=2.0 workers=a
      0.50 south room made: job=u victims=j
      1.02 south run ended: job=j run=1 worker=a how=failed saved=true
      1.02 south job planned: job=j run=2 cores=2.0 workers=b
      2.02 south runs lapsed: worker=b unreachable_s=2.0
      2.02 south run ended: job=j run=2 worker=b how=gone
      2.03 south job planned: job=j run=3 cores=2.0 workers=c
      3.03 south job ended: job=j outcome=completed work_s=1.0 stretch=1.5 slo_s=0.0
      """
    When the delays are reported
    Then job "j" is late by "worker", which took 1.0 s
    And 2.0 core-seconds of 1 runs were lost as "failed"
    And 2.0 core-seconds of 1 runs were lost as "lapsed"
