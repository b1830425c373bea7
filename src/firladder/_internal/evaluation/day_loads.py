"""Seeded days of steps of tasks, for the scheduling core without a network.

The figures follow the users' sheets of the larger deployments: three kinds of work,
workers in racks, organisations with a guarantee, and a pool that lower work has filled
before urgent work comes.
"""

import dataclasses
import itertools
import random
import statistics
from collections.abc import Callable, Iterator, Mapping

from ..models.workload import (
    AcceptedJob,
    Organisation,
    Queue,
    QueueConfiguration,
    Resources,
    Step,
    WorkerEntry,
    Workload,
)
from ..policies.registry import Registry

POOL = "pool"
GUARANTEED_SHARE = 0.62
"""Share of all accelerators that is guaranteed to some organisation."""

BASE_WEIGHT = 0.3
MOST_WEIGHT = 4.0
"""A job's worth is its kind's, times a base and the rest by its work, up to a bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work. Times in seconds; ``late_worth`` is what a late job is worth.

    ``width`` is the mean number of tasks, ``one_rack`` and ``saves`` the shares of
    jobs that want one rack and that save their progress, ``filled`` the jobs that are
    there when the day begins.
    """

    name: str
    priority: int
    per_s: float
    width: float
    most: int
    runs_s: float
    cores: float
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: bool
    one_rack: float
    saves: float
    stretch: float
    slo_s: float
    worth: float
    late_worth: float
    filled: int


URGENT = Kind(
    name="urgent",
    priority=0,
    per_s=5.5,
    width=4.7,
    most=28,
    runs_s=2.5,
    cores=7.5,
    memory_mb=22_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.8,
    saves=0.0,
    stretch=1.5,
    slo_s=0.25,
    worth=4.0,
    late_worth=0.8,
    filled=0,
)
HEAVY = Kind(
    name="heavy",
    priority=1,
    per_s=1.2,
    width=10.0,
    most=60,
    runs_s=11.0,
    cores=26.0,
    memory_mb=75_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.6,
    saves=0.45,
    stretch=3.0,
    slo_s=1.0,
    worth=3.0,
    late_worth=0.9,
    filled=23,
)
SMALL = Kind(
    name="small",
    priority=2,
    per_s=1.46,
    width=30.0,
    most=180,
    runs_s=7.6,
    cores=5.6,
    memory_mb=16_000,
    accelerators=(1,),
    gang=False,
    one_rack=0.0,
    saves=0.45,
    stretch=3.0,
    slo_s=3.0,
    worth=1.0,
    late_worth=0.3,
    filled=27,
)


