Feature: Workers that come back are found before their leases end

  Scenario Outline: A worker with runs is asked again soon, an idle one now and then
    A failure domain is cut off for six seconds. The leases of what runs there have a second
    or two left when it is back. Asked again only each second and a half, many a worker was
    found too late: gangs with ten seconds of work lapsed a moment before.
    Given a worker that <runs> and does not answer looks, each awaited for 0.6 s
    When it has been out of reach for 6 s
    Then a look leaves within <most> s of its return

    Examples:
      | runs           | most |
      | holds our runs | 1.0  |
      | is idle        | 1.6  |
