Feature: The core protocol holds in every reachable state

  Scenario: All specifications are explored whole
    When the protocol specifications are checked with all guards
    Then no protocol invariant is broken
    And each search was complete, and its states and depth are printed
    And every protocol guard has a scenario

  Scenario Outline: Without <guard> the protocol breaks, and the real code has the guard
    With one guard removed, the checker must find a shortest trace to a failure that a
    user would notice: a job run twice, a gang started in part, a change undone. The
    step is then tried on the real code, which must reject it.
    When the protocol guard "<guard>" is removed from its specification
    Then a shortest counterexample of <steps> protocol steps is printed
    And the real code rejects the step that "<guard>" prevents

    Examples: Leadership
      | guard            | steps |
      | worker_fencing   | 10    |
      | clock_check      | 7     |
      | early_expiry     | 3     |
      | create_if_absent | 2     |
      | term_check       | 9     |
      | peer_leads       | 7     |

    Examples: Gangs
      | guard                 | steps |
      | attempt_written       | 5     |
      | short_start_lease     | 2     |
      | confirm_when_whole    | 3     |
      | stray_stopped_first   | 10    |
      | once_stays_once       | 7     |
      | write_compares_leader | 3     |
      | outwait_lapse         | 10    |

    Examples: Runs on the platform
      | guard                       | steps |
      | durable_before_start        | 5     |
      | stop_before_next            | 8     |
      | ask_before_next             | 9     |
      | durable_before_acknowledged | 12    |
      | leader_compared             | 9     |
      | cancel_read_first           | 5     |

    Examples: Gangs on the platform
      | guard            | steps |
      | members_stopped  | 8     |
      | absent_ends_run  | 5     |
      | incomplete_ended | 6     |

    Examples: Requests and configuration
      | guard              | steps |
      | create_claim       | 6     |
      | read_back_owner    | 7     |
      | unsure_declines    | 8     |
      | compare_head       | 4     |
      | adopt_higher_only  | 4     |
      | read_back_write_id | 3     |
