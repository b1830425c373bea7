Feature: A service that is slow, silent, busy or away delays only its own queues

  Scenario: Each step is asked for once, and starts with its tickets
    Given a leader whose advice service answers in time
    When 5 advised jobs come, and 3 others
    Then all of them are active after 2 s
    And the service got one request at a time, 5 in all

  Scenario Outline: A silent service holds up no queue without advice
    Given a leader whose advice service is <fault>
    When 5 advised jobs come, and 3 others
    Then the others are active after 0.5 s, and no advised one ever is

    Examples:
      | fault  |
      | silent |
      | busy   |
      | away   |

  Scenario Outline: A service without answers is asked less and less often
    Guards against a service that cannot recover because it is asked without a pause.
    Given a leader whose advice service is <fault>
    When 5 advised jobs come, and 3 others
    Then it got at least <least> and at most <most> requests in 20 s

    Examples:
      | fault  | least | most |
      | silent | 6     | 9    |
      | busy   | 8     | 16   |
      | away   | 8     | 16   |

  Scenario Outline: A service is unavailable after 5 s without an answer
    Guards against callers that are refused although the service works, or that are
    accepted while it does not.
    Given a leader whose advice service is <fault>
    When 5 advised jobs come, and 3 others
    Then it counts as <early> after 4.5 s and as <late> after 7.5 s

    Examples:
      | fault  | early     | late        |
      | silent | available | unavailable |
      | away   | available | unavailable |
      | busy   | available | available   |
      | slow   | available | available   |

  Scenario: A service that returns is used at once
    Given a leader whose advice service is away
    When 5 advised jobs come, and 3 others
    And the service answers again after 8 s
    Then all of them are active 3 s later
    And the loss and the return of the service are logged once each

  Scenario: Lost answers cost time, not jobs
    Given a leader whose advice service loses every other answer
    When 5 advised jobs come, and 3 others
    Then all of them are active after 14 s

  Scenario: A leader is lost halfway through its requests
    Guards against a successor that believes in tickets which it does not know.
    Given a leader whose advice service answers in time
    When 5 advised jobs come, and the leader is lost after the second answer
    Then its successor has asked for every job that it did not find placed
    And all of them are active in the end

  Scenario: A silent service counts as available again when nothing is to be asked
    Guards against queues that stay closed because nobody asks the service any more.
    Given a leader whose advice service is silent
    When 5 advised jobs come, and 3 others
    And the advised jobs are cancelled after 8 s
    Then it counts as available 3 s later

  Scenario Outline: Values of a queue's advice that cannot be read harm nothing
    Then a queue with advice <value> has <terms>

    Examples:
      | value                                                       | terms           |
      | null                                                        | no advice       |
      | {"decision_ms": 20, "per_worker_ms": 0.5, "valid_ms": 4000} | 20, 0.5, 4000   |
      | {"decision_ms": 20, "valid_ms": "soon"}                     | 20, 10, 2000    |
      | {"decision_ms": -1, "per_worker_ms": true, "valid_ms": 0}   | 100, 10, 2000   |
      | false                                                       | no advice       |
      | {}                                                          | 100, 10, 2000   |
      | true                                                        | 100, 10, 2000   |
      | [1, 2]                                                      | 100, 10, 2000   |

  Scenario Outline: A submission is refused only if it is certain not to be stored
    Guards against a caller who is told "not run" of a job that an earlier call stored.
    Given a node <service>, whose store <store> the id
    When a job for a queue with advice is submitted there
    Then it is answered <status>

    Examples:
      | service                        | store           | status |
      | without an advice service      | does not have   | 503    |
      | without an advice service      | has             | 200    |
      | without an advice service      | does not tell   | 504    |
      | whose leader lacks advice      | does not have   | 503    |
      | whose leader lacked it long ago | does not have  | 200    |
      | whose former leader lacked it  | does not have   | 200    |
      | with an advice service         | does not have   | 200    |
      | that is stopping               | does not have   | 503    |
      | that is stopping               | has             | 200    |
      | that is stopping               | does not tell   | 504    |
