"""Seeded days of steps of tasks, for the scheduling core without a network.

The figures follow the users' sheets of the larger deployments: three kinds of work,
racks of twelve workers, organisations with a guarantee, and a pool that lower work
has filled before urgent work comes.
"""

import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

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
RACK_WORKERS = 12
ORGANISATIONS = 10
GUARANTEED_SHARE = 0.62
"""Share of all accelerators that is guaranteed to some organisation."""


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


@dataclasses.dataclass(frozen=True, slots=True)
class DayJob:
    """A job of a day, the seconds that it runs, and the kind that it is of."""

    accepted: AcceptedJob
    kind: Kind
    runs_s: float

    @property
    def objective_s(self) -> float:
        """Return within what time the job should be done, in seconds."""
        return self.kind.stretch * self.runs_s + self.kind.slo_s


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Workers, jobs in the order of their arrival, and workers that go at a time."""

    workers: tuple[WorkerEntry, ...]
    configuration: QueueConfiguration
    jobs: tuple[DayJob, ...]
    lost: tuple[tuple[float, str], ...] = ()


DAYS: Registry[Callable[[int], Day]] = Registry("day")
"""Each makes a day from a seed."""


@DAYS.register("steady")
def make_steady(seed: int) -> Day:
    """Return a day on which the pool holds all that comes."""
    return _make_day(seed, factor=1.0, workers=176, burst=1.0, filled=0.5)


@DAYS.register("urgent_burst")
def make_urgent_burst(seed: int) -> Day:
    """Return a day that begins full, with a burst of urgent work at once."""
    return _make_day(seed, factor=1.2, workers=176, burst=2.2, filled=1.0)


@DAYS.register("small_pool")
def make_small_pool(seed: int) -> Day:
    """Return a day of a pool of four racks, with a burst of urgent work."""
    return _make_day(seed, factor=0.28, workers=48, burst=2.0, filled=0.28)


@DAYS.register("workers_lost")
def make_workers_lost(seed: int) -> Day:
    """Return a full day on which one worker in ten goes without notice."""
    day = _make_day(seed, factor=1.0, workers=176, burst=1.5, filled=1.0)
    rng = random.Random(seed)
    gone = rng.sample([w.worker_id for w in day.workers], len(day.workers) // 10)
    return dataclasses.replace(day, lost=tuple((8.0, worker) for worker in gone))


DAY_S = 30.0
BURST_S = 6.0
FILLED_AT_S = -8.0


def _make_day(
    seed: int, *, factor: float, workers: int, burst: float, filled: float
) -> Day:
    rng = random.Random(seed)
    numbers = itertools.count(1)
    entries = tuple(_make_worker(number) for number in range(workers))
    jobs = [
        _draw_job(rng, kind, FILLED_AT_S + rng.random(), next(numbers))
        for kind in (HEAVY, SMALL)
        for _ in range(round(kind.filled * filled))
    ]
    jobs += [
        _draw_job(rng, kind, at, next(numbers))
        for kind in (URGENT, HEAVY, SMALL)
        for at in _draw_times(rng, kind.per_s * factor, _choose_burst(kind, burst))
    ]
    total = sum(entry.capacity.accelerators for entry in entries)
    share = int(total * GUARANTEED_SHARE / ORGANISATIONS)
    owners = tuple(
        Organisation(f"organisation-{n}", frozenset(), share)
        for n in range(ORGANISATIONS)
    )
    queues = tuple(
        Queue(kind.name, "", f"/{kind.name}/", POOL, priority=kind.priority)
        for kind in (URGENT, HEAVY, SMALL)
    )
    return Day(
        entries,
        QueueConfiguration(1, queues, organisations=owners),
        tuple(sorted(jobs, key=lambda job: job.accepted.accepted_at_s)),
    )


def _choose_burst(kind: Kind, burst: float) -> float:
    return burst if kind is URGENT else 1.0


def _draw_times(rng: random.Random, per_s: float, burst: float) -> Iterator[float]:
    at = 0.0
    while True:
        at += rng.expovariate(per_s * (burst if at < BURST_S else 1.0))
        if at >= DAY_S:
            return
        yield at


def _make_worker(number: int) -> WorkerEntry:
    rack = f"r1-{number // RACK_WORKERS:02d}"
    capacity = Resources(64_000, 262_144, 8)
    name = f"w{number:03d}"
    return WorkerEntry(name, "", POOL, "", capacity, frozenset(), rack)


def _draw_job(rng: random.Random, kind: Kind, at: float, number: int) -> DayJob:
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
        f"organisation-{rng.randrange(ORGANISATIONS)}",
        POOL,
        kind.priority,
        3,
        kind.stretch,
        kind.slo_s,
        at,
        Workload("", (step,)),
    )
    return DayJob(accepted, kind, kind.runs_s * rng.uniform(0.7, 1.3))
