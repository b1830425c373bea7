Feature: Records that a leader cannot read

  Scenario Outline: A job whose records cannot be read is left alone
    Guards against starting tasks again that were done, and forgetting how they ended.
    Given a job whose tasks are done while nobody leads
    And <damage>
    When a leader that cannot read it leads for 6 s beside another job
    Then no task of the job was started by it
    And its state is shown as <shown>
    And the other job is completed
    When a leader that can read it leads for 6 s
    Then the job is completed, and each of its tasks has started once

    Examples:
      | damage                                        | shown   |
      | its progress is cut short                     | unknown |
      | its progress has a state that is not known    | unknown |
      | a unit of it has a state that is not known    | unknown |
      | its progress names a unit that the job lacks  | running |
      | its progress names a task that its unit lacks | running |
      | its submission is cut short                   | running |
