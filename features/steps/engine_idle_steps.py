import dataclasses

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import UnitState
from firladder._internal.node.term import TICK_S


def submit(context, name, step, *, takes_s, priority=1):
    engine = context.engine
    engine.core.run_times[f"q{priority}", 0] = takes_s
    engine.submit(make_job(name, step, priority=priority, at=engine.now))


def is_started(context, name="last"):
    return context.engine.find_unit(name).state is UnitState.BUSY


@given("{count:d} workers in {racks:d} rack, {busy:d} of them busy for {takes:d} s")
@given("{count:d} workers in {racks:d} racks, {busy:d} of them busy for {takes:d} s")
def make_pool(context, count, racks, busy, takes):
    engine = context.engine = EngineWorld(count, per_rack=count // racks)
    # Take the workers of all racks in turn, so that no rack is entirely free.
    order = [w for n in range(count // racks) for w in range(n, count, count // racks)]
    for number in range(busy):
        step = make_step(1, 8)
        submit(context, f"busy-{number}", step, takes_s=float(takes))
        engine.core.plan_run(engine.find_unit(f"busy-{number}"), [f"w{order[number]}"])
    engine.make_durable()
    engine.accept(engine.core.take_starts())


@given("a gang that needs all {count:d} waits")
def add_wide(context, count):
    submit(context, "wide", make_step(count, 8, gang=True), takes_s=10.0)
    context.engine.plan()
    assert not is_started(context, "wide")


@given("no worker of the first rack can be used")
def lose_rack(context):
    for worker in context.engine.core.workers.values():
        if worker.rack == "r1-0":
            worker.entry = dataclasses.replace(worker.entry, draining=True)


@when("a task that takes {takes:d} s arrives")
def add_task(context, takes):
    submit(context, "last", make_step(1, 1), takes_s=float(takes), priority=2)


@when("a task whose data is in the first rack arrives")
def add_bound(context):
    submit(context, "last", make_step(1, 1, rack="r1-0"), takes_s=5.0)


@when("a gang of 4 workers in one rack arrives")
def add_near(context):
    step = make_step(4, 8, gang=True, one_rack=True)
    submit(context, "last", step, takes_s=5.0)


def plan_for(context, seconds):
    """Plan at a leader's interval; return whether the job was started."""
    engine = context.engine
    until = engine.now + seconds
    while engine.now < until:
        engine.plan()
        if is_started(context):
            return True
        engine.now += TICK_S
    return False


@then("it is not started at once")
def check_waits(context):
    assert not plan_for(context, 1.0)


@then("it is started within {seconds:d} s")
def check_started(context, seconds):
    arrived_at = context.engine.accepted["last"].accepted_at_s
    assert plan_for(context, arrived_at + seconds - context.engine.now)


@then("it is not started within {seconds:d} s")
def check_kept(context, seconds):
    assert not plan_for(context, float(seconds))
