from behave import given, then, when

from features.support.engine_world import EngineWorld, make_entry, make_job, make_step
from firladder._internal.engine.estimates import Estimates
from firladder._internal.engine.state import Phase, UnitState
from firladder._internal.models.order import RunningTask

POLL_INTERVAL_S = 0.5
"""Time between two polls of all workers."""


def start(context, name, count, *, checkpoints=False, accelerators=8):
    world = context.world
    step = make_step(
        count, accelerators, gang=True, checkpoints=checkpoints, most_per_worker=1
    )
    world.submit(make_job(name, step, at=world.now))
    world.accept(world.start_all())
    placements = world.find_unit(name).placements.values()
    assert all(p.phase is Phase.ACTIVE for p in placements), name
    return {p.worker_id for p in placements}


def poll(context, percents):
    """Let each worker report its tasks, with the progress in ``percents`` by job."""
    world = context.world
    for worker in list(world.core.workers.values()):
        rows = [
            RunningTask(p.task, p.run, "", percents[p.task.job_id][p.task.index])
            for p in worker.placements.values()
            if p.task.job_id in percents
        ]
        world.report(worker, rows)
    world.core.abort_stalled_runs(world.now)


def poll_for(context, seconds, percents):
    world = context.world
    until = world.now + seconds
    while world.now < until:
        world.now = min(until, world.now + POLL_INTERVAL_S)
        poll(context, percents(world.now))


@given(
    'workers {first:d} to {last:d} running a gang "{name}" of {count:d} since {at} s'
)
def begin_gang(context, first, last, name, count, at):
    if not hasattr(context, "world"):
        context.world = EngineWorld(last + 1)
        context.began = context.world.now
    elif len(context.world.entries) <= last:
        add_workers(context, last)
    context.world.now = context.began + int(at)
    chosen = start(context, name, count)
    assert chosen == {f"w{n}" for n in range(first, last + 1)}, chosen


def add_workers(context, last):

    world = context.world
    for number in range(len(world.entries), last + 1):
        entry = make_entry(number)
        world.entries.append(entry)
        world.claim(world.core.register_worker(entry, now=world.now))


@given('workers 0 to 2 running a gang "{name}" of 3, {saving}, since 0 s')
def begin_saving(context, name, saving):
    context.world = EngineWorld(3)
    context.began = context.world.now
    saves = {"which saves": True, "which saves nothing": False}[saving]
    start(context, name, 3, checkpoints=saves, accelerators=4)


@given('a gang "{name}" of 3 running beside it')
def begin_beside(context, name):
    start(context, name, 3, accelerators=4)


@when("its members are at {a:d}, {b:d} and {c:d} per cent after {after:d} s")
def reach(context, a, b, c, after):
    context.percents = (a, b, c)

    def grow(now):
        share = (now - context.began) / after
        row = [int(p * share) for p in context.percents]
        return {"g": row, "h": row}

    poll_for(context, after, grow)


@when("the slow one goes on to {percent:d} per cent within {seconds:d} s")
def progress_slowly(context, percent, seconds):
    a, b, c = context.percents
    since = context.world.now

    def grow(now):
        more = (percent - c) * (now - since) / seconds
        return {"g": (a, b, int(c + more))}

    poll_for(context, seconds, grow)


@when("no progress is reported for {seconds:d} s")
def stall(context, seconds):
    poll_for(context, seconds, lambda _: {"g": context.percents, "h": context.percents})


@then('the run of "{name}" goes on')
def check_goes_on(context, name):
    unit = context.world.find_unit(name)
    assert unit.run == 1
    assert unit.all_active, [p.phase for p in unit.placements.values()]


@then('the run of "{name}" is aborted')
def check_aborted(context, name):
    assert not context.world.find_unit(name).all_active


@then("no worker is quarantined")
def check_not_quarantined(context):
    workers = context.world.core.workers.values()
    assert not any(w.failed_jobs or w.quarantined_until for w in workers)


@then("workers 0 to 2 are quarantined")
def check_quarantined(context):
    world = context.world
    assert all(w.quarantined_until > world.now for w in world.core.workers.values())


@given(
    'another leader takes over after {at:d} s, with "{name}" at {percent:d} per cent'
)
def take_over(context, at, name, percent):
    world = context.world
    world.now = context.began + at
    world.succeed()
    poll(context, {name: (percent,) * 3})


@when("an urgent job of one task finds no free capacity after {at:d} s")
def submit_without_capacity(context, at):
    world = context.world
    world.now = context.began + at
    poll(context, {"old": (99, 99, 99), "young": (20,) * 6})
    submit_urgent(world)


def submit_urgent(world):
    step = make_step(1, 8, gang=True)
    world.submit(make_job("urgent", step, priority=0, at=world.now))
    world.plan()


@then('"{stopped}" is stopped and "{kept}" goes on')
def check_victim(context, stopped, kept):
    world = context.world
    assert not world.find_unit(stopped).all_active
    assert world.find_unit(kept).all_active


@when('"{name}" is done after {at:d} s')
def finish(context, name, at):
    world = context.world
    world.now = context.began + at
    for placement in list(world.find_unit(name).placements.values()):
        world.end(placement, "done")
    assert world.find_unit(name).state is UnitState.DONE


@then("a run of its queue is still expected to take {seconds:d} s")
def check_expected(context, seconds):
    world = context.world
    assert Estimates(world.core).estimate_run(world.find_unit("old")) == seconds


@when(
    'another leader has a report of "{gang}" from worker 0 at {one:d} per cent, '
    'of "{single}" at {other:d}'
)
def report_some(context, gang, one, single, other):
    world = context.world
    world.now = context.began + 4
    world.succeed()
    for name, percent in (("w0", one), ("w3", other)):
        worker = world.core.workers[name]
        rows = [
            RunningTask(p.task, p.run, "", percent) for p in worker.placements.values()
        ]
        world.report(worker, rows)


@when("an urgent job of one task finds no free capacity there")
def submit_without_capacity_there(context):
    submit_urgent(context.world)


@then('"{stopped}" is stopped and "{kept}" goes on as far as is known')
def check_reported(context, stopped, kept):
    world = context.world
    phases = {
        name: {p.phase for p in world.find_unit(name).placements.values()}
        for name in (stopped, kept)
    }
    assert phases[stopped] == {Phase.STOPPING}, phases
    assert Phase.STOPPING not in phases[kept], phases
