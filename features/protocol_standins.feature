Feature: Stand-in workers save, slow and forget as real ones do

  Scenario: A restarted member goes on from its checkpoint
    A long job is moved to other workers shortly before its end. Without its saved
    progress, each move would cost the whole run time.
    Given a protocol stand-in worker with a task of 100 s of work
    When 60 s of the protocol task are done and saved
    Then the next attempt on another protocol worker has 40 s left

  Scenario: A throttled member takes longer
    Given a protocol stand-in worker with a task of 100 s of work
    When the protocol task is throttled to half its speed
    Then the protocol task has 200 s left

  Scenario: A worker that was paused past a lease does not renew it
    A worker hangs while a renewal waits in its socket. Handling the renewal before
    the expiry would keep a member running whose gang ended long ago.
    Given a protocol stand-in worker with a task of 100 s of work
    When the protocol lease has expired and a delayed renewal is handled
    Then the protocol task has ended as "lapsed"
