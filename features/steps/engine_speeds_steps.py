import dataclasses
import itertools
import math
import random

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.models.order import EndedTask, RunningTask

POLL_INTERVAL_S = 0.5
SPREAD = 0.15
DECLARED_ERROR = 0.2


class PacedWorld:
    """Workers of different speeds under a steady load, polled twice a second."""

    def __init__(self, factors):
        self.rng = random.Random(5)
        self.engine = EngineWorld(len(factors), per_rack=len(factors))
        self.factors = dict(zip(self.engine.core.workers, factors, strict=True))
        self.running = {}
        self.names = itertools.count()
        self.ends = {w: itertools.count(1) for w in self.factors}

    def run(self, seconds, *, runs_s=4.0, width=6, declared=None):
        """Keep the workers busy; ``declared`` draws declared time over run time."""
        declared = declared or (lambda: 1 + self.rng.uniform(-1, 1) * DECLARED_ERROR)
        until = self.engine.now + seconds
        while self.engine.now < until:
            if len(self.running) < 2 * len(self.factors):
                self.submit(width, runs_s, declared())
            self.step()

    def submit(self, width, runs_s, declared_factor):
        step = make_step(width, 2, most_per_worker=1)
        step = dataclasses.replace(step, estimate_s=runs_s * declared_factor)
        name = f"job-{next(self.names)}"
        self.runs_s = runs_s
        self.engine.submit(make_job(name, step, priority=1, at=self.engine.now))

    def step(self):
        engine = self.engine
        for placement in engine.start_all():
            engine.accept([placement])
            takes = self.runs_s * (1 + self.rng.uniform(-1, 1) * SPREAD)
            self.running[placement.key] = [placement, 0.0, takes]
        engine.now += POLL_INTERVAL_S
        for worker_id in self.factors:
            self.poll(worker_id)

    def poll(self, worker_id):
        rows, ended = [], []
        for key, row in list(self.running.items()):
            placement, done_s, takes_s = row
            if placement.worker_id != worker_id:
                continue
            row[1] = done_s = done_s + POLL_INTERVAL_S / self.factors[worker_id]
            if done_s >= takes_s:
                del self.running[key]
                number = next(self.ends[worker_id])
                ended.append(
                    EndedTask(number, placement.task, placement.run, "done", "")
                )
                continue
            percent = int(100 * done_s / takes_s)
            rows.append(RunningTask(placement.task, placement.run, "", percent))
        worker = self.engine.core.workers[worker_id]
        self.engine.report(worker, rows, ended)

    def finish(self):
        """Let all running tasks end."""
        while self.running:
            self.step()

    def find(self, worker_id):
        return self.engine.core.profiles.find(worker_id, self.engine.now).slowness


@given("{count:d} workers that take {a:f}, {b:f} and {c:f} times as long by turns")
def make_workers(context, count, a, b, c):
    factors = list(itertools.islice(itertools.cycle((a, b, c)), count))
    context.world = PacedWorld(factors)


@given("jobs of {width:d} tasks of {takes:d} s have run on them for {seconds:d} s")
@when("jobs of {width:d} tasks of {takes:d} s run on them for {seconds:d} s")
def run_jobs(context, width, takes, seconds):
    context.world.run(seconds, runs_s=takes, width=width)


@when(
    "jobs of {width:d} tasks of {takes:d} s run on them for {seconds:d} s, declared "
    "tenfold off"
)
def run_misdeclared(context, width, takes, seconds):
    rng = random.Random(9)
    context.world.run(
        seconds, runs_s=takes, width=width, declared=lambda: rng.uniform(0.1, 1.9)
    )


@then("each slow worker is known to be slower than each fast one")
def check_order(context):
    world = context.world
    fast = [world.find(w) for w, f in world.factors.items() if f < 1]
    slow = [world.find(w) for w, f in world.factors.items() if f > 1]
    assert max(fast) < min(slow), (fast, slow)


@then("no worker is taken to be off by more than a fifth")
def check_alike(context):
    found = [context.world.find(w) for w in context.world.factors]
    usual = math.exp(sum(map(math.log, found)) / len(found))
    assert all(1 / 1.2 < f / usual < 1.2 for f in found), found


@when("worker {number:d} takes {factor:f} times as long for {seconds:d} s")
def slow_down(context, number, factor, seconds):
    context.slowed = f"w{number}"
    context.world.factors[context.slowed] *= factor
    context.factor = factor
    context.world.run(seconds)


@when("it takes as long as before for {seconds:d} s")
def speed_up(context, seconds):
    context.world.factors[context.slowed] /= context.factor
    context.world.run(seconds)


@then("worker {number:d} is taken to be the slowest")
def check_slowest(context, number):
    world = context.world
    assert max(world.factors, key=world.find) == f"w{number}"


@then("worker {number:d} is taken to be off by less than a fourth")
def check_normal(context, number):
    world = context.world
    found = [world.find(w) for w in world.factors]
    usual = math.exp(sum(map(math.log, found)) / len(found))
    assert world.find(f"w{number}") / usual < 1.25, found


@given("all of them have ended")
def finish(context):
    context.world.finish()


@when("an urgent gang of 3 whole workers arrives")
def add_gang(context):
    engine = context.world.engine
    step = make_step(3, 8, gang=True)
    engine.submit(make_job("gang", step, priority=0, at=engine.now))


@then("it is planned on the 3 fast workers")
def check_fast(context):
    engine = context.world.engine
    engine.plan()
    chosen = {p.worker_id for p in engine.find_unit("gang").placements.values()}
    fast = {w for w, f in context.world.factors.items() if f < 1}
    assert chosen == fast, (chosen, fast)


@when("2 small jobs that are not urgent arrive")
def add_small(context):
    engine = context.world.engine
    for name in ("small-0", "small-1"):
        engine.submit(make_job(name, make_step(1, 1), priority=2, at=engine.now))


@then("they share a worker")
def check_shared(context):
    engine = context.world.engine
    engine.plan()
    chosen = [engine.find_placement(f"small-{n}").worker_id for n in range(2)]
    assert chosen[0] == chosen[1], chosen
