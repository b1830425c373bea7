Feature: Urgent work is in time although orders are lost

  Scenario Outline: A lost order costs urgent work less than it has to spare
    Workers leave some orders unanswered and carry them out seconds later. A task whose
    order was lost may start again only when that order can no longer have an effect.
    An urgent job of 2.5 s has 1.5 s to spare.
    Given an urgent job of 2.5 s that is ordered at once
    When the order gets no answer, and <stops> orders to stop it get none
    Then it is ordered again before its time to spare is over

    Examples:
      | stops |
      | 0     |
      | 1     |

  Scenario Outline: No answer to a repeated start proves that the first copy does not begin
    Guards against a task that runs twice because of a late copy of its start order.
    Given an urgent job of 2.5 s that is ordered at once
    When the order gets no answer, and its repetition <answer>
    Then the task is not ordered again before its stop is answered and it is not listed

    Examples:
      | answer                           |
      | is refused                       |
      | is not sent                      |
      | is rejected for lack of capacity |

  Scenario: A run that is aborted before its start is sent frees its capacity at once
    Guards against waiting for a stop or a poll although no order was ever sent.
    Given an urgent job of 2.5 s that is ordered at once
    When it is aborted while its start still waits to be sent
    Then its capacity is free without a stop or a poll
