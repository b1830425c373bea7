from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import UnitState

PASS_INTERVAL_S = 0.25


def make_engine(context, workers, per_rack):
    context.engine = EngineWorld(workers, per_rack=per_rack)


def pass_time(engine):
    """Let a leader's interval pass; all workers are sound and listed."""
    engine.now += PASS_INTERVAL_S
    for worker in engine.core.workers.values():
        engine.core.register_worker(worker.entry, now=engine.now)
    engine.make_durable()


def fail(engine, placement):
    """End a member as failed, and the others as the platform does."""
    others = [p for p in placement.unit.placements.values() if p is not placement]
    engine.end(placement, "failed")
    for other in others:
        engine.end(other, "broken")


def start(engine, job):
    engine.submit(job)
    started = engine.start_all()
    engine.accept(started)
    return started


@given("a gang of {count:d} that has the {workers:d} workers of its pool to itself")
def start_gang(context, count, workers):
    make_engine(context, workers, per_rack=workers)
    step = make_step(count, gang=True)
    context.members = start(context.engine, make_job("job", step))
    assert len(context.members) == count


@given("a task of priority {priority:d}, near whose data there is one worker of 4")
def start_near(context, priority):
    make_engine(context, 4, per_rack=1)
    step = make_step(rack="r1-0")
    context.members = start(context.engine, make_job("job", step, priority=priority))
    assert [p.worker_id for p in context.members] == ["w0"]


@given("a task of priority {priority:d}, near whose data there is no worker of 4")
def submit_far(context, priority):
    make_engine(context, 4, per_rack=2)
    step = make_step(rack="r1-9")
    context.engine.submit(make_job("job", step, priority=priority))


@given("a task that failed on one of 2 workers, the other of which runs lasting work")
def fail_beside_lasting(context):
    make_engine(context, 2, per_rack=2)
    start(context.engine, make_job("lasting", make_step(lasting=True)))
    fail(context.engine, *start(context.engine, make_job("job", make_step())))


@given("a step of 3 tasks, the first of which failed on the only free worker of 2")
def fail_first(context):
    make_engine(context, 2, per_rack=2)
    start(context.engine, make_job("lasting", make_step(lasting=True)))
    fail(context.engine, *start(context.engine, make_job("job", make_step(3))))


@when("one of its members fails, and nothing else is submitted")
def fail_member(context):
    fail(context.engine, context.members[-1])


@when("it fails there once, and nothing else is submitted")
def fail_there(context):
    fail(context.engine, context.members[0])


@when("it stands still {times:d} times, each time beside another worker")
def stand_still(context, times):
    engine = context.engine
    for number in range(times):
        unit = engine.find_unit("job")
        if number:
            wait_until_planned(engine, seconds=60.0)
            engine.make_durable()
            engine.accept(engine.core.take_starts())
        fresh = [p for p in unit.placements.values() if p.worker_id not in unit.avoided]
        hanging = fresh[0]
        for placement in unit.placements.values():
            placement.progressed_at = engine.now + 10.0
        hanging.progressed_at = unit.active_since
        engine.now += 5.0
        engine.core.abort_stalled_runs(engine.now)
        for placement in list(unit.placements.values()):
            engine.end(placement, "stopped")
    assert len(engine.find_unit("job").avoided) == times


@when("nothing else is submitted")
def submit_nothing(context):
    pass


def wait_until_planned(engine, *, seconds):
    """Return whether a unit of the job is planned within ``seconds``."""
    until = engine.now + seconds
    units = engine.core.jobs["job"].units
    while engine.now < until:
        pass_time(engine)
        engine.plan()
        if any(unit.state is UnitState.BUSY for unit in units):
            return True
    return False


@then("the gang is planned again within {seconds:d} s")
@then("the task is planned again within {seconds:d} s")
@then("another task of the step is planned within {seconds:d} s")
def check_planned(context, seconds):
    engine = context.engine
    planned = wait_until_planned(engine, seconds=seconds)
    free = {w.worker_id: w.free.accelerators for w in engine.core.workers.values()}
    assert planned, f"not planned in {seconds} s; free accelerators: {free}"
