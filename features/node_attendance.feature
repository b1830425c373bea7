Feature: Workers that come back are polled before their leases expire

  Scenario Outline: A worker with runs is polled again soon, an idle one less often
    A failure domain is partitioned for six seconds. When the partition ends, the leases
    there have a second or two left. Polled only each second and a half, many workers
    were reached too late: gangs with ten seconds of work had just expired.
    Given a worker that <runs> and does not answer polls, each with a timeout of 0.6 s
    When it has been unreachable for 6 s
    Then a poll is sent within <max> s of its return

    Examples:
      | runs           | max  |
      | holds our runs | 1.0  |
      | is idle        | 1.6  |
