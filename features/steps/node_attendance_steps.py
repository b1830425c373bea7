from behave import given, then, when

from firladder._internal.node.worker_session import (
    POLL_RETRY_PAUSE_S,
    increase_retry_pause,
)


@given(
    "a worker that {state} and does not answer polls, each with a timeout of {wait:f} s"
)
def lose_worker(context, state, wait):
    context.holds_runs = {"holds our runs": True, "is idle": False}[state]
    context.wait = wait


@when("it has been unreachable for {seconds:d} s")
def stay_unreachable(context, seconds):
    """Record the longest time between two polls."""
    at, pause_s = 0.0, POLL_RETRY_PAUSE_S
    context.longest = 0.0
    while at < seconds:
        cycle_s = context.wait + pause_s
        context.longest = max(context.longest, cycle_s)
        at += cycle_s
        pause_s = increase_retry_pause(pause_s, holds_runs=context.holds_runs)


@then("a poll is sent within {limit:f} s of its return")
def check_soon(context, limit):
    assert context.longest <= limit, context.longest
