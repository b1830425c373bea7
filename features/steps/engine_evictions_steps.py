from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import Phase
from firladder._internal.models.order import RunningTask

PASS_S = 0.25
"""Time between two passes while nothing else happens."""

GANG = make_step(2, 8, gang=True)


def start(world, name):
    world.submit(make_job(name, GANG, at=world.now))
    world.accept(world.start_all())
    assert world.find_unit(name).all_active


def stop_and_restart(world, name):
    world.core.preempt(world.find_unit(name))
    for placement in list(world.find_unit(name).placements.values()):
        world.end(placement, "stopped")
    world.accept(world.start_all())
    assert world.find_unit(name).all_active


def submit_urgent(world):
    step = make_step(1, 8, gang=True)
    world.submit(make_job("urgent", step, priority=0, at=world.now))
    world.plan()


def list_stopped(world, names):
    return [name for name in names if not world.find_unit(name).all_active]


@given('workers 0 to 3, and a gang "patient" of 2 that urgent work has stopped 3 times')
def stop_often(context):
    context.world = EngineWorld(4)
    start(context.world, "patient")
    for _ in range(3):
        stop_and_restart(context.world, "patient")


@given(
    '"patient" running for {short:f} s beside a gang "new" of 2 running for {long:f} s'
)
def begin_both(context, short, long):
    world = context.world
    start(world, "new")
    world.now += long - short
    stop_and_restart(world, "patient")
    world.now += short


@when("an urgent job of one task finds no free capacity")
def submit_without_capacity(context):
    submit_urgent(context.world)


@given("workers 0 to 3, and two gangs of 2 running on them")
def begin_two(context):
    context.world = EngineWorld(4)
    for name in ("one", "two"):
        start(context.world, name)
    context.world.now += 1.0


@when("an urgent job of one task preempts work")
def preempt_work(context):
    submit_urgent(context.world)
    assert len(list_stopped(context.world, ("one", "two"))) == 1


def wait(world, seconds):
    """Let workers answer polls without reporting the ends of stopped tasks.

    All tasks progress: a worker whose tasks stand still gets no urgent work.
    """
    began_at = world.now
    until = began_at + seconds
    while world.now < until:
        world.now += PASS_S
        for worker in world.core.workers.values():
            rows = [
                RunningTask(p.task, p.run, "", 10 + int(10 * (world.now - began_at)))
                for p in worker.placements.values()
                if p.phase in (Phase.ACTIVE, Phase.STOPPING)
            ]
            world.report(worker, rows)
        world.plan()


@when("the ends of the stopped gang are reported after {seconds:d} s")
def report_late(context, seconds):
    world = context.world
    wait(world, seconds)
    context.stopped = list_stopped(world, ("one", "two"))
    for name in context.stopped:
        for placement in list(world.find_unit(name).placements.values()):
            world.end(placement, "stopped")
    world.accept(world.start_all())


@when("the ends of the stopped gang are not reported for {seconds:d} s")
def report_nothing(context, seconds):
    wait(context.world, seconds)
    context.stopped = list_stopped(context.world, ("one", "two"))


@when("the other gang is done")
def end_other(context):
    world = context.world
    (context.other,) = {"one", "two"} - set(context.stopped)
    for placement in list(world.find_unit(context.other).placements.values()):
        world.end(placement, "done")
    context.since = world.now


def starts_within(context, seconds):
    world = context.world
    while world.now + PASS_S <= context.since + seconds:
        world.now += PASS_S
        world.accept(world.start_all())
    return world.find_unit(context.stopped[0]).all_active


@then("the stopped gang does not start within {seconds:f} s")
def check_backoff(context, seconds):
    assert not starts_within(context, seconds)


@then("it starts within {seconds:f} s")
def check_starts(context, seconds):
    assert starts_within(context, seconds)


@then("one gang was stopped")
def check_one(context):
    assert len(context.stopped) == 1, context.stopped


@then("both gangs were stopped")
def check_both(context):
    assert len(context.stopped) == 2, context.stopped


@then("the urgent job has started")
def check_started(context):
    assert context.world.find_unit("urgent").all_active
