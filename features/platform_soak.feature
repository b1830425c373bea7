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
