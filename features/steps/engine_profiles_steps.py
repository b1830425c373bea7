import collections
import dataclasses
import itertools
import math

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_entry, make_job, make_step
from features.support.uneven_world import KINDS, UnevenWorld
from firladder._internal.engine.health import STALL_TIMEOUT_S
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.profiles import UNKNOWN
from firladder._internal.evaluation.day_driver import DayDriver
from firladder._internal.evaluation.day_jobs import make_day
from firladder._internal.evaluation.day_kinds import UNEVEN_POOL
from firladder._internal.models.order import EndedTask, RunningTask
from firladder._internal.models.workload import Resources, Step


@given(
    "{count:d} workers that take {a:f}, {b:f} and {c:f} times as long, and seed "
    "{seed:d}"
)
def make_workers(context, count, a, b, c, seed):
    factors = list(itertools.islice(itertools.cycle((a, b, c)), count))
    context.world = UnevenWorld(factors, seed=seed)
    context.lasting = set()


@given("they have run usual work for {seconds:d} s")
@when("they run usual work for {seconds:d} s")
def run_work(context, seconds):
    world = context.world
    profiles = world.engine.core.profiles

    def note_lasting():
        context.lasting |= {profiles.find_lasting(w).slowness for w in world.factors}

    world.run(seconds, check=note_lasting)


@then("9 in 10 of the slow workers count as slower than every fast one")
def check_ranked(context):
    ranked, slow = context.world.count_ranked()
    assert ranked >= 0.9 * slow, (ranked, slow)


@then("the spread of the pool is known to be between {low:f} and {high:f}")
def check_spread(context, low, high):
    spread = context.world.engine.core.profiles.measure_spread("pool")
    assert low < spread < high, spread


@then("the lasting slowness of each was 1 at all times")
def check_equal(context):
    assert context.lasting == {1.0}, context.lasting


@then("the spread of the pool is 0")
def check_no_spread(context):
    assert context.world.engine.core.profiles.measure_spread("pool") == 0.0


@when("worker {number:d} turns {factor:f} times slower for {seconds:d} s")
def slow_down(context, number, factor, seconds):
    world, worker_id = context.world, f"w{number}"
    context.slowed, context.factor = worker_id, factor
    context.before = world.find(worker_id).slowness
    world.factors[worker_id] *= factor
    world.run(seconds)


@when("the worker with most tasks turns {factor:f} times slower for {seconds:d} s")
def slow_busiest(context, factor, seconds):
    runs = context.world.runs.values()
    counts = collections.Counter(r.placement.worker_id for r in runs)
    busiest = max(sorted(counts), key=counts.__getitem__)
    slow_down(context, int(busiest[1:]), factor, seconds)


@then("it counts as {factor:d} times slower than before")
def check_busiest_slow(context, factor):
    check_slow(context, int(context.slowed[1:]), factor)


@then("it counts as at most {factor:f} times slower than before")
def check_busiest_recovers(context, factor):
    check_usual(context, int(context.slowed[1:]), factor)


@when("it turns as fast as before for {seconds:d} s")
def speed_up(context, seconds):
    context.world.factors[context.slowed] /= context.factor
    context.world.run(seconds)


@when("nothing more runs on it for {seconds:d} s")
def leave_idle(context, seconds):
    context.world.engine.now += seconds


@then("worker {number:d} counts as {factor:d} times slower than before")
def check_slow(context, number, factor):
    found = context.world.find(f"w{number}").slowness
    assert found > factor * context.before, (found, context.before)


@then("worker {number:d} counts as at most {factor:f} times slower than before")
def check_usual(context, number, factor):
    found = context.world.find(f"w{number}").slowness
    assert found < factor * context.before, (found, context.before)


def start_on(world, worker_id, name):
    """Start a task that is alone on a worker, and return its placement."""
    engine = world.engine
    if name not in engine.core.jobs:
        engine.submit(make_job(name, make_step(1, 1), attempts=9, at=engine.now))
    unit = engine.find_unit(name)
    engine.core.plan_run(unit, [worker_id])
    engine.make_durable()
    placements = engine.core.take_starts()
    engine.accept(placements)
    return placements[0]


@when("tasks of {count:d} job fail on worker {number:d}")
@when("tasks of {count:d} jobs fail on worker {number:d}")
def fail_tasks(context, count, number):
    for job in range(count):
        placement = start_on(context.world, f"w{number}", f"bad-{job}")
        context.world.engine.end(placement, "failed")


