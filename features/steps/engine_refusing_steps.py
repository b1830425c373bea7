from behave import given, then, when

from firladder._internal.node.election import choose_campaign_delay
from firladder._internal.node.records import choose_retry_after

WAIT_S = 0.7


@when("callers are refused {outage_s:f} s after the store was lost")
def refuse(context, outage_s):
    context.later = choose_retry_after(outage_s)


@then("they are told to come back after {later:d} s")
def check_later(context, later):
    assert round(context.later) == later, context.later


@given("a store that is unavailable for {seconds:d} s")
def lose_store(context, seconds):
    context.outage_s = seconds


@when("a caller comes at the first moment and obeys each answer, four times at most")
def retry_as_told(context):
    now = 0.0
    for _ in range(4):
        now += WAIT_S
        now += round(choose_retry_after(now))
    context.last = now


@then("its last attempt reaches a store that answers")
def check_last(context):
    assert context.last > context.outage_s, context.last


@then(
    "a VM with {cores:f} cores and {link:f} Mbit/s campaigns {delay:f} s "
    "after the others"
)
def check_delay(context, cores, link, delay):
    assert choose_campaign_delay(processor_cores=cores, link_mbps=link) == delay
