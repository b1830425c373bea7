import dataclasses
import itertools

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine import health
from firladder._internal.engine.state import Phase, UnitState
from firladder._internal.models.workload import Organisation


def make_engine(context, racks, per_rack):
    context.engine = EngineWorld(racks * per_rack, per_rack=per_rack)
    for queue_index, queue in enumerate(context.engine.core.configuration.queues):
        assert queue.priority == queue_index


@given("an engine with {racks:d} racks of {count:d} workers")
@given("an engine with {racks:d} rack of {count:d} workers")
@given("an engine with {racks:d} rack of {count:d} worker")
def start_engine(context, racks, count):
    make_engine(context, racks, count)


@given('organisation "{name}" is guaranteed {count:d} accelerators')
def guarantee(context, name, count):
    core = context.engine.core
    core.configuration = dataclasses.replace(
        core.configuration, organisations=(Organisation(name, frozenset(), count),)
    )


def submit(context, name, step, *, priority, owner="other", at=None, takes_s=None):
    engine = context.engine
    at = engine.now if at is None else at
    job = make_job(name, step, priority=priority, at=at)
    engine.submit(dataclasses.replace(job, organisation=owner, stretch=1.5, slo_s=0.25))
    if takes_s is not None:
        engine.core.run_times[f"q{priority}", 0] = takes_s


def start_now(context):
    started = context.engine.start_all()
    context.engine.accept(started)
    return started


@given("urgent gangs of other organisations hold 1 worker of each rack")
def hold_racks(context):
    engine = context.engine
    for number in range(2):
        submit(context, f"held-{number}", make_step(1, 8), priority=0, takes_s=2.5)
    started = start_now(context)
    racks = {engine.core.workers[p.worker_id].rack for p in started}
    if len(racks) == 1:
        # Both were placed in one rack: move one of them to the other rack.
        moved = started[1]
        engine.end(moved, "stopped")
        other = next(w for w in engine.core.workers.values() if w.rack not in racks)
        engine.core.plan_run(engine.find_unit("held-1"), [other.worker_id])
        engine.make_durable()
        engine.accept(engine.core.take_starts())


@given("lower work holds the other workers")
def hold_others(context):
    for number in range(2):
        submit(context, f"lower-{number}", make_step(), priority=2, takes_s=10.0)
    assert len(start_now(context)) == 2


def count_stopped(context):
    context.engine.plan()
    placements = [context.engine.find_placement(f"lower-{n}") for n in range(2)]
    return sum(p.phase is Phase.STOPPING for p in placements)


@then("no lower work is stopped")
def check_none_stopped(context):
    assert count_stopped(context) == 0


@then("all lower work is stopped for it")
def check_all_stopped(context):
    assert count_stopped(context) == 2


@when("an urgent gang of 2 whole workers that wants one rack arrives")
def add_gang(context):
    step = make_step(2, 8, gang=True, one_rack=True)
    submit(context, "gang", step, priority=0)


@when('an urgent gang of 2 whole workers of "{owner}" that wants one rack arrives')
def add_owned_gang(context, owner):
    step = make_step(2, 8, gang=True, one_rack=True)
    submit(context, "gang", step, priority=0, owner=owner)


@when("a gang of 3 whole workers that wants one rack arrives")
def add_large_gang(context):
    submit(context, "gang", make_step(3, 8, gang=True, one_rack=True), priority=1)


@then("it is not planned")
def check_not_planned(context):
    context.engine.plan()
    assert context.engine.find_unit("gang").state is UnitState.WAITING


@when("the urgent gang in one rack ends")
def end_held(context):
    context.freed = context.engine.find_placement("held-0").worker_id
    context.engine.end(context.engine.find_placement("held-0"), "done")


def find_racks(context, name):
    engine = context.engine
    engine.plan()
    placements = engine.find_unit(name).placements.values()
    return {engine.core.workers[p.worker_id].rack for p in placements}


@then("it is planned on the workers of that rack")
def check_that_rack(context):
    rack = context.engine.core.workers[context.freed].rack
    assert find_racks(context, "gang") == {rack}


@when("{seconds:f} seconds have passed")
def pass_time(context, seconds):
    context.engine.now += seconds


@then("it is planned on workers of both racks")
def check_both_racks(context):
    assert len(find_racks(context, "gang")) == 2


@given(
    "urgent whole-worker jobs arrived {first:d}, {second:d} and {third:d} seconds ago"
)
def add_aged(context, first, second, third):
    for age in (first, second, third):
        at = context.engine.now - age
        submit(context, f"age-{age}", make_step(), priority=0, at=at, takes_s=2.5)