@when("one task fails on {count:d} workers in turn")
def fail_everywhere(context, count):
    context.count = count
    for number in range(count):
        placement = start_on(context.world, f"w{number}", "bad")
        context.world.engine.end(placement, "failed")


@when("the tasks of {count:d} jobs stand still on worker {number:d}")
def stall_tasks(context, count, number):
    engine, worker_id = context.world.engine, f"w{number}"
    for job in range(count):
        start_on(context.world, worker_id, f"still-{job}")
    worker = engine.core.workers[worker_id]
    for _ in range(2):
        rows = [RunningTask(p.task, p.run, "", 5) for p in worker.placements.values()]
        engine.report(worker, rows)
        engine.now += STALL_TIMEOUT_S + 0.1
    engine.core.abort_stalled_runs(engine.now)


@given("a job of {count:d} tasks that all run on one worker, and another that is free")
def fill_one_worker(context, count):
    context.engine = engine = EngineWorld(1)
    step = Step(count=count, need=Resources(1000, 512, 0), estimate_s=5.0)
    engine.submit(make_job("wide", step, at=engine.now))
    context.placements = engine.start_all()
    engine.accept(context.placements)
    engine.claim(engine.core.register_worker(make_entry(1), now=engine.now))
    assert len(context.placements) == count


def end_all(context, how):
    ends = [
        EndedTask(number, p.task, p.run, how, "")
        for number, p in enumerate(context.placements, start=1)
    ]
    context.engine.now += 0.1
    context.engine.report(context.engine.core.workers["w0"], ended=ends)


@when("all of them fail at the same moment")
def fail_at_once(context):
    end_all(context, "failed")


@when("all of them stand still at the same moment")
def stall_at_once(context):
    engine = context.engine
    rows = [RunningTask(p.task, p.run, "", 5) for p in context.placements]
    engine.report(engine.core.workers["w0"], rows)
    engine.now += STALL_TIMEOUT_S + 0.1
    engine.core.abort_stalled_runs(engine.now)
    assert len(engine.core.take_stops(engine.now)) == len(rows)
    end_all(context, "stopped")


@then("all of them start again on the free worker")
def check_started_again(context):
    again = [(p.task, p.worker_id) for p in context.engine.start_all()]
    expected = [(p.task, "w1") for p in context.placements]
    assert sorted(again, key=str) == sorted(expected, key=str), again


@when("a task ends well on worker {number:d}")
def end_well(context, number):
    placement = start_on(context.world, f"w{number}", "good")
    context.world.engine.end(placement, "done")


@then("worker {number:d} is doubted by more than {least:f}")
def check_doubted(context, number, least):
    doubt = context.world.find(f"w{number}").doubt
    assert doubt > least, doubt


@then("worker {number:d} is doubted by less than {most:f}")
def check_trusted(context, number, most):
    context.doubted = f"w{number}"
    doubt = context.world.find(context.doubted).doubt
    assert 0 < doubt < most, doubt


@then("worker {number:d} is not doubted")
def check_cleared(context, number):
    assert context.world.find(f"w{number}").doubt == 0.0


@then("without news for {seconds:d} s it is not doubted")
def check_faded(context, seconds):
    context.world.engine.now += seconds
    assert context.world.find(context.doubted).doubt == 0.0


@then("each of them but the first is doubted by less than {most:f}")
def check_blameless(context, most):
    doubts = [context.world.find(f"w{n}").doubt for n in range(1, context.count)]
    assert all(doubt < most for doubt in doubts), doubts


@when("worker {number:d} is replaced by another incarnation")
def replace_worker(context, number):
    replace(context, number)


@when("worker {number:d} is replaced by a larger one")
def replace_by_larger(context, number):
    replace(context, number, capacity=Resources(64000, 65536, 8))


def replace(context, number, **changes):
    core, now = context.world.engine.core, context.world.engine.now
    entry = context.world.engine.entries[number]
    context.before = core.profiles.find_lasting(entry.worker_id)
    changed = dataclasses.replace(entry, worker_id=f"next-{number}", **changes)
    core.unregister_worker(entry.worker_id)
    core.register_worker(changed, now=now)
    context.replaced = core.profiles.find(changed.worker_id, now)


@then("the new worker has the profile of worker {number:d}")
def check_inherited(context, number):
    found, before = context.replaced, context.before
    assert found.measured and found.slowness != 1.0, found
    assert math.isclose(found.slowness, before.slowness, rel_tol=0.05), (found, before)


