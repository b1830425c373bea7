import dataclasses
import random

from behave import given, then, when
from hypothesis import HealthCheck, assume, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

from features.support.jobs_world import World, make_machines
from firladder._internal.exceptions import GuaranteesDoNotFit
from firladder._internal.models.configuration import Cell, Organisation
from firladder._internal.policies.cell_packing import place_cells
from firladder._internal.policies.cells import find_degraded

NAMES = ("alpin", "berg", "civic")
SIZES = (1, 2, 3, 4, 6, 8, 16, 24, 32)


def make_shapes(cells: dict[str, list[int]]) -> dict[str, Organisation]:
    return {
        name: Organisation(
            shape=tuple(Cell(failure_domain="d", accelerators=a) for a in sizes)
        )
        for name, sizes in cells.items()
    }


class GuaranteeCheck:
    """Checks on the policy alone that any idle cell can be claimed at once."""

    def __init__(self) -> None:
        self.examples = 0
        self.probes = 0

    def run(self) -> None:
        shapes = st.dictionaries(
            st.sampled_from(NAMES), st.lists(st.sampled_from(SIZES), max_size=4)
        )

        @settings(
            max_examples=60,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        @given_any(shapes, st.integers(1, 2), st.integers(0, 2**32))
        def check(cells, racks, seed):
            machines = make_machines(racks=racks, workers=4)
            organisations = {**make_shapes(cells), "daily": Organisation()}
            fits = place_cells(organisations, machines, "d")
            assume(not isinstance(fits, GuaranteesDoNotFit))
            self.examples += 1
            self.live(World(machines, organisations), random.Random(seed))

        check()

    def live(self, world: World, rng: random.Random) -> None:
        for _ in range(12):
            for _ in range(rng.randrange(1, 6)):
                world.submit(
                    rng.choice((*NAMES, "daily")),
                    members=rng.choice((1, 1, 1, 2, 3)),
                    accelerators=rng.choice((1, 2, 4, 8)),
                    checkpointable=rng.random() < 0.5,
                )
            world.settle()
            self.probe(world)
            for job in [j for j in world.running if rng.random() < 0.3]:
                world.end(job)

    def probe(self, world: World) -> None:
        for name, size in world.list_idle_cells():
            self.probes += 1
            victims = world.claim(name, size)
            assert all(not gang.cell for gang in victims), (name, size, victims)


@when("random jobs of organisations with random shapes come and go")
def run_random(context):
    context.check = GuaranteeCheck()
    context.check.run()


@then("every idle cell could be claimed at every moment by preempting borrowers alone")
def check_probes(context):
    assert context.check.examples >= 20, context.check.examples
    assert context.check.probes >= 200, context.check.probes


@given("jobs-world workers in racks of {workers:d}")
def make_world(context, workers):
    context.machines = make_machines(racks=1, workers=workers)


@when("guarantees of one cell of {size:d} accelerators are checked")
def check_one(context, size):
    context.fits = place_cells(make_shapes({"alpin": [size]}), context.machines, "d")


@when("guarantees of four cells of 3 and one cell of 5 accelerators are checked")
def check_odd(context):
    shapes = make_shapes({"alpin": [3, 3, 3, 3], "berg": [5]})
    context.fits = place_cells(shapes, context.machines, "d")


@then("the jobs-world guarantees do not fit")
def check_misfit(context):
    assert isinstance(context.fits, GuaranteesDoNotFit), context.fits


@when("one worker is gone that a cell of 16 accelerators needs")
def lose_worker(context):
    world = World(context.machines, make_shapes({"alpin": [16], "berg": []}))
    assert not find_degraded(world.view())
    world.organisations = make_shapes({"alpin": [16], "berg": [4]})
    view = world.view()
    gone = dataclasses.replace(view.workers[0], usable=False)
    context.degraded = find_degraded(
        dataclasses.replace(view, workers=(gone, *view.workers[1:]))
    )


@then("only the guarantee of that cell is degraded")
def check_degraded(context):
    assert list(context.degraded) == ["alpin"], context.degraded
