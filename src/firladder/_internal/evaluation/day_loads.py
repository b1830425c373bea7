"""Seeded days of jobs for the scheduling core, without a network.

The figures follow the users' data on the larger deployments: three kinds of work,
workers in racks, organisations with a guarantee, and a pool that is full of
lower-priority work before urgent work arrives.
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
"""Share of all accelerators that is guaranteed to organisations."""

BASE_WEIGHT = 0.3
MAX_WEIGHT = 4.0
"""A weight is a base plus a part that grows with the job's work, up to a bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work, with times in seconds.

    ``one_rack`` is the share of jobs that request one rack, ``checkpoint_share`` the
    share that save their progress, ``late_worth`` the worth of a late job, and
    ``initial_jobs`` the number of jobs that are there when the day begins.

    ``unevenness`` is the standard deviation of the logarithm of a task's work within
    its step, ``declared_error`` the greatest relative error of declared times, and
    ``failed_share`` the share of runs that fail by their own fault. A share
    ``tail_share`` of all tasks takes ``tail_factor`` times as long.
    """

    name: str
    priority: int
    arrivals_per_s: float
    mean_tasks: float
    max_tasks: int
    run_duration_s: float
    cores: float
    memory_mb: int
    accelerators: tuple[int, ...]
    gang: bool
    one_rack: float
    checkpoint_share: float
    stretch: float
    slo_s: float
    worth: float
    late_worth: float
    initial_jobs: int
    unevenness: float = 0.0
    declared_error: float | None = None
    failed_share: float = 0.0
    tail_share: float = 0.0
    tail_factor: float = 7.0


URGENT = Kind(
    name="urgent",
    priority=0,
    arrivals_per_s=5.5,
    mean_tasks=4.7,
    max_tasks=28,
    run_duration_s=2.5,
    cores=7.5,
    memory_mb=22_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.8,
    checkpoint_share=0.0,
    stretch=1.5,
    slo_s=0.25,
    worth=4.0,
    late_worth=0.8,
    initial_jobs=0,
)
HEAVY = Kind(
    name="heavy",
    priority=1,
    arrivals_per_s=1.2,
    mean_tasks=10.0,
    max_tasks=60,
    run_duration_s=11.0,
    cores=26.0,
    memory_mb=75_000,
    accelerators=(1, 2, 4, 8, 8),
    gang=True,
    one_rack=0.6,
    checkpoint_share=0.45,
    stretch=3.0,
    slo_s=1.0,
    worth=3.0,
    late_worth=0.9,
    initial_jobs=23,
)
SMALL = Kind(
    name="small",
    priority=2,
    arrivals_per_s=1.46,
    mean_tasks=30.0,
    max_tasks=180,
    run_duration_s=7.6,
    cores=5.6,
    memory_mb=16_000,
    accelerators=(1,),
    gang=False,
    one_rack=0.0,
    checkpoint_share=0.45,
    stretch=3.0,
    slo_s=3.0,
    worth=1.0,
    late_worth=0.3,
    initial_jobs=27,
)


NARROW_URGENT = dataclasses.replace(
    URGENT, mean_tasks=5.3, max_tasks=32, cores=3.7, memory_mb=9_800
)
NARROW_HEAVY = dataclasses.replace(
    HEAVY,
    arrivals_per_s=1.38,
    mean_tasks=13.0,
    max_tasks=76,
    cores=13.0,
    memory_mb=34_000,
    late_worth=0.3,
    initial_jobs=27,
)
NARROW_SMALL = dataclasses.replace(
    SMALL,
    arrivals_per_s=1.69,
    mean_tasks=38.0,
    max_tasks=230,
    cores=2.8,
    memory_mb=7_400,
    late_worth=0.1,
    initial_jobs=31,
)


UNEVEN_URGENT = dataclasses.replace(
    URGENT,
    arrivals_per_s=2.13,
    mean_tasks=5.4,
    max_tasks=32,
    run_duration_s=2.1,
    memory_mb=39_000,
    unevenness=0.3,
    declared_error=0.9,
    failed_share=0.05,
)
UNEVEN_HEAVY = dataclasses.replace(
    HEAVY,
    arrivals_per_s=0.401,
    mean_tasks=13.0,
    max_tasks=78,
    run_duration_s=9.4,
    memory_mb=140_000,
    late_worth=0.3,
    initial_jobs=16,
    unevenness=0.15,
    declared_error=0.5,
    failed_share=0.05,
)
UNEVEN_SMALL = dataclasses.replace(
    SMALL,
    arrivals_per_s=0.616,
    mean_tasks=39.0,
    max_tasks=230,
    run_duration_s=5.2,
    memory_mb=23_000,
    late_worth=0.1,
    initial_jobs=20,
    unevenness=0.3,
    declared_error=0.2,
    failed_share=0.05,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The workers of a deployment, and the kinds of work that it runs.

    Each worker draws its factor on the run time of tasks from ``slowdowns``. With
    ``weight_by_work`` a job's worth grows with its work.
    """

    kinds: tuple[Kind, ...]
    workers: int
    workers_per_rack: int
    capacity: Resources
    organisations: int
    slowdowns: tuple[float, ...] = (1.0,)
    weight_by_work: bool = False


