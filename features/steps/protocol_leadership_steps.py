import signal
import time

from behave import given, then, when

from features.support.gangs import list_histories
from standins.site import call, wait_for


@when("the protocol leader is {how}")
def stop_leader(context, how):
    context.protocol.epoch = context.protocol.read_epoch()
    context.protocol.stop_leader(how)
    context.protocol.stopped_at = time.monotonic()


@then("a protocol successor commands every worker within {limit_s:g} s")
def wait_successor(context, limit_s):
    protocol = context.protocol

    def is_claimed():
        epochs = [h["epoch"] for h in list_histories(protocol.site)]
        return min(epochs) > protocol.epoch

    wait_for(is_claimed, 20, "a successor that commands every worker")
    takeover_s = time.monotonic() - protocol.stopped_at
    print(f"takeover took {takeover_s:.2f} s")
    assert takeover_s <= limit_s, takeover_s


@when("the protocol leader that was frozen wakes")
def wake(context):
    protocol = context.protocol
    protocol.site.child(protocol.stopped_leader).signal(signal.SIGCONT)


@then("the woken protocol leader has stepped down without a command")
def check_stepped_down(context):
    protocol = context.protocol
    address = protocol.site.addresses[protocol.stopped_leader]

    def has_lost():
        events = call(address, "GET", "/v1/events")[1]["events"]
        return any(e["message"] == "leadership lost" for e in events)

    wait_for(has_lost, 20, "the woken leader steps down")
    fenced = [h["fenced"] for h in list_histories(protocol.site)]
    assert not any(fenced), fenced


@given("the protocol store loses the answer to the next election")
def lose_election(context):
    context.protocol.site.set_faults(lose_answers=1, lose_key="leaders/")


@when("the protocol store is down")
def stop_store(context):
    context.protocol.site.set_faults(outage=True)


@when("the protocol store is up again")
def start_store(context):
    context.protocol.site.set_faults()


@then("all members of protocol job {number:d} run without the store")
def check_isolated_start(context, number):
    protocol = context.protocol
    job = protocol.jobs[number - 1]
    for worker in (1, 2, 3):
        wait_for(lambda w=worker: protocol.has_member(w, job, "running"), 30, job)


@then("protocol job {number:d} has not started")
def check_not_started(context, number):
    protocol = context.protocol
    assert not protocol.list_intervals(protocol.jobs[number - 1])


@then('every protocol gang ends as "{outcome}"')
def check_ends(context, outcome):
    ends = [context.protocol.wait_end(job) for job in context.protocol.jobs]
    assert {job["outcome"] for job in ends} == {outcome}, ends
