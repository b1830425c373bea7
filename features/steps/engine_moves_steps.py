from behave import given, then, when

from features.steps.engine_matching_steps import FixedProfiles
from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.profiles import WorkerProfile
from firladder._internal.engine.state import Phase
from firladder._internal.models.order import RunningTask

RUN_S = 10.0
USUAL = WorkerProfile(1.0, 0.0, True)


@given("{workers:d} workers, of which the first runs a task of 10 s that {saves}")
@given(
    "{workers:d} workers, of which the first {count:d} run a task of 10 s that {saves}"
)
def run_tasks(context, workers, saves, count=1):
    world = context.world = EngineWorld(workers)
    context.profiles = {entry.worker_id: USUAL for entry in world.entries}
    world.core.profiles = FixedProfiles(context.profiles)
    world.core.run_times["q1", 0] = RUN_S
    context.names = [f"job-{n}" for n in range(count)]
    for name in context.names:
        step = make_step(checkpoints=saves == "saves")
        world.submit(make_job(name, step, at=world.now))
    world.accept(world.start_all())


def slow_down(context, percent, slowness):
    """Let each task do its work at the usual pace; then its worker becomes slow."""
    world = context.world
    world.now += RUN_S * percent / 100
    placements = [world.find_placement(name) for name in context.names]
    for placement in placements:
        row = RunningTask(placement.task, placement.run, "", percent)
        world.report(world.core.workers[placement.worker_id], [row])
    context.profiles.update(dict.fromkeys(context.profiles, USUAL))
    slow = WorkerProfile(slowness, 0.0, True)
    context.profiles.update({p.worker_id: slow for p in placements})
    world.planner.move_units(world.now)
    return [p for p in placements if p.phase is Phase.STOPPING]


@when(
    "the task has done {percent:d} per cent in time and its worker is "
    "{slowness:f} times slower"
)
@when(
    "each task has done {percent:d} per cent in time and its worker is "
    "{slowness:f} times slower"
)
def slow_down_all(context, percent, slowness):
    context.stopped = slow_down(context, percent, slowness)


@then("the task is not moved")
def check_stays(context):
    assert not context.stopped


@then("the task is moved and avoids its worker")
def check_moved(context):
    world = context.world
    (former,) = context.stopped
    world.core.take_stops(world.now)
    world.end(former, "stopped")
    world.plan()
    assert world.find_placement(context.names[0]).worker_id != former.worker_id


@then("{count:d} tasks are stopped")
def check_stopped(context, count):
    assert len(context.stopped) == count, len(context.stopped)
    context.world.planner.move_units(context.world.now + 0.1)
    phases = [context.world.find_placement(name).phase for name in context.names]
    assert phases.count(Phase.STOPPING) == count, phases


@when("whichever worker has the task is {slowness:f} times slower, {count:d} times")
def slow_down_again(context, slowness, count):
    world = context.world
    context.moves = 0
    for _ in range(count):
        for placement in slow_down(context, 20, slowness):
            context.moves += 1
            world.core.take_stops(world.now)
            world.end(placement, "stopped")
            world.accept(world.start_all())


@then("the task was moved {count:d} times")
def check_moves(context, count):
    assert context.moves == count, context.moves
