Feature: Tasks that have ended as done stay done, whatever goes wrong

  Workers restart under their ids, several at one moment, their reports hold few ends,
  calls are lost, late or overtaken, tasks fail or stand still together, the store is
  down, and the leader's process stands still for seconds.

  Scenario Outline: No task starts again after its end was acknowledged
    Guards against second starts by rare combinations, under one leader and several.
    When 16 jobs of all shapes are played with draws from seed <seed>
    Then no task runs twice, at one moment or after an end that was acknowledged
    And nothing of the leader has ended by an exception, and no job is stuck

    Examples:
      | seed |
      | 2    |
      | 5    |
