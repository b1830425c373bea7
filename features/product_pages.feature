Feature: The pages say what the code does

  Scenario: The catalogue names every event, and no other
    An operator looks up an event's number, and the page lists an older version's.
    Then the page of events is equal to the code

  Scenario: The page of metrics names every metric, and no other
    An alarm on a metric that was renamed never fires.
    Then the page of metrics is equal to the code

  Scenario: The page of settings names every setting with its default
    An operator relies on a default that the code no longer has.
    Then the page of settings is equal to the code

  Scenario: The capacity page follows from its measured points
    A number on the page was edited by hand, or the points were measured again and the
    page was not updated.
    Then the capacity page is what is calculated from its points

  Scenario: Fewer than four points make no slope
    Two points always lie on a line, so their fit says nothing about its error.
    Then a line through 3 points is rejected
    And a line through the points of y = 2x + 1 has slope 2 and no error
