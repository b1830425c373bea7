from behave import given, then, when

from firladder._internal.node.worker_session import (
    POLL_RETRY_PAUSE_S,
    increase_retry_pause,
)


@given("a worker that {state} and does not answer looks, each awaited for {wait:f} s")
def lose_worker(context, state, wait):
    context.holds_runs = {"holds our runs": True, "is idle": False}[state]
    context.wait = wait


@when("it has been out of reach for {seconds:d} s")
def stay_away(context, seconds):
    """Note when looks leave, and the longest time from one to the next."""
    at, pause_s = 0.0, POLL_RETRY_PAUSE_S
    context.longest = 0.0
    while at < seconds:
        cycle_s = context.wait + pause_s
        context.longest = max(context.longest, cycle_s)
        at += cycle_s
        pause_s = increase_retry_pause(pause_s, holds_runs=context.holds_runs)


@then("a look leaves within {most:f} s of its return")
def check_soon(context, most):
    assert context.longest <= most, context.longest
