Feature: Promises hold while everything misbehaves

  Scenario Outline: A seeded soak of overlapping faults breaks no promise
    Nodes are killed, stopped, frozen and reloaded; their ways to the store and to
    workers are delayed, silent, cut one way or reset; the store and the workers lose
    or delay what they do. Clients keep their connections and repeat what is unknown.
    A user would notice a lost, doubled or falsely refused job.
    When the soak plays seed <seed> for <length> s
    Then no promise was broken

    Examples:
      | seed | length | why it is kept                                                   |
      | 1    | 8      | a gang of the stand-ins ended in parts                           |
      | 2    | 8      | the short run of every check                                     |
      | 116  | 12     | a job shown as cancelled was shown as running by a leader after  |
      | 231  | 12     | a completed job was shown as running while its gang's ends came  |

  Scenario: A soak over three failure domains breaks no promise
    A node that hears of no other domain and of no store tells its callers to go
    elsewhere. Frozen peers and a silent store look the same for moments: a caller that
    was told "not run" then must not find its job done.
    When the soak plays seed 300 for 10 s in 3 failure domains
    Then no promise was broken
