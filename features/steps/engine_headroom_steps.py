import itertools
import random

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from features.support.engine_world import make_step
from features.support.headroom_world import (
    HeadroomWorld,
    LearnedPlanner,
    NoHeadroomPlanner,
    play_history,
)
from firladder._internal.engine.headroom import MAX_SHARE
from firladder._internal.engine.profiles import WorkerProfile

HISTORIES = {
    "lower work on a full pool": {"urgent": False, "load": 2.0},
    "urgent and lower work on a pool half full": {"urgent": True, "load": 0.3},
}


@given("{racks:d} racks of 4 workers")
def make_pool(context, racks):
    context.world = HeadroomWorld(racks * 4)


@given("4 racks of 4 workers where urgent gangs of 1 worker arrived 4 times a second")
def make_burst(context):
    make_pool(context, 4)
    for _ in range(12):
        context.world.add_urgent()
        context.world.run(0.25)


@given("headroom is turned off")
def turn_off(context):
    context.world.use(NoHeadroomPlanner)


@given("the workers of the first rack take twice the usual time")
def slow_down(context):
    profiles = context.world.core.profiles
    slow = WorkerProfile(slowness=2.0, measured=True)
    find = profiles.find
    first = {f"w{n}" for n in range(4)}
    profiles.find = lambda w, now: slow if w in first else find(w, now)


def fill(context, share, **fields):
    step = make_step(int(share * 128), 1)
    context.world.add(step, priority=2, **fields)
    context.world.step()


@when("lower work for twice the pool arrives")
def fill_twice(context):
    fill(context, 2)


@when("lower work for the whole pool arrives that must start now to be in time")
def fill_due(context):
    fill(context, 1, stretch=1.0, slo_s=0.5)


@when("{seconds:f} seconds pass without urgent work")
def wait(context, seconds):
    context.world.run(seconds)


@then("{count:d} whole workers of one rack are left free")
def check_free(context, count):
    idle = context.world.list_idle()
    assert len(idle) == count, idle
    assert len({w.rack for w in idle}) <= 1, idle


@then("an urgent gang of 2 whole workers that wants one rack starts without a stop")
def check_starts(context):
    name = context.world.add_urgent(2)
    context.world.step()
    assert name in context.world.began
    assert not any(what == "room made" for _, what, _ in context.world.notes)


@when(
    "urgent gangs of 1 worker arrive 4 times a second beside heavy gangs of 8 workers"
)
def mix(context):
    world = context.world
    context.heavy, context.held = {}, []
    for number in range(160):
        world.add_urgent()
        if number % 20 == 0 and number < 80:
            gang = make_step(8, 8, gang=True, checkpoints=True)
            context.heavy[world.add(gang, priority=1)] = world.now
        for _ in range(5):
            world.step()
            by_id = world.planner._view.by_id
            context.held.append([by_id[w].free.accelerators for w in world.held])


@then("at most 15% of the pool is ever held")
def check_bound(context):
    assert 0 < max(map(sum, context.held)) <= MAX_SHARE * 64


@then("each heavy gang was held back for less than its objective")
def check_held_back(context):
    world = context.world
    units = [world.find_unit(name) for name in context.heavy]
    assert all(name in world.began for name in context.heavy), world.began
    world.planner._strategies.headroom.begin_pass([], None, world.now, world.now)
    for unit in units:
        unit.ready_at = world.now - 13.0  # Its objective: 3 x 4 s + 1 s.
        pool = world.planner._view.list_pool("pool")
        assert not world.headroom.list_held(unit, "pool", pool)


@then("no worker of the first rack is held")
def check_not_held(context):
    held = context.world.held
    assert held
    assert not held & {f"w{n}" for n in range(4)}, held


@then(
    '"headroom kept" and "headroom released" are noted with their inputs, '
    "a second or more apart"
)
def check_notes(context):
    notes = [row for row in context.world.notes if row[1].startswith("headroom")]
    whats = [what for _, what, _ in notes]
    assert whats[0] == "headroom kept", whats
    assert whats.index("headroom released") == len(whats) - 1, whats
    for _, _, inputs in notes:
        assert set(inputs) == {"pool", "wanted", "free", "workers", "urgent_per_s"}
    assert all(b[0] - a[0] >= 1.0 for a, b in itertools.pairwise(notes)), notes


@when("{count:d} drawn histories have {load}")
def draw(context, count, load):
    context.compared = 0

    @settings(max_examples=count, deadline=None, database=None, derandomize=True)
    @given_any(st.integers(0, 1 << 30))
    def compare(seed):
        first, second = (
            play_history(planner, random.Random(seed), **HISTORIES[load])
            for planner in (LearnedPlanner, NoHeadroomPlanner)
        )
        assert first == second
        context.compared += len(first)

    compare()


@then("each history gives the same placements with headroom and without")
def check_compared(context):
    assert context.compared > 0