@given(
    "whole-worker jobs of priority {priority:d} arrived "
    "{first:d}, {second:d} and {third:d} seconds ago"
)
def add_aged_lower(context, priority, first, second, third):
    for age in (first, second, third):
        at = context.engine.now - age
        name = f"age-{age}"
        submit(context, name, make_step(), priority=priority, at=at, takes_s=2.5)


@when("a pass is made")
def make_pass(context):
    start_now(context)


@then("the job that arrived {age:d} seconds ago is planned")
def check_aged(context, age):
    busy = [i for i, j in context.engine.core.jobs.items() if j.units[0].placements]
    assert busy == [f"age-{age}"], busy
    context.busy = busy[0]


@when("that job ends and a pass is made")
def end_aged(context):
    context.engine.end(context.engine.find_placement(context.busy), "done")
    start_now(context)


@given(
    'whole-worker jobs are running: "old" for 8 s, "saving" for 8 s, "young" for 3 s'
)
def add_three(context):
    submit(context, "old", make_step(), priority=1, takes_s=10.0)
    begin_saving(context, 5.0)
    begin_young(context, 3.0)


@given('whole-worker jobs are running: "saving" for 8 s, "young" for 0.4 s')
def add_two(context):
    begin_saving(context, 7.6)
    begin_young(context, 0.4)


def begin_saving(context, seconds):
    submit(context, "saving", make_step(checkpoints=True), priority=1)
    start_now(context)
    context.engine.now += seconds


def begin_young(context, seconds):
    submit(context, "young", make_step(), priority=1)
    start_now(context)
    context.engine.now += seconds


@given("5 whole-worker jobs of 3 s fill the rest")
def fill_rest(context):
    for number in range(5):
        submit(context, f"rest-{number}", make_step(), priority=1)
    start_now(context)
    context.engine.now += 3.0


@given("a gang of 8 whole workers has been running for 8 s")
def add_wide(context):
    submit(context, "wide", make_step(8, 8, gang=True), priority=1, takes_s=10.0)
    start_now(context)
    context.engine.now += 8.0


@when("an urgent job of 1 whole worker arrives")
def add_urgent(context):
    submit(context, "urgent", make_step(), priority=0, takes_s=2.5)
    context.engine.plan()


@when("an urgent job of 1 task with 1 accelerator arrives")
def add_small_urgent(context):
    submit(context, "urgent", make_step(1, 1), priority=0, takes_s=2.5)
    context.engine.plan()


@when('an urgent job of 1 task with 1 accelerator of "{owner}" arrives')
def add_owned_urgent(context, owner):
    submit(context, "urgent", make_step(1, 1), priority=0, takes_s=2.5, owner=owner)
    context.engine.plan()


def list_stopped(context):
    stops = context.engine.core.take_stops(context.engine.now)
    context.stops = stops
    return {p.task.job_id for p in stops}


@then('only "{name}" is stopped for it')
def check_stopped(context, name):
    assert list_stopped(context) == {name}


@then("nothing is stopped for it")
def check_none_stopped(context):
    assert list_stopped(context) == set()


@then("the gang is stopped for it, and it is planned when the capacity is free")
def check_reclaimed(context):
    engine = context.engine
    assert list_stopped(context) == {"wide"}
    for placement in context.stops:
        engine.end(placement, "stopped")
    engine.plan()
    assert engine.find_unit("urgent").state is UnitState.BUSY


@given("a job that {saves} its progress and takes 10 s has worked for 2 s")
def work_some(context, saves):
    submit(context, "leaving", make_step(checkpoints=saves == "saves"), priority=1)
    context.engine.core.run_times["q1", 0] = 10.0
    start_now(context)
    context.engine.now += 2.0


@when("its worker says that it leaves in {seconds:f} s")
def drain_worker(context, seconds):
    engine = context.engine
    worker = engine.core.workers[engine.find_placement("leaving").worker_id]
    entry = dataclasses.replace(worker.entry, draining=True, leaves_in_s=seconds)
    engine.core.register_worker(entry, now=engine.now)
    engine.planner.move_units(engine.now)


@then("the job is not moved")
def check_stays(context):
    assert list_stopped(context) == set()


@then("the job is moved")
def check_leaves(context):
    engine = context.engine
    assert list_stopped(context) == {"leaving"}
    first = context.stops[0].worker_id
    engine.end(context.stops[0], "stopped")
    start_now(context)
    assert engine.find_placement("leaving").worker_id != first


