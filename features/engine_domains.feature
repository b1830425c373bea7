Feature: A failure domain that the operators evacuate gets no new work

  Background:
    Given 2 failure domains, each with 2 racks of 2 workers

  Scenario Outline: Work begins elsewhere
    Guards against placing work in a domain whose evacuation was requested.
    Given domain "a" is evacuated
    When the core is given "<work>"
    Then it starts on workers of domain "b"

    Examples:
      | work                          |
      | a task                        |
      | an urgent task                |
      | a gang of 4 tasks             |
      | a gang of 2 tasks in one rack |
      | a task whose data is there    |

  Scenario: Work that is not known to be running there is withdrawn
    Guards against start orders that are sent or repeated after the evacuation.
    Given a gang of 8 tasks is planned over both domains
    When domain "a" is evacuated
    Then no start of the gang is sent
    And the gang waits

  Scenario: Running work there goes on
    Guards against losing work to a request that only excludes new work.
    Given a gang of 8 tasks is running over both domains
    When domain "a" is evacuated
    Then the gang is running

  Scenario: Urgent work preempts nothing there
    Guards against stopping work whose capacity may not be used.
    Given a gang of 8 tasks is running over both domains
    And domain "a" is evacuated
    When the core is given "an urgent gang of 2 tasks"
    And the workers' stops have ended
    Then it starts on workers of domain "b"

  Scenario: Work waits while every domain is evacuated, and begins when one is taken back
    Guards against work that is lost or refused because no domain is usable.
    Given domain "a" is evacuated
    And domain "b" is evacuated
    When the core is given "a task"
    Then it waits
    When domain "b" is no longer evacuated
    Then it starts on workers of domain "b"

  Scenario: A reservation in a domain is dropped when the domain is evacuated
    Guards against urgent work that waits for capacity where it may not start.
    Given a gang of 8 tasks is running over both domains
    And an urgent gang of 2 tasks has preempted work in domain "a"
    When domain "a" is evacuated
    And the workers' stops have ended
    Then it starts on workers of domain "b"

  Scenario: A domain that nobody knows changes nothing
    Guards against a request for another site's domain that affects this site.
    Given domain "elsewhere" is evacuated
    When the core is given "a gang of 8 tasks"
    Then it starts on workers of both domains
