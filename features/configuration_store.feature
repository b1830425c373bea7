Feature: The stand-in store gives each write its own revision

  Scenario: Many writes at once
    Two processes write concurrently, and the response to one has the revision of the
    other. Guards against a leader that compares with that revision and retries without
    end, because its job is never at it: the job stays "starting".
    Given a stand-in store alone
    And 20 processes watch the stand-in store
    When 8 writers make 50 writes each at once
    Then every response has the revision at which its key was written
