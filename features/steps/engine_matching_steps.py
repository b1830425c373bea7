import collections
import dataclasses
import random

from behave import given, then, when

from features.support.engine_world import (
    EngineWorld,
    draw_job,
    make_entry,
    make_job,
    make_step,
)
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.profiles import Profiles, WorkerProfile
from firladder._internal.engine.state import Phase
from firladder._internal.engine.strategies import StrategyNames

RUN_S = 4.0


class FixedProfiles(Profiles):
    """Profiles that do not change."""

    def __init__(self, profiles) -> None:
        super().__init__(lambda what, **inputs: None)
        self.profiles = profiles

    def find(self, worker_id, now):
        return self.profiles[worker_id]

    def find_lasting(self, worker_id):
        return self.profiles[worker_id]


class BestFitPlanner(Planner):
    strategy_names = StrategyNames(fit="best_fit")


def play_load(seed, planner):
    """Return all decisions on a random load; the random numbers do not depend on it."""
    rng, decisions = random.Random(seed), []
    world = EngineWorld(12, per_rack=rng.choice([2, 3, 4]))
    world.core.note = lambda what, **inputs: decisions.append((what, inputs))
    world.planner = planner(world.core, reclaim_s=2.7, restart_s=0.3)
    equal = WorkerProfile(rng.choice([1.0, 1.3]), rng.choice([0.0, 0.2]), True)
    world.core.profiles = FixedProfiles(
        {e.worker_id: rng.choice([equal, WorkerProfile()]) for e in world.entries}
        if equal.slowness == 1.0 and not equal.spread
        else {e.worker_id: equal for e in world.entries}
    )
    for number in range(120):
        if rng.random() < 0.4:
            world.submit(draw_job(rng, number, world.now))
        world.now += rng.random()
        world.accept(world.start_all())
        busy = [p for w in world.core.workers.values() for p in w.placements.values()]
        draw, share = rng.random(), rng.random()
        if busy and draw < 0.7:
            placement = busy[int(share * len(busy))]
            stopping = placement.phase is Phase.STOPPING
            world.end(placement, "stopped" if stopping else "done")
    return decisions


@when("{count:d} random loads are played on equal and unknown workers by both fits")
def play_loads(context, count):
    context.decisions = [
        [play_load(seed, planner) for planner in (Planner, BestFitPlanner)]
        for seed in range(count)
    ]


@then("all decisions are the same, and there are at least {count:d}")
def check_same_decisions(context, count):
    for seed, (ours, former) in enumerate(context.decisions):
        assert ours == former, seed
    assert sum(len(ours) for ours, _ in context.decisions) >= count


def read_profile(text):
    slowness, *doubtful = text.split()
    doubt = 0.5 if doubtful else 0.0
    if slowness == "unknown":
        return WorkerProfile(doubt=doubt)
    return WorkerProfile(float(slowness), 0.0, True, doubt)


def make_world(context, racks):
    world = context.world = EngineWorld(0)
    context.names, profiles = {}, {}
    for rack, row in enumerate(racks):
        for name in row.split(", "):
            entry = make_entry(len(profiles))
            entry = dataclasses.replace(entry, rack=f"r{rack}")
            context.names[entry.worker_id] = name
            profiles[entry.worker_id] = read_profile(name)
            world.entries.append(entry)
            world.claim(world.core.register_worker(entry, now=world.now))
    world.core.profiles = FixedProfiles(profiles)
    world.core.run_times.update({(f"q{n}", 0): RUN_S for n in range(3)})
    # An urgent job that is over tells the objective of its queue.
    submit(context, "model", make_step(), priority=0, stretch=1.5)
    world.core.cancel_job("model")


def submit(context, name, step, *, priority, stretch):
    job = make_job(name, step, priority=priority, at=context.world.now)
    context.world.submit(dataclasses.replace(job, stretch=stretch, slo_s=0.15))
    return name


@given("workers with the slowness {row}")
def make_pool(context, row):
    make_world(context, [row])


@given("racks of workers with the slowness {one} and {other}")
def make_racks(context, one, other):
    make_world(context, [one, other])


@given("a job with slack has run on the worker with {name} for {seconds:f} s")
def run_before(context, name, seconds):
    world = context.world
    submit(context, "before", make_step(), priority=2, stretch=3.0)
    worker_id = next(i for i, n in context.names.items() if n == name)
    world.core.plan_run(world.find_unit("before"), [worker_id])
    world.make_durable()
    world.accept(world.core.take_starts())
    world.now += seconds


@when(
    "a job of {priority:d} with an objective of {stretch:f} times its run time arrives"
)
def arrive(context, priority, stretch):
    submit(context, "job", make_step(), priority=priority, stretch=stretch)
    context.world.plan()


@when("a job of {count:d} tasks with 1 accelerator and slack arrives")
def arrive_step(context, count):
    submit(context, "job", make_step(count, 1), priority=2, stretch=3.0)
    context.world.plan()


@when("a gang of urgent work asks for {count:d} whole workers of one rack")
def arrive_gang(context, count):
    step = make_step(count, gang=True, one_rack=True)
    submit(context, "job", step, priority=0, stretch=1.5)
    context.world.plan()


def list_places(context):
    units = context.world.core.jobs["job"].units
    return [context.names[p.worker_id] for u in units for p in u.placements.values()]


@then("it is placed on the worker with {name}")
@then("it is placed at once on {name}")
def check_place(context, name):
    assert list_places(context) == [name], list_places(context)


@then("it is placed on workers with {one} and {other}")
def check_places(context, one, other):
    assert sorted(list_places(context)) == sorted([one, other]), list_places(context)


@then("its tasks are on {name} {count:d} times and on each unknown worker once")
def check_spread(context, name, count):
    units = context.world.core.jobs["job"].units
    used = collections.Counter(
        p.worker_id for u in units for p in u.placements.values()
    )
    found = sorted((context.names[w], n) for w, n in used.items())
    assert found == [(name, count), ("unknown", 1), ("unknown", 1)], found


@then("it is given room on {name}")
def check_room(context, name):
    assert not list_places(context)
    stopped = context.world.find_placement("before")
    assert stopped.phase is Phase.STOPPING
    assert context.names[stopped.worker_id] == name