@then("the new worker is unknown, and as uncertain as the pool")
def check_new(context):
    found = context.replaced
    spread = context.world.engine.core.profiles.measure_spread("pool")
    assert not found.measured and found.slowness == 1.0, found
    assert math.isclose(found.spread, spread, rel_tol=0.05), (found, spread)


@when("a new leader finds a task at {percent:d} per cent that takes 10 s")
def find_task(context, percent):
    engine = context.world.engine
    start_on(context.world, "w4", "long")
    engine.succeed()
    report_percent(engine, percent)


@when("{seconds:d} s later the task is at {percent:d} per cent")
def find_task_later(context, seconds, percent):
    context.world.engine.now += seconds
    report_percent(context.world.engine, percent)


def report_percent(engine, percent):
    worker = engine.core.workers["w4"]
    rows = [RunningTask(p.task, p.run, "", percent) for p in worker.placements.values()]
    engine.report(worker, rows)


@then("the task is expected to take {seconds:d} s in all")
def check_run_time(context, seconds):
    sample = context.world.engine.find_placement("long").sample
    found = math.exp(sample.log_time)
    assert math.isclose(found, seconds, rel_tol=0.05), found


@when("an urgent task starts on a new worker")
def start_urgent(context):
    start_on_new(context, KINDS[0])


@when("a heavy task starts on a new worker")
def start_heavy(context):
    start_on_new(context, KINDS[1])


def start_on_new(context, kind):
    world = context.world
    core, engine = world.engine.core, world.engine
    entry = dataclasses.replace(engine.entries[0], worker_id="new", address="new:1")
    context.worker = core.register_worker(entry, now=engine.now)
    engine.report(context.worker)
    name = world.submit(*kind, width=1)
    core.plan_run(engine.find_unit(name), ["new"])
    engine.make_durable()
    engine.accept(core.take_starts())


def choose_wait(context):
    engine = context.world.engine
    return engine.core.choose_poll_wait(context.worker, 2.0, now=engine.now)


@then("the next poll there waits between {least:f} and {most:f} s")
def check_shortened(context, least, most):
    wait_s = choose_wait(context)
    assert least < wait_s < most, wait_s


@then("the next poll there waits {seconds:d} s")
@then("the one after that waits {seconds:d} s")
def check_whole(context, seconds):
    assert choose_wait(context) == seconds


@then("at most 1 poll in {count:d} was shortened")
def check_few(context, count):
    world = context.world
    assert world.shortened * count <= world.polls, (world.shortened, world.polls)


@when(
    "a task of 2 s on worker {number:d} is reported at {percent:d} per cent after "
    "{seconds:f} s"
)
def report_task(context, number, percent, seconds):
    start_on(context.world, f"w{number}", "long")
    context.world.engine.now += seconds
    report_percent(context.world.engine, percent)


@when(
    "a start is not answered, and its task of 10 s is first reported at "
    "{percent:d} per cent"
)
def report_unanswered(context, percent):
    engine = context.world.engine
    engine.submit(make_job("long", make_step(1, 1), at=engine.now))
    engine.core.plan_run(engine.find_unit("long"), ["w4"])
    engine.make_durable()
    engine.core.take_starts()
    engine.now += percent / 10
    report_percent(engine, percent)


@when("it is reported at {percent:d} per cent {seconds:f} s later")
def report_again(context, percent, seconds):
    context.world.engine.now += seconds
    report_percent(context.world.engine, percent)


@then("worker {number:d} counts as any other")
def check_any(context, number):
    assert context.world.find(f"w{number}").slowness == 1.0


@given("a day of uneven tasks on 48 equal workers, and seed {seed:d}")
def make_equal_day(context, seed):
    pool = dataclasses.replace(UNEVEN_POOL, workers=48, slowdowns=(1.0,))
    context.day = make_day(
        seed, pool, rate_factor=0.28, burst_factor=2.0, initial_share=0.28
    )


@when("it is played with the profiles, and without them")
def play_twice(context):
    drivers = [DayDriver(context.day, Planner) for _ in range(2)]
    drivers[1].core.profiles.find = lambda _worker_id, _now: UNKNOWN
    for driver in drivers:
        driver.run()
    context.ends = [
        {job_id: outcome.ended_at for job_id, outcome in driver.job_outcomes.items()}
        for driver in drivers
    ]


@then("every job ends at the same time")
def check_same(context):
    learned, unknown = context.ends
    assert learned == unknown
