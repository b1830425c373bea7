import asyncio

from behave import given, then, when

from features.support.virtual_time import VirtualClock, run_in_virtual_time
from firladder._internal.node.pass_loop import PassBudget, PassLoop


@given("a leader whose planning passes take {seconds:f} s each")
def make_leader(context, seconds):
    context.clock = VirtualClock()
    context.began = []

    def run_pass():
        context.began.append(context.clock.read_monotonic())
        # A pass blocks the event loop.
        asyncio.get_running_loop()._now += seconds

    context.pass_s = seconds
    context.run_pass = run_pass


async def run_loop(context, request):
    loop = PassLoop(run_pass=context.run_pass, clock=context.clock)
    task = asyncio.create_task(loop.run())
    await request(loop)
    task.cancel()


@when("something changes every 0.002 s for {seconds:d} s")
def change_often(context, seconds):
    async def request(loop):
        while context.clock.read_monotonic() < seconds:
            loop.request()
            await asyncio.sleep(0.002)

    run_in_virtual_time(run_loop(context, request))
    context.span_s = context.clock.read_monotonic()


@then("passes take at most a third of that time, and {count:d} are run or more")
def check_share(context, count):
    used_s = len(context.began) * context.pass_s
    assert used_s <= context.span_s / 3 + context.pass_s, (used_s, context.span_s)
    assert len(context.began) >= count, len(context.began)


@when("something changes once after an idle second")
def change_twice(context):
    async def request(loop):
        for _ in range(2):
            await asyncio.sleep(1.0)
            context.changed_at = context.clock.read_monotonic()
            loop.request()
        await asyncio.sleep(1.0)

    run_in_virtual_time(run_loop(context, request))


@then("a pass begins within {seconds:f} s, and within {first:f} s if it is the first")
def check_delay(context, seconds, first):
    assert len(context.began) == 2, context.began
    assert context.began[0] - 1.0 <= first, context.began
    assert context.began[1] - context.changed_at <= seconds, context.began


@given("a pass in which each unit takes {seconds:f} s")
def describe_pass(context, seconds):
    context.unit_s = seconds


@when("it plans units while its budget lasts")
def plan_units(context):
    clock = VirtualClock()
    budget = PassBudget(clock=clock)
    context.units = 0
    while budget.is_left():
        context.units += 1
        clock.now += context.unit_s


@then("it plans {count:d} units")
def check_units(context, count):
    assert context.units == count, context.units
