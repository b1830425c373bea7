Feature: The lines that explain a failure are logged on a busy leader

  Scenario: A priority line is written after more routine lines than are allowed
    Guards against dropping the lines that tell causes apart while orders are lost.
    Given a log that may write 600 lines at once
    When 1000 routine lines are written at once, and then 100 priority lines
    Then all priority lines are written, after a count of 600 routine ones dropped

  Scenario: Priority lines are limited as well
    Guards against a failing loop that uses up the processor with warnings.
    Given a log that may write 600 lines at once
    When 1000 priority lines are written at once
    Then 600 are written, and the next line counts 400 dropped priority lines

  Scenario: A gang whose members start far apart is logged
    Guards against members that wait for others without a trace in the log.
    Given a gang of 3 of which two members are running and one is sent
    When the start of the third is answered 1.5 s later
    Then the decision "gang apart" names the third member and 1.5 s

  Scenario: A member that ends alone is logged with the state of the others
    Guards against an end of which the log does not say what the leader believed.
    Given a gang of 3 of which two members are running and one is sent
    When the first member ends alone
    Then the decision "member ended alone" names the others as active and sent

  Scenario: The load of a leader is reported once a second
    Guards against a late order whose log does not tell processor, link and queue apart.
    Given a leader's load
    When it records a pass of 0.2 s, a delay of 0.4 s, and an unanswered order for 1 s
    Then its next report has these figures, and the one after it has none of them

  Scenario: The bytes of each kind of call are counted at both ends
    Guards against a full link of which the log does not say what fills it.
    Given a client and a server that count their traffic
    When the client sends 3000 bytes to the server as "run-start", and 10 as "hold"
    Then the client has sent at least 3000 bytes in 1 call as "run-start"
    And it has received what the server has sent, and begins again at 0

  Scenario: A call without an answer is counted as such
    Guards against retries that look like work in the counts of a full link.
    Given a client and a server that count their traffic
    When the client sends 3000 bytes as "run-start", and no answer comes in 0.2 s
    Then the client has counted 1 unanswered call of at least 0.2 s as "run-start"

  Scenario: The wait of urgent work until its last task is active is logged
    Guards against guaranteed work that begins late without a trace in the log.
    Given an engine with 2 workers of 8 accelerators
    And an urgent gang of 2 that is planned
    When its members are active 0.4 s and 0.9 s later
    Then one decision "urgent work began" names its wait of 0.9 s

  Scenario: The end of urgent work is logged with its slowest worker
    Guards against late urgent work of which nobody can tell where it was late.
    Given an engine with 2 workers of 8 accelerators
    And an urgent gang of 2 that is planned
    When its members are active 0.4 s and 0.9 s later
    And one of its members ends
    Then one decision "urgent work ended" names that member's worker

  Scenario: The end of a job is logged with what its objective follows from
    Guards against late jobs that no log shows to be late: the declared time is far off.
    Given an engine with 2 workers of 8 accelerators
    And an urgent gang of 2 that is planned
    When its starts are due 0.1 s later
    And its members are active 0.4 s and 0.9 s later
    And its first member is done 1.5 s after its start
    Then the decision "urgent work began" has "orders_s" 0.9
    And the decision "job ended" has "work_s" 1.5
    And the decision "job ended" has "stretch" 3.0
    And the decision "job ended" has "slo_s" 1.0

  Scenario Outline: The begin of a single task is logged only if it waited
    Guards against a line for each small task of a day: the lines of a busy leader would
    be dropped, and with them those of late jobs.
    Given an engine with 2 workers of 8 accelerators
    And a task of low priority that is planned
    When it is active <waited> s later
    Then there are <lines> decisions "work began"

    Examples:
      | waited | lines |
      | 0.05   | 0     |
      | 0.2    | 1     |

  Scenario Outline: An end that is durable late is logged
    Guards against jobs that are done in time and shown as completed too late, without
    a trace in the log.
    Given a job that has ended
    When the store takes <took> s to record it
    Then <lines> line "end durable late" names the job

    Examples:
      | took | lines |
      | 0.02 | 0     |
      | 0.4  | 1     |