@when("2 jobs have failed on each of {bad:d} workers")
def fail_jobs(context, bad):
    engine = context.engine
    for worker in list(engine.core.workers.values())[:bad]:
        for number in range(2):
            health.record_failure(worker, f"failed-{number}", engine.now)


@then("a new job of each worker's size is placed on {used:d} workers")
def check_used(context, used):
    for number in range(6):
        submit(context, f"new-{number}", make_step(), priority=1)
    assert len({p.worker_id for p in start_now(context)}) == used


class PolicyDriver:
    """Drives an engine in time steps; tasks end after the time they take."""

    STEP_S = 0.05

    def __init__(self, engine: EngineWorld, takes: dict[str, float]) -> None:
        self.engine = engine
        self.takes = takes
        self.began: dict[str, float] = {}

    def run(self, until: float) -> None:
        while self.engine.now < until:
            self.engine.now += self.STEP_S
            self.end_due()
            for placement in self.engine.core.take_stops(self.engine.now):
                self.engine.end(placement, "stopped")
            for placement in self.engine.start_all():
                self.began.setdefault(placement.task.job_id, self.engine.now)
                self.engine.accept([placement])
            self.engine.make_durable()

    def end_due(self) -> None:
        for worker in list(self.engine.core.workers.values()):
            for placement in list(worker.placements.values()):
                takes = self.takes[placement.task.job_id]
                active = placement.phase is Phase.ACTIVE
                if active and self.engine.now - placement.active_at >= takes:
                    self.engine.end(placement, "done")


@when("small tasks of 4 s arrive every 0.25 s, and a gang of 4 whole workers at 5 s")
def stream_small(context):
    engine = context.engine
    takes = {"gang": 5.0}
    context.driver = driver = PolicyDriver(engine, takes)
    begin = engine.now
    for number in itertools.count():
        now = begin + number * 0.25
        if now > begin + 30:
            break
        driver.run(now)
        takes[f"small-{number}"] = 4.0
        submit(context, f"small-{number}", make_step(1, 2), priority=2, takes_s=4.0)
        if number == 20:
            submit(context, "gang", make_step(4, 8, gang=True), priority=1, takes_s=5)
            context.arrived = engine.now


@then("the gang starts within {seconds:d} s of its arrival")
def check_gang_begins(context, seconds):
    began = context.driver.began.get("gang")
    assert began is not None
    assert began - context.arrived < seconds, began - context.arrived


@then("small tasks go on being started after it")
def check_small_after(context):
    began = context.driver.began
    assert any(t > began["gang"] + 5 for i, t in began.items() if i != "gang")


@when("{count:d} jobs of 1 task with 1 accelerator arrive")
def add_small(context, count):
    for number in range(count):
        submit(context, f"small-{number}", make_step(1, 1), priority=2)
    context.started = start_now(context)


@then("they are placed on {count:d} workers")
def check_packed(context, count):
    assert len({p.worker_id for p in context.started}) == count


@when(
    "heavy and small jobs for twice the capacity arrive, and an urgent gang each second"
)
def burst(context):
    engine = context.engine
    takes: dict[str, float] = {}
    context.driver = driver = PolicyDriver(engine, takes)
    for number in range(16):
        takes[f"heavy-{number}"] = 8.0
        step = make_step(2, 4, gang=True, one_rack=True, checkpoints=number % 2 == 0)
        submit(context, f"heavy-{number}", step, priority=1, takes_s=8.0)
    for number in range(60):
        takes[f"small-{number}"] = 6.0
        submit(context, f"small-{number}", make_step(1, 1), priority=2, takes_s=6.0)
    context.urgent = {}
    for number in range(15):
        driver.run(engine.now + 1.0)
        name = f"urgent-{number}"
        takes[name] = 2.5
        context.urgent[name] = engine.now
        step = make_step(3, 2, gang=True, one_rack=True)
        submit(context, name, step, priority=0, takes_s=2.5)
    driver.run(engine.now + 90.0)


@then("9 in 10 urgent gangs start within 1 s")
def check_urgent(context):
    began = context.driver.began
    waits = sorted(began[i] - at for i, at in context.urgent.items())
    assert waits[int(len(waits) * 0.9) - 1] < 1.0, waits


@then("all jobs end at last")
def check_all_end(context):
    open_jobs = [i for i, j in context.engine.core.jobs.items() if not j.terminal]
    assert not open_jobs, open_jobs
