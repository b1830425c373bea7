Feature: Guaranteed shapes stay reclaimable

  Scenario: Every idle cell can be claimed after any run of arrivals and ends
    Jobs arrive and end in any order and fill the fleet beyond their organisations'
    shapes. If a gang were bound so that an idle cell of another organisation can't be
    placed, the owner would have enough accelerators free by count but not in shape.
    When random jobs of organisations with random shapes come and go
    Then every idle cell could be claimed at every moment by preempting borrowers alone

  Scenario: A cell of whole workers is refused where only the count fits
    Given jobs-world workers in racks of 2
    When guarantees of one cell of 24 accelerators are checked
    Then the jobs-world guarantees do not fit

  Scenario: Cells of three and of five accelerators round up to buddy sizes
    Given jobs-world workers in racks of 2
    When guarantees of four cells of 3 and one cell of 5 accelerators are checked
    Then the jobs-world guarantees do not fit

  Scenario: A loss of workers degrades only the guarantees that need them
    Half of the workers of a rack fail. The organisation whose cell needs them must be
    told that its guarantee is degraded; the one whose cell still fits must not.
    Given jobs-world workers in racks of 2
    When one worker is gone that a cell of 16 accelerators needs
    Then only the guarantee of that cell is degraded
