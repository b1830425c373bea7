"""Seeded loads at the users' current sizes, for the placement policies.

A declared run time is wrong by a factor of up to ten in either direction. Jobs of one
class and organisation share most of this error.
"""

import dataclasses
import random
from collections.abc import Callable

from ..models.configuration import Cell, Organisation, Urgency
from ..models.job import JobSpec
from ..models.machine import Machine
from ..policies.registry import Registry

DOMAIN = "bern-halle"
ACCELERATORS_PER_WORKER = 8
WORKERS_PER_RACK = 8
HOUR_S = 3600.0
MAX_DECLARED_ERROR = 10.0
JOB_CLASSES = 4

GANG_SIZES = {"alpin": (1, 2), "berg": (1, 2), "civic": (2,), "daily": (2, 3)}
"""Workers of a large gang; gangs of an owner fit the owner's largest cell."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job, its arrival and its actual run time, in seconds."""

    at: float
    spec: JobSpec
    run_s: float
    cancel_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The workers, jobs and faults of one failure domain in one simulation."""

    workers: tuple[Machine, ...]
    organisations: dict[str, Organisation]
    arrivals: tuple[Arrival, ...]
    lost_workers: frozenset[str] = frozenset()
    lost_at: float | None = None
    faulty_workers: frozenset[str] = frozenset()


LOADS: Registry[Callable[[int, int], Load]] = Registry("load")
"""Functions by name that make a load from a seed and the number of racks."""


def make_workers(racks: int) -> tuple[Machine, ...]:
    """Return the workers of a failure domain, eight to a rack."""
    return tuple(
        Machine(
            name=f"w{rack}-{number}",
            role="worker",
            failure_domain=DOMAIN,
            address="",
            rack=f"rack{rack}",
            accelerators=ACCELERATORS_PER_WORKER,
            cpus=32,
            memory_mb=65536,
        )
        for rack in range(racks)
        for number in range(WORKERS_PER_RACK)
    )


def make_organisations(racks: int) -> dict[str, Organisation]:
    """Return four organisations: two with a large shape, one without a shape."""

    def cell(accelerators: int, count: int = 1) -> Cell:
        return Cell(failure_domain=DOMAIN, accelerators=accelerators, count=count)

    return {
        "alpin": Organisation(shape=(cell(16, racks), cell(4, racks))),
        "berg": Organisation(shape=(cell(16, racks),)),
        "civic": Organisation(shape=(cell(4, racks),)),
        "daily": Organisation(),
    }


class LoadBuilder:
    """Draws the jobs of one load."""

    def __init__(self, seed: int, racks: int) -> None:
        """Start without jobs."""
        self.random = random.Random(seed)
        self.racks = racks
        self.arrivals: list[Arrival] = []
        self._declared_errors: dict[tuple[str, str], float] = {}

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of the failure domain."""
        return self.racks * WORKERS_PER_RACK * ACCELERATORS_PER_WORKER

    def _draw_declared_run_time_s(
        self, organisation: str, kind: str, run_s: float
    ) -> float:
        key = (organisation, kind)
        if key not in self._declared_errors:
            self._declared_errors[key] = MAX_DECLARED_ERROR ** self.random.uniform(
                -1, 1
            )
        noise = float(MAX_DECLARED_ERROR ** self.random.uniform(-0.1, 0.1))
        return max(1.0, run_s * self._declared_errors[key] * noise)

    def add(
        self,
        at: float,
        organisation: str,
        *,
        members: int,
        accelerators: int,
        run_s: float,
        urgency: Urgency = "overnight",
        checkpointable: bool | None = None,
        cancel_at: float | None = None,
    ) -> float:
        """Add a job and return its work in accelerator-seconds."""
        size = "large" if members * accelerators >= ACCELERATORS_PER_WORKER else "small"
        kind = f"{size}-{self.random.randrange(JOB_CLASSES)}"
        drawn_checkpointable = self.random.random() < 0.5
        spec = JobSpec(
            id=f"j{len(self.arrivals):05d}",
            organisation=organisation,
            members=members,
            accelerators=accelerators,
            cpus=accelerators,
            memory_mb=1024 * accelerators,
            run_time_s=self._draw_declared_run_time_s(organisation, kind, run_s),
            urgency=urgency,
            checkpointable=drawn_checkpointable
            if checkpointable is None
            else checkpointable,
            labels={"kind": kind},
        )
        self.arrivals.append(Arrival(at, spec, run_s, cancel_at))
        return members * accelerators * run_s

    def add_small(self, at: float, organisation: str, **options: object) -> float:
        """Add a job on part of a worker that runs for five to fifty minutes."""
        return self.add(
            at,
            organisation,
            members=1,
            accelerators=self.random.choice((1, 1, 2, 2, 4)),
            run_s=self.random.uniform(300, 3000),
            **options,  # type: ignore[arg-type]
        )

    def add_large(self, at: float, organisation: str, **options: object) -> float:
        """Add a gang of whole workers that runs for half an hour to two hours."""
        return self.add(
            at,
            organisation,
            members=self.random.choice(GANG_SIZES[organisation]),
            accelerators=ACCELERATORS_PER_WORKER,
            run_s=self.random.uniform(1800, 7200),
            **options,  # type: ignore[arg-type]
        )

    def choose_organisation(self, *, skewed: bool = False) -> str:
        """Draw an organisation; if skewed, one of them has most of the demand."""
        names = ["alpin", "berg", "civic", "daily"]
        weights = [1, 1, 1, 12] if skewed else [4, 3, 1, 2]
        return self.random.choices(names, weights)[0]

    def fill(
        self,
        *,
        hours: float,
        load_factor: float,
        large_share: float = 0.5,
        skewed: bool = False,
    ) -> None:
        """Add a mix of jobs whose work is ``load_factor`` times the capacity."""
        remaining_accelerator_s = load_factor * self.accelerators * hours * HOUR_S
        while remaining_accelerator_s > 0:
            at = self.random.uniform(0, hours * HOUR_S)
            organisation = self.choose_organisation(skewed=skewed)
            # The share is one of work: a large gang has the work of many small jobs.
            large = self.random.random() < _compute_large_probability(large_share)
            urgent: Urgency = "urgent" if self.random.random() < 0.1 else "overnight"
            add = self.add_large if large else self.add_small
            remaining_accelerator_s -= add(
                at, organisation, urgency="overnight" if large else urgent
            )

    def finish(self, **extra: object) -> Load:
        """Return the load, with its arrivals in order of time."""
        return Load(
            workers=make_workers(self.racks),
            organisations=make_organisations(self.racks),
            arrivals=tuple(sorted(self.arrivals, key=lambda a: (a.at, a.spec.id))),
            **extra,  # type: ignore[arg-type]
        )


