Feature: Ids whose answers a gateway has forgotten

  Scenario: A ticket is sent again after its answer was forgotten
    A busy gateway keeps only its latest answers. A client that was suspended retries
    an old ticket, which the gateway can't tell from a new one by its answers; if it
    ran, the request would be executed twice.

    Given an ownership table that keeps 2 answers
    When tickets 1 to 5 run to their end
    Then ticket 1 may not run again
    And ticket 5 is still known
    And a fresh ticket may run

  Scenario: An id of the caller's own is sent again after its answer was forgotten
    The store still says that this gateway owns the id, but the gateway has forgotten
    the answer. It must not take the claim for that of a request still to be run.

    Given an ownership table that keeps 2 answers
    When the ids "a", "b", "c" and "d" run to their end
    Then the id "a" may not run again

  Scenario: An id that was refused before may still run
    The queue was full; the caller retries much later, as it was told to.

    Given an ownership table that keeps 2 answers
    When the id "x" and a ticket end as not run
    And tickets 2 to 9 run to their end
    Then the id "x" may run, once
    And the refused ticket may run, once

  Scenario: A refused id is not run under a claim that has expired
    The claim expires in the store after an hour, and another gateway may then take
    the id. This gateway must not rely on its memory for longer than the claim.

    Given an ownership table that keeps 2 answers
    When the id "x" and a ticket end as not run
    And 3500 s pass and another gateway takes the id "x"
    Then the id "x" belongs to the other gateway

  Scenario: The store takes a claim later than its answer says
    Neither the write nor the read after it is answered. When the caller retries, the
    gateway recognises the claim in the store as its own.

    Given an ownership table that keeps 2 answers
    When the claim of "y" is written, but the store answers nothing
    Then the id "y" may run, once

  Scenario: A claim that was written late is about to expire
    As before, but the caller retries after an hour, just before the claim expires in
    the store. If the id ran now, another gateway could claim and run it as well.

    Given an ownership table that keeps 2 answers
    When the claim of "z" is written, but the store answers nothing
    And 3500 s have passed
    Then the id "z" may not run again

  Scenario: A ticket that was never given out
    A caller guesses a ticket by incrementing its number. If it ran, the caller that is
    issued this number later would get the answer to another caller's request.

    Given an ownership table that keeps 2 answers
    Then no guessed ticket is accepted
