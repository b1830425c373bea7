Feature: Answers of outside systems that are large, slow or never end

  Scenario: An answer that is given up is not read on
    Guards against abandoned answers that go on filling the link of a small VM.
    Given a server whose answer of 40 parts takes 4 s
    When it is called with 0.3 s for the answer
    Then the call ends "sent_unanswered" within 0.6 s
    And the server's connection is closed within 0.5 s