WIDE_RACKS = Deployment(
    kinds=(URGENT, HEAVY, SMALL),
    workers=176,
    workers_per_rack=12,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
)
NARROW_RACKS = Deployment(
    kinds=(NARROW_URGENT, NARROW_HEAVY, NARROW_SMALL),
    workers=270,
    workers_per_rack=8,
    capacity=Resources(32_000, 65_536, 8),
    organisations=24,
    slowdowns=(1.0, 1.0, 1.3),
    weight_by_work=True,
)


UNEVEN_POOL = Deployment(
    kinds=(UNEVEN_URGENT, UNEVEN_HEAVY, UNEVEN_SMALL),
    workers=176,
    workers_per_rack=20,
    capacity=Resources(64_000, 262_144, 8),
    organisations=10,
    slowdowns=(0.6, 1.0, 1.6),
    weight_by_work=True,
)


@dataclasses.dataclass(frozen=True, slots=True)
class DayJob:
    """A job of a day, its kind, and its run time on a worker of normal speed.

    ``weight`` is the job's worth as a multiple of its kind's. ``task_factors`` has the
    work of each task relative to ``run_duration_s``; where it ends, the factor is 1.
    """

    accepted: AcceptedJob
    kind: Kind
    run_duration_s: float
    weight: float = 1.0
    task_factors: tuple[float, ...] = ()

    @property
    def objective_s(self) -> float:
        """Return the time from arrival within which the job should end, in seconds."""
        longest_s = self.run_duration_s * max(self.task_factors, default=1.0)
        return self.kind.stretch * longest_s + self.kind.slo_s

    def find_task_factor(self, index: int) -> float:
        """Return the work of a task relative to ``run_duration_s``."""
        return self.task_factors[index] if index < len(self.task_factors) else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Workers, jobs in the order of their arrival, and losses of workers by time.

    ``slowdowns`` maps a worker to its factor on the run time of tasks.
    """

    workers: tuple[WorkerEntry, ...]
    configuration: QueueConfiguration
    jobs: tuple[DayJob, ...]
    lost: tuple[tuple[float, str], ...] = ()
    slowdowns: Mapping[str, float] = dataclasses.field(default_factory=dict)


DAYS: Registry[Callable[[int], Day]] = Registry("day")
"""Functions by name that make a day from a seed."""


@DAYS.register("steady")
def make_steady(seed: int) -> Day:
    """Return a day on which the pool has capacity for all arrivals."""
    return _make_day(seed, WIDE_RACKS, burst_factor=1.0, initial_share=0.5)


@DAYS.register("urgent_burst")
def make_urgent_burst(seed: int) -> Day:
    """Return a day that begins with a full pool and a burst of urgent work."""
    return _make_day(seed, WIDE_RACKS, rate_factor=1.2, burst_factor=2.2)


@DAYS.register("small_pool")
def make_small_pool(seed: int) -> Day:
    """Return a day on a pool of four racks, with a burst of urgent work."""
    deployment = dataclasses.replace(WIDE_RACKS, workers=48)
    return _make_day(
        seed, deployment, rate_factor=0.28, burst_factor=2.0, initial_share=0.28
    )


@DAYS.register("workers_lost")
def make_workers_lost(seed: int) -> Day:
    """Return a day on a full pool on which one worker in ten is lost."""
    day = _make_day(seed, WIDE_RACKS, burst_factor=1.5)
    rng = random.Random(seed)
    lost_ids = rng.sample([w.worker_id for w in day.workers], len(day.workers) // 10)
    return dataclasses.replace(day, lost=tuple((8.0, worker) for worker in lost_ids))


@DAYS.register("overload")
def make_overload(seed: int) -> Day:
    """Return a day on a large pool with more lower-priority work than it can run."""
    return _make_day(seed, NARROW_RACKS, burst_factor=2.2)


@DAYS.register("small_overload")
def make_small_overload(seed: int) -> Day:
    """Return a day of the same overload on a pool of ten racks."""
    deployment = dataclasses.replace(NARROW_RACKS, workers=80)
    return _make_day(
        seed, deployment, rate_factor=0.3, burst_factor=2.2, initial_share=0.3
    )


@DAYS.register("uneven")
def make_uneven(seed: int) -> Day:
    """Return a day on a pool of which a third is slow and a third is fast."""
    return _make_day(seed, UNEVEN_POOL, burst_factor=1.0, initial_share=0.5)


@DAYS.register("uneven_burst")
def make_uneven_burst(seed: int) -> Day:
    """Return a day on the same pool, full, that begins with a burst of urgent work."""
    return _make_day(seed, UNEVEN_POOL, rate_factor=1.5, burst_factor=2.2)


DAY_S = 30.0
BURST_S = 6.0
INITIAL_JOBS_AT_S = -8.0


def _make_day(
    seed: int,
    deployment: Deployment,
    *,
    rate_factor: float = 1.0,
    burst_factor: float,
    initial_share: float = 1.0,
) -> Day:
    rng = random.Random(seed)
    numbers = itertools.count(1)
    entries = tuple(
        _make_worker(deployment, number) for number in range(deployment.workers)
    )
    urgent, *lower = deployment.kinds
    jobs = [
        _draw_job(
            rng, deployment, kind, INITIAL_JOBS_AT_S + rng.random(), next(numbers)
        )
        for kind in lower
        for _ in range(round(kind.initial_jobs * initial_share))
    ]
    jobs += [
        _draw_job(rng, deployment, kind, at, next(numbers))
        for kind in deployment.kinds
        for at in _draw_times(
            rng,
            kind.arrivals_per_s * rate_factor,
            burst_factor if kind is urgent else 1,
        )
    ]
    total = sum(entry.capacity.accelerators for entry in entries)
    share = int(total * GUARANTEED_SHARE / deployment.organisations)
    organisations_ = tuple(
        Organisation(f"organisation-{n}", frozenset(), share)
        for n in range(deployment.organisations)
    )
    queues = tuple(
        Queue(kind.name, "", f"/{kind.name}/", POOL, priority=kind.priority)
        for kind in deployment.kinds
    )
    return Day(
        entries,
        QueueConfiguration(1, queues, organisations=organisations_),
        tuple(sorted(jobs, key=lambda job: job.accepted.accepted_at_s)),
        slowdowns={
            entry.worker_id: rng.choice(deployment.slowdowns) for entry in entries
        },
    )


def _draw_times(
    rng: random.Random, arrivals_per_s: float, burst_factor: float
) -> Iterator[float]:
    at = 0.0
    while True:
        at += rng.expovariate(arrivals_per_s * (burst_factor if at < BURST_S else 1.0))
        if at >= DAY_S:
            return
        yield at


def _make_worker(deployment: Deployment, number: int) -> WorkerEntry:
    rack = f"r1-{number // deployment.workers_per_rack:02d}"
    name = f"w{number:03d}"
    return WorkerEntry(name, "", POOL, "", deployment.capacity, frozenset(), rack)


def _draw_job(
    rng: random.Random, deployment: Deployment, kind: Kind, at: float, number: int
) -> DayJob:
    accelerators = rng.choice(kind.accelerators)
    step = Step(
        count=min(kind.max_tasks, max(1, round(rng.expovariate(1 / kind.mean_tasks)))),
        need=Resources(round(kind.cores * 1000), kind.memory_mb, accelerators),
        estimate_s=kind.run_duration_s * _draw_declared_factor(rng, kind),
        checkpoints=rng.random() < kind.checkpoint_share,
        gang=kind.gang,
        one_rack=rng.random() < kind.one_rack,
    )
    accepted = AcceptedJob(
        f"{number:016x}",
        kind.name,
        f"organisation-{rng.randrange(deployment.organisations)}",
        POOL,
        kind.priority,
        3,
        kind.stretch,
        kind.slo_s,
        at,
        Workload("", (step,)),
    )
    run_duration_s = kind.run_duration_s * rng.uniform(0.7, 1.3)
    weight = (
        _compute_weight(kind, step, run_duration_s)
        if deployment.weight_by_work
        else 1.0
    )
    factors = tuple(_draw_task_factors(rng, kind, step.count))
    return DayJob(accepted, kind, run_duration_s, weight, factors)


def _draw_declared_factor(rng: random.Random, kind: Kind) -> float:
    if kind.declared_error is None:
        return rng.uniform(0.5, 2.0)
    return 1 + rng.uniform(-kind.declared_error, kind.declared_error)


def _draw_task_factors(rng: random.Random, kind: Kind, count: int) -> Iterator[float]:
    if not (kind.unevenness or kind.tail_share):
        return
    for _ in range(count):
        factor = rng.lognormvariate(0, kind.unevenness)
        yield factor * (kind.tail_factor if rng.random() < kind.tail_share else 1)


def _compute_weight(kind: Kind, step: Step, run_duration_s: float) -> float:
    """Return a job's weight, from its work relative to the mean of its kind."""
    work = step.count * step.need.accelerators * run_duration_s
    mean_work = (
        kind.mean_tasks * statistics.mean(kind.accelerators) * kind.run_duration_s
    )
    return min(MAX_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * work / mean_work)
