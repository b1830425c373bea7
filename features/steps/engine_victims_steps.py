import dataclasses
import random

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.preemption import count_cores, estimate_loss
from firladder._internal.engine.state import JobState, Phase
from firladder._internal.models.workload import Organisation

STEP_S = 0.1
HEAVY_S = 6.0
BURST_PAUSES_S = (2.0, 5.0)
GIVE_UP_S = 400.0


class UrgentStream:
    """A world in which bursts of urgent jobs use all of a guarantee, without end."""

    def __init__(self, seed, guaranteed, workers, heavy, sizes):
        self.rng = random.Random(seed)
        self.world = EngineWorld(workers)
        self.began = self.world.now
        core = self.world.core
        owner = Organisation("owner", frozenset(), guaranteed * 8)
        core.configuration = dataclasses.replace(
            core.configuration, organisations=(owner,)
        )
        core.run_times.update({("q0", 0): 1.5, ("q1", 0): HEAVY_S})
        self.guaranteed, self.urgent = guaranteed, 0
        self.next_burst_at = self.began
        self.heavy = [f"heavy-{n}" for n in range(heavy)]
        for name in self.heavy:
            step = make_step(self.rng.randint(*sizes), gang=True)
            self.world.submit(make_job(name, step, at=self.world.now))

    def list_live(self):
        jobs = self.world.core.jobs.values()
        return [j for j in jobs if j.accepted.priority == 0 and not j.terminal]

    def submit_urgent(self):
        if self.world.now < self.next_burst_at:
            return
        self.next_burst_at = self.world.now + self.rng.uniform(*BURST_PAUSES_S)
        while len(self.list_live()) < self.guaranteed:
            self.urgent += 1
            job = make_job(
                f"urgent-{self.urgent}", make_step(), priority=0, at=self.world.now
            )
            self.world.submit(
                dataclasses.replace(job, organisation="owner", stretch=1.5, slo_s=0.25)
            )

    def end_runs(self):
        world = self.world
        for worker in list(world.core.workers.values()):
            for placement in list(worker.placements.values()):
                if placement.key not in worker.placements:
                    continue
                urgent = placement.unit.job.accepted.priority == 0
                takes_s = self.rng.uniform(0.5, 2.5) if urgent else HEAVY_S
                if placement.phase is Phase.STOPPING:
                    world.end(placement, "stopped")
                elif placement.is_active and (
                    world.now - placement.unit.active_since >= takes_s
                ):
                    world.end(placement, "done")

    def measure(self):
        """Return the seconds until the last gang has ended."""
        world = self.world
        while world.now - self.began < GIVE_UP_S:
            self.submit_urgent()
            world.accept(world.start_all())
            world.core.take_stops(world.now)
            world.now += STEP_S
            self.end_runs()
            jobs = [world.core.jobs[name] for name in self.heavy]
            if all(job.state is JobState.COMPLETED for job in jobs):
                break
        return world.now - self.began


@when(
    "bursts of urgent work use {used:d} of {workers:d} workers, beside "
    "{heavy:d} heavy gangs of {least:d} to {most:d} workers"
)
def play_stream(context, used, workers, heavy, least, most):
    context.measure = lambda seed: UrgentStream(
        seed, used, workers, heavy, (least, most)
    ).measure()


@then("with each of {count:d} seeds all gangs have ended within {limit:d} s")
def check_ended(context, count, limit):
    took = [round(context.measure(seed)) for seed in range(count)]
    assert max(took) <= limit, took


@given("a gang that lost a run of {one:d} s, and one that lost a run of {other:d} s")
def lose_runs(context, one, other):
    world = context.world = EngineWorld(2)
    context.names = ["first", "second"]
    for name, seconds in zip(context.names, (one, other), strict=True):
        world.submit(make_job(name, make_step(gang=True), at=world.now))
        world.accept(world.start_all())
        world.now += seconds
        unit = world.find_unit(name)
        world.planner._stop(unit, world.now)
        world.core.take_stops(world.now)
        world.end(world.find_placement(name), "stopped")
        unit.backoff_until = world.now + 100.0


@when("both have run for {seconds:d} s")
def run_again(context, seconds):
    world = context.world
    for name in context.names:
        world.find_unit(name).backoff_until = 0.0
    world.accept(world.start_all())
    world.now += seconds


@then("stopping the first costs at least {seconds:d} s of its cores more")
def check_cost(context, seconds):
    world = context.world
    units = [world.find_unit(name) for name in context.names]
    first, second = (estimate_loss(u, world.now, restart_s=0.3) for u in units)
    least = seconds * count_cores(units[0].step.need)
    assert first - second >= least - 1.0, (first, second, least)


@given("{count:d} workers full of lower tasks of 1 accelerator")
def fill_workers(context, count):
    context.engine = engine = EngineWorld(count)
    engine.submit(make_job("lower", make_step(8 * count, 1), priority=2))
    engine.accept(engine.start_all())


@when(
    "an urgent job of {count:d} single tasks comes, of which a worker may have 1 at a"
    " time"
)
def submit_limited(context, count):
    step = make_step(count, 1, most_per_worker=1)
    context.engine.submit(make_job("urgent", step, priority=0, at=context.engine.now))
    context.stopped = 0
    start_urgent(context)


def start_urgent(context):
    """Carry out stops and starts for a few passes; keep what started."""
    engine = context.engine
    context.started = []
    for _ in range(6):
        engine.now += 0.1
        started = engine.start_all()
        urgent = [p for p in started if p.task.job_id == "urgent"]
        engine.accept(urgent)
        context.started += urgent
        for placement in engine.core.take_stops(engine.now):
            engine.end(placement, "stopped")
            context.stopped += 1


@then("each worker gets 1 of them, and no work is stopped for the others")
def check_limited(context):
    check_others(context)
    assert context.stopped == 2, context.stopped


@when("these are done")
def end_urgent(context):
    for placement in context.started:
        context.engine.end(placement, "done")
    start_urgent(context)


@then("each worker gets 1 of the others")
def check_others(context):
    found = sorted(p.worker_id for p in context.started)
    assert found == ["w0", "w1"], found
