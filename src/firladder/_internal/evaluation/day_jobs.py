"""Draw the workers and jobs of a simulated day from a seed."""

import dataclasses
import itertools
import math
import random
import statistics
from collections.abc import Iterator, Mapping, Sequence
from typing import Protocol, runtime_checkable

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
from .day_kinds import Deployment, Kind

POOL = "pool"
GUARANTEED_SHARE = 0.62
"""Share of all accelerators that is guaranteed to organisations."""

BASE_WEIGHT = 0.3
MAX_WEIGHT = 4.0
"""A weight is a base plus a part that grows with the job's work, up to a bound."""

VARIATION_PERIOD_S = 13.0
"""Period of the variation of the arrival rate, in seconds."""

DAY_S = 30.0
BURST_S = 6.0
INITIAL_JOBS_AT_S = -8.0


@dataclasses.dataclass(frozen=True, slots=True)
class DayJob:
    """A job of a day, its kind, and its run time on a worker of normal speed.

    ``weight`` is the job's worth as a multiple of its kind's. ``task_factors`` has the
    work of each task relative to ``run_duration_s``, step by step; where it ends, the
    factor is 1. Its caller cancels the job at ``cancelled_at_s``, unless that is None.
    """

    accepted: AcceptedJob
    kind: Kind
    run_duration_s: float
    weight: float = 1.0
    task_factors: tuple[float, ...] = ()
    cancelled_at_s: float | None = None

    @property
    def objective_s(self) -> float:
        """Return the time from arrival within which the job should end, in seconds."""
        longest_s = self.run_duration_s * sum(map(max, self._list_step_factors()))
        return self.kind.stretch * longest_s + self.kind.slo_s

    def _list_step_factors(self) -> Iterator[Sequence[float]]:
        first = 0
        for step in self.accepted.workload.steps:
            yield self.task_factors[first : first + step.count] or (1.0,)
            first += step.count

    def find_task_factor(self, step: int, index: int) -> float:
        """Return the work of a task relative to ``run_duration_s``."""
        index += sum(s.count for s in self.accepted.workload.steps[:step])
        return self.task_factors[index] if index < len(self.task_factors) else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Spell:
    """A time during which a worker is slow, or fails all that it starts."""

    from_s: float
    until_s: float
    worker_id: str
    slowdown: float = 1.0
    failing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A worker that announces at ``at_s`` that it leaves after ``notice_s``."""

    at_s: float
    worker_id: str
    notice_s: float


Period = tuple[float, float]
"""Start and end, in seconds of the day."""


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Workers, jobs in the order of their arrival, and losses of workers by time.

    ``slowdowns`` maps a worker to its factor on the run time of tasks. During
    ``outages`` the store is away; during ``takeovers`` there is no leader.
    """

    workers: tuple[WorkerEntry, ...]
    configuration: QueueConfiguration
    jobs: tuple[DayJob, ...]
    lost: tuple[tuple[float, str], ...] = ()
    slowdowns: Mapping[str, float] = dataclasses.field(default_factory=dict)
    spells: tuple[Spell, ...] = ()
    departures: tuple[Departure, ...] = ()
    outages: tuple[Period, ...] = ()
    takeovers: tuple[Period, ...] = ()


@runtime_checkable
class KnowsDay(Protocol):
    """A planner that is told what no leader can know."""

    def know_day(self, day: Day) -> None:
        """Take what it needs of the day, before the first pass."""


def make_day(
    seed: int,
    deployment: Deployment,
    *,
    rate_factor: float = 1.0,
    burst_factor: float,
    initial_share: float = 1.0,
) -> Day:
    """Draw a day.

    ``rate_factor`` is a factor on all arrival rates and ``burst_factor`` on that of
    urgent work at the start; ``initial_share`` is the share of the kinds' initial jobs.
    """
    rng = random.Random(seed)
    numbers = itertools.count(1)
    entries = tuple(
        _make_worker(deployment, number) for number in range(deployment.workers)
    )
    urgent, *lower = deployment.kinds
    jobs = [
        draw_job(rng, deployment, kind, INITIAL_JOBS_AT_S + rng.random(), next(numbers))
        for kind in lower
        for _ in range(round(kind.initial_jobs * initial_share))
    ]
    jobs += [
        draw_job(rng, deployment, kind, at, next(numbers))
        for kind in deployment.kinds
        for at in _draw_times(
            rng,
            kind.arrivals_per_s * rate_factor,
            burst_factor if kind is urgent else 1,
            deployment.rate_variation,
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
    rng: random.Random, arrivals_per_s: float, burst_factor: float, variation: float
) -> Iterator[float]:
    at = 0.0
    while True:
        factor = (burst_factor if at < BURST_S else 1.0) * (1 + variation)
        at += rng.expovariate(arrivals_per_s * factor)
        if at >= DAY_S:
            return
        # Arrivals are drawn at the highest rate, and kept in proportion to the rate.
        rate = 1 + variation * math.sin(2 * math.pi * at / VARIATION_PERIOD_S)
        if not variation or rng.random() * (1 + variation) < rate:
            yield at


def _make_worker(deployment: Deployment, number: int) -> WorkerEntry:
    rack = f"r1-{number // deployment.workers_per_rack:02d}"
    name = f"w{number:03d}"
    address = f"{name}:1" if deployment.has_addresses else ""
    return WorkerEntry(name, address, POOL, "", deployment.capacity, frozenset(), rack)


def draw_job(
    rng: random.Random, deployment: Deployment, kind: Kind, at: float, number: int
) -> DayJob:
    """Draw a job that arrives at ``at`` seconds of the day."""
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
        f"organisation-{_draw_organisation(rng, deployment)}",
        POOL,
        kind.priority,
        3,
        kind.stretch,
        kind.slo_s,
        at,
        Workload("", _draw_steps(rng, kind, step)),
    )
    run_duration_s = kind.run_duration_s * rng.uniform(0.7, 1.3)
    weight = (
        _compute_weight(kind, step, run_duration_s)
        if deployment.weight_by_work
        else 1.0
    )
    count = sum(s.count for s in accepted.workload.steps)
    factors = tuple(_draw_task_factors(rng, kind, count))
    return DayJob(accepted, kind, run_duration_s, weight, factors)


def _draw_organisation(rng: random.Random, deployment: Deployment) -> int:
    weights = deployment.organisation_weights
    if not weights:
        return rng.randrange(deployment.organisations)
    return rng.choices(range(deployment.organisations), weights)[0]


def _draw_steps(rng: random.Random, kind: Kind, step: Step) -> tuple[Step, ...]:
    if not kind.second_step_share or rng.random() >= kind.second_step_share:
        return (step,)
    return step, dataclasses.replace(step, after=(0,))


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