MEAN_SMALL_WORK_S = 2.0 * 1650
MEAN_LARGE_WORK_S = 1.8 * ACCELERATORS_PER_WORKER * 4500
"""Mean accelerator-seconds of a small job and of a large gang."""


def _compute_large_probability(large_share: float) -> float:
    """Return the share of large jobs by number, given their share of the work."""
    large, small = (
        large_share / MEAN_LARGE_WORK_S,
        (1 - large_share) / MEAN_SMALL_WORK_S,
    )
    return large / (large + small)


@LOADS.register("mixed")
def make_mixed(seed: int, racks: int) -> Load:
    """Offer a mix of long, short, small and large jobs at 90% of capacity."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=16, load_factor=0.9)
    return builder.finish()


@LOADS.register("saturated")
def make_saturated(seed: int, racks: int) -> Load:
    """Offer the same mix at capacity."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=1.0)
    return builder.finish()


@LOADS.register("twice")
def make_twice(seed: int, racks: int) -> Load:
    """Offer the same mix at twice the capacity."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=6, load_factor=2.0)
    return builder.finish()


@LOADS.register("small_bursts")
def make_small_bursts(seed: int, racks: int) -> Load:
    """Offer the mix at half the capacity, and a burst of small jobs every two hours."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=0.5, large_share=0.7)
    for burst in range(1, 6):
        for _ in range(40 * racks):
            builder.add_small(burst * 2 * HOUR_S, builder.choose_organisation())
    return builder.finish()


@LOADS.register("large_bursts")
def make_large_bursts(seed: int, racks: int) -> Load:
    """Offer small jobs at half the capacity, and large gangs every three hours."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=0.5, large_share=0.0)
    for burst in range(1, 4):
        for _ in range(4 * racks):
            builder.add_large(burst * 3 * HOUR_S, builder.choose_organisation())
    return builder.finish()


@LOADS.register("skewed")
def make_skewed(seed: int, racks: int) -> Load:
    """Let one organisation without a shape have most of the demand."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=1.0, skewed=True)
    return builder.finish()


@LOADS.register("faulty_workers")
def make_faulty_workers(seed: int, racks: int) -> Load:
    """Let an eighth of the workers fail every job that they start."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=0.7)
    names = [w.name for w in make_workers(racks)]
    faulty = builder.random.sample(names, racks)
    return builder.finish(faulty_workers=frozenset(faulty))


@LOADS.register("cancellations")
def make_cancellations(seed: int, racks: int) -> Load:
    """Offer twice the capacity, and cancel half of the jobs at one moment."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=6, load_factor=2.0)
    wave_at = 3 * HOUR_S
    builder.arrivals = [
        dataclasses.replace(a, cancel_at=wave_at)
        if a.at < wave_at and builder.random.random() < 0.5
        else a
        for a in builder.arrivals
    ]
    return builder.finish()


@LOADS.register("lost_workers")
def make_lost_workers(seed: int, racks: int) -> Load:
    """Lose a third of the workers at once after half of the time."""
    builder = LoadBuilder(seed, racks)
    builder.fill(hours=12, load_factor=0.7)
    names = [w.name for w in make_workers(racks)]
    lost = builder.random.sample(names, len(names) // 3)
    return builder.finish(lost_workers=frozenset(lost), lost_at=6 * HOUR_S)


@LOADS.register("reclaim")
def make_reclaim(seed: int, racks: int) -> Load:
    """Fill the fleet with lent work, then let all owners use their shapes at once."""
    builder = LoadBuilder(seed, racks)
    remaining_accelerator_s = 1.3 * builder.accelerators * 8 * HOUR_S
    while remaining_accelerator_s > 0:
        at = builder.random.uniform(0, 8 * HOUR_S)
        large = builder.random.random() < _compute_large_probability(0.4)
        remaining_accelerator_s -= (builder.add_large if large else builder.add_small)(
            at, "daily"
        )
    owners = make_organisations(racks)
    for wave in (1, 3, 5, 7):
        at = wave * HOUR_S + builder.random.uniform(0, 600)
        for name, owner in owners.items():
            for cell in owner.shape:
                for _ in range(cell.count):
                    builder.add(
                        at,
                        name,
                        members=max(1, cell.accelerators // ACCELERATORS_PER_WORKER),
                        accelerators=min(cell.accelerators, ACCELERATORS_PER_WORKER),
                        run_s=builder.random.uniform(900, 3000),
                        urgency="normal",
                        checkpointable=False,
                    )
    return builder.finish()
