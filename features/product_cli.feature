Feature: The command line tells people and scripts the truth

  Scenario: The overview answers fast
    Operators look up commands during an incident, on small and busy VMs. Importing
    every command's libraries would make the overview slow.
    When the overview of commands is printed 7 times
    Then the cheapest run took under 0.2 s of processor time

  Scenario Outline: A mistyped name is met with the nearest one
    If a mistyped flag were ignored, the command would run with its default and the
    operator would believe that the flag took effect.
    When firladder runs with "<arguments>"
    Then it exits with 2 and says "<hint>"

    Examples:
      | arguments             | hint                        |
      | jobs --stat=running   | did you mean --state?       |
      | jobs -x               | is no flag of this command  |
      | timelime              | did you mean timeline?      |
      | request               | --organisation              |

  Scenario: Every wrong setting of a daemon is named at its start
    A new VM image has several invalid settings. If each start reported only one of
    them, the VM would stay down for as many attempts.
    When firladder runs with "scheduler --vm=a --failure_domain=d --address=host:1 --http_address=127.0.0.1:2 --store_url=x --task_ttl_s=soon --operator_token=s3cret"
    Then it exits with 2 and names exactly "--address, --store_url, --task_ttl_s"
    And the output does not contain "s3cret"

  Scenario Outline: Settings that contradict each other end the daemon
    Each value is valid by itself, but together they break a guarantee. For example,
    leases of partly started gangs must expire before those of running ones.
    When firladder runs with "scheduler --vm=a --failure_domain=d --address=127.0.0.1:1 --http_address=127.0.0.1:2 --store_url=http://127.0.0.1:3 <flags>"
    Then it exits with 2 and says "<hint>"

    Examples:
      | flags                            | hint                            |
      | --start_ttl_s=30 --task_ttl_s=30 | --start_ttl_s (FIRLADDER_START  |
      | --heartbeat_s=6 --leader_ttl_s=5 | --heartbeat_s (FIRLADDER_HEART  |
      | --address=127.0.0.1:2            | must differ from --address      |
      | --placement=best                 | must be one of                  |

  Scenario Outline: A wrong variable ends the daemon as a wrong flag does
    VM images set variables. If a mistyped variable were ignored, the daemon would run
    with a default that nobody chose.
    When firladder runs with "gateway --vm=a --failure_domain=d --address=127.0.0.1:1 --http_address=127.0.0.1:2 --store_url=http://127.0.0.1:3" and variables "<variables>"
    Then it exits with 2 and says "<hint>"

    Examples:
      | variables                     | hint                                   |
      | FIRLADDER_DRAIN_S=long        | --drain_s (FIRLADDER_DRAIN_S): must be |
      | FIRLADDER_DRAINS=7            | did you mean FIRLADDER_DRAIN_S?        |
      | FIRLADDER_FLEET_SECRET=abc    | must have at least 32 characters       |
      | FIRLADDER_QUEUE_LIMIT=0       | must be a whole number from 1 to       |

  Scenario: Settings are printed with their origin, and secrets are not
    Operators need to know whether a daemon's value comes from a flag, a variable or
    the default. Printed tokens would be copied into chats and tickets.
    When firladder runs with "settings gateway --vm=a --failure_domain=d --address=127.0.0.1:1 --http_address=127.0.0.1:2 --store_url=http://127.0.0.1:3" and variables "FIRLADDER_OPERATOR_TOKEN=s3cret FIRLADDER_DRAIN_S=7"
    Then it exits with 0 and says "(hidden)"
    And a printed line reads "drain_s FIRLADDER_DRAIN_S 7.0 environment"
    And a printed line reads "vm FIRLADDER_VM a flag"
    And a printed line reads "unready_s FIRLADDER_UNREADY_S 2.0 default"
    And the output does not contain "s3cret"

  Scenario Outline: The exit code of a request is its outcome
    A script that delivers training plans retries what did not run. If the exit code
    said "not run" for a request that may have run, one athlete could get two plans.
    Given a gateway that answers requests with "<answer>"
    When a request is sent to it from the command line
    Then it exits with <code> and says "<hint>"

    Examples:
      | answer  | code | hint            |
      | done    | 0    | {"plan": 1}     |
      | failed  | 1    | failed          |
      | not_run | 3    | come back in 4 s |
      | unknown | 4    | unknown         |
      | silence | 4    | may have run    |
      | nothing | 5    | refused         |

  Scenario: A reader that leaves early is no fault
    "firladder completion bash | head -1" closes the pipe early. A traceback in the
    log of a cron job would look like a fault.
    When the output of "completion bash" is closed by its reader at once
    Then nothing is written to standard error

  Scenario Outline: A configuration is checked without a fleet
    A shape that does not fit is otherwise rejected only when it is applied. Checked
    offline, it is found before the maintenance window.
    When changes with a shape of <count> cells of <size> are checked against 2 workers of 8
    Then it exits with <code> and says "<hint>"

    Examples:
      | count | size | code | hint                     |
      | 2     | 8    | 0    | 1 changes fit 2 workers  |
      | 3     | 8    | 3    | shapes_do_not_fit        |
      | 0     | 8    | 3    | malformed_body           |