NARROW_URGENT = dataclasses.replace(
    URGENT, width=5.3, most=32, cores=3.7, memory_mb=9_800
)
NARROW_HEAVY = dataclasses.replace(
    HEAVY,
    per_s=1.38,
    width=13.0,
    most=76,
    cores=13.0,
    memory_mb=34_000,
    late_worth=0.3,
    filled=27,
)
NARROW_SMALL = dataclasses.replace(
    SMALL,
    per_s=1.69,
    width=38.0,
    most=230,
    cores=2.8,
    memory_mb=7_400,
    late_worth=0.1,
    filled=31,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plant:
    """The workers of a deployment, and the kinds of work that they are there for.

    ``paces`` are drawn from for each worker: how many times as long a task takes.
    ``by_work`` tells that a job is worth the more, the larger it is.
    """

    kinds: tuple[Kind, ...]
    workers: int
    rack_workers: int
    capacity: Resources
    organisations: int
    paces: tuple[float, ...] = (1.0,)
    by_work: bool = False


WIDE_RACKS = Plant(
    kinds=(URGENT, HEAVY, SMALL),
    workers=176,
    rack_workers=12,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
)
NARROW_RACKS = Plant(
    kinds=(NARROW_URGENT, NARROW_HEAVY, NARROW_SMALL),
    workers=270,
    rack_workers=8,
    capacity=Resources(32_000, 65_536, 8),
    organisations=24,
    paces=(1.0, 1.0, 1.3),
    by_work=True,
)


@dataclasses.dataclass(frozen=True, slots=True)
class DayJob:
    """A job of a day, the seconds that it runs, and the kind that it is of.

    ``weight`` is what it is worth as a multiple of its kind's worth.
    """

    accepted: AcceptedJob
    kind: Kind
    runs_s: float
    weight: float = 1.0

    @property
    def objective_s(self) -> float:
        """Return within what time the job should be done, in seconds."""
        return self.kind.stretch * self.runs_s + self.kind.slo_s


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Workers, jobs in the order of their arrival, and workers that go at a time.

    ``paces`` tells how many times as long a task takes on workers that are slow.
    """

    workers: tuple[WorkerEntry, ...]
    configuration: QueueConfiguration
    jobs: tuple[DayJob, ...]
    lost: tuple[tuple[float, str], ...] = ()
    paces: Mapping[str, float] = dataclasses.field(default_factory=dict)


DAYS: Registry[Callable[[int], Day]] = Registry("day")
"""Each makes a day from a seed."""


@DAYS.register("steady")
def make_steady(seed: int) -> Day:
    """Return a day on which the pool holds all that comes."""
    return _make_day(seed, WIDE_RACKS, burst=1.0, filled=0.5)


@DAYS.register("urgent_burst")
def make_urgent_burst(seed: int) -> Day:
    """Return a day that begins full, with a burst of urgent work at once."""
    return _make_day(seed, WIDE_RACKS, factor=1.2, burst=2.2)


@DAYS.register("small_pool")
def make_small_pool(seed: int) -> Day:
    """Return a day of a pool of four racks, with a burst of urgent work."""
    plant = dataclasses.replace(WIDE_RACKS, workers=48)
    return _make_day(seed, plant, factor=0.28, burst=2.0, filled=0.28)


@DAYS.register("workers_lost")
def make_workers_lost(seed: int) -> Day:
    """Return a full day on which one worker in ten goes without notice."""
    day = _make_day(seed, WIDE_RACKS, burst=1.5)
    rng = random.Random(seed)
    gone = rng.sample([w.worker_id for w in day.workers], len(day.workers) // 10)
    return dataclasses.replace(day, lost=tuple((8.0, worker) for worker in gone))


@DAYS.register("overload")
def make_overload(seed: int) -> Day:
    """Return a day of a large pool with more lower work than it holds, all day long."""
    return _make_day(seed, NARROW_RACKS, burst=2.2)


@DAYS.register("small_overload")
def make_small_overload(seed: int) -> Day:
    """Return the same for a pool of ten racks."""
    plant = dataclasses.replace(NARROW_RACKS, workers=80)
    return _make_day(seed, plant, factor=0.3, burst=2.2, filled=0.3)


DAY_S = 30.0
BURST_S = 6.0
FILLED_AT_S = -8.0


def _make_day(
    seed: int, plant: Plant, *, factor: float = 1.0, burst: float, filled: float = 1.0
) -> Day:
    rng = random.Random(seed)
    numbers = itertools.count(1)
    entries = tuple(_make_worker(plant, number) for number in range(plant.workers))
    urgent, *lower = plant.kinds
    jobs = [
        _draw_job(rng, plant, kind, FILLED_AT_S + rng.random(), next(numbers))
        for kind in lower
        for _ in range(round(kind.filled * filled))
    ]
    jobs += [
        _draw_job(rng, plant, kind, at, next(numbers))
        for kind in plant.kinds
        for at in _draw_times(rng, kind.per_s * factor, burst if kind is urgent else 1)
    ]
    total = sum(entry.capacity.accelerators for entry in entries)
    share = int(total * GUARANTEED_SHARE / plant.organisations)
    owners = tuple(
        Organisation(f"organisation-{n}", frozenset(), share)
        for n in range(plant.organisations)
    )
    queues = tuple(
        Queue(kind.name, "", f"/{kind.name}/", POOL, priority=kind.priority)
        for kind in plant.kinds
    )
    return Day(
        entries,
        QueueConfiguration(1, queues, organisations=owners),
        tuple(sorted(jobs, key=lambda job: job.accepted.accepted_at_s)),
        paces={entry.worker_id: rng.choice(plant.paces) for entry in entries},
    )


def _draw_times(rng: random.Random, per_s: float, burst: float) -> Iterator[float]:
    at = 0.0
    while True:
        at += rng.expovariate(per_s * (burst if at < BURST_S else 1.0))
        if at >= DAY_S:
            return
        yield at


def _make_worker(plant: Plant, number: int) -> WorkerEntry:
    rack = f"r1-{number // plant.rack_workers:02d}"
    name = f"w{number:03d}"
    return WorkerEntry(name, "", POOL, "", plant.capacity, frozenset(), rack)


def _draw_job(
    rng: random.Random, plant: Plant, kind: Kind, at: float, number: int
) -> DayJob:
    accelerators = rng.choice(kind.accelerators)
    step = Step(
        count=min(kind.most, max(1, round(rng.expovariate(1 / kind.width)))),
        need=Resources(round(kind.cores * 1000), kind.memory_mb, accelerators),
        estimate_s=kind.runs_s * rng.uniform(0.5, 2.0),
        checkpoints=rng.random() < kind.saves,
        gang=kind.gang,
        one_rack=rng.random() < kind.one_rack,
    )
    accepted = AcceptedJob(
        f"{number:016x}",
        kind.name,
        f"organisation-{rng.randrange(plant.organisations)}",
        POOL,
        kind.priority,
        3,
        kind.stretch,
        kind.slo_s,
        at,
        Workload("", (step,)),
    )
    runs_s = kind.runs_s * rng.uniform(0.7, 1.3)
    weight = _weigh(kind, step, runs_s) if plant.by_work else 1.0
    return DayJob(accepted, kind, runs_s, weight)


def _weigh(kind: Kind, step: Step, runs_s: float) -> float:
    """Return a job's worth, as a multiple of its kind's: by its work, within bounds."""
    work = step.count * step.need.accelerators * runs_s
    usual = kind.width * statistics.mean(kind.accelerators) * kind.runs_s
    return min(MOST_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * work / usual)
