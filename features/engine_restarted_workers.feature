Feature: A worker that starts again under its id

  Its next incarnation knows nothing of before and numbers its ends anew. ``born`` in its
  entry and in its reports tells it from the former one.

  Scenario Outline: The ends of its next life are read
    Guards against ends that are acknowledged unread, so that their tasks start again.
    Given a worker has done 10 tasks, whose ends were acknowledged
    When it starts again under its id, which <what> shows
    And 10 other tasks are done there
    Then both jobs are completed, and each task has started once

    Examples:
      | what                                  |
      | its entry                             |
      | a report                              |
      | a listing to a successor              |
      | an entry by a clock that was set back |

  Scenario Outline: A start that may reach its next life is stopped there first
    Guards against two runs of a task, as the next life carries out a late order.
    Given a start was sent to a worker, and <answer>
    When it starts again under its id, which a report shows
    Then the run is <fate>

    Examples:
      | answer                          | fate                                       |
      | got no answer                   | stopped there before it is planned again   |
      | was answered, but is not listed | stopped there before it is planned again   |
      | the run is listed               | planned again at once                      |

  Scenario: A late report of its former life changes nothing
    Guards against acknowledging ends by the numbers of the former life.
    Given a worker has done 10 tasks, whose ends were acknowledged
    When it starts again under its id, which its entry shows
    And a report of its former life comes late
    And 10 other tasks are done there
    Then both jobs are completed, and each task has started once

  Scenario: An entry of its former life that comes late changes nothing
    Guards against a worker that is taken for restarted again and again.
    Given a worker has done 10 tasks, whose ends were acknowledged
    When it starts again under its id, which a report shows
    And the entry of its former life is read again
    Then it is known by its next life

  Scenario: A number of its former life acknowledges nothing of its next one
    Guards against ends that are acknowledged unread, so that their tasks start again.
    Given a worker has done 10 tasks, whose ends were acknowledged
    And a start was sent to it that got no answer
    When it starts again under its id, and the task is started and done there
    And the answer to the next poll is lost
    Then the task is done, and nothing is started again

  Scenario Outline: A poll meant for its former life acknowledges no end of the next one
    Guards against tasks that run again, as a poll without an answer has taken their
    ends off the worker's list under the numbers of the former life.
    Given a worker has done 10 tasks, whose ends were <ends>
    And 10 other tasks are to start there
    When a poll reaches it, but not its answer the leader
    And it starts again under its id, and nothing shows that yet
    And these tasks are started and done there, and no answer comes from it
    And the leader polls it 3 times without an answer
    And answers come again, and stops are carried out
    Then both jobs are completed, and each task has started once

    Examples:
      | ends                          |
      | acknowledged                  |
      | read, but not acknowledged yet |
