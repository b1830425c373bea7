"""Types and helpers of placement policies, and the first-fit baseline.

A policy gets a complete view of one failure domain and returns actions: gangs to start,
to preempt or to end. It is a pure function, without I/O, clock or random source.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable, Mapping

from ..models.configuration import Organisation, Urgency
from ..models.job import JobSpec, Member
from ..models.request import Outcome
from .registry import Registry
from .selectors import Selector


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker in the leader's accounting.

    ``free`` lists the accelerator numbers that no gang holds. A worker that is not
    ``usable`` (unclaimed, unreachable, quarantined or leaving) gets no new work.
    """

    name: str
    rack: str
    accelerators: int
    free: tuple[int, ...]
    cpus_free: int
    memory_free_mb: int
    labels: Mapping[str, str]
    usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedJob:
    """A waiting job.

    It may not start until ``not_before``, when the leases of its old members have
    expired. ``avoid`` names workers on which it failed.
    """

    spec: JobSpec
    organisation: str
    urgency: Urgency
    workers: Selector
    submitted_at: float
    not_before: float = 0.0
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RunningJob:
    """A gang that holds accelerators.

    ``stopping`` is set once it has been told to stop. ``cell`` names the guaranteed
    cell of its organisation that it runs in; if empty, the gang is a borrower.
    ``workers`` is the selector in force now, which may have changed since the start.
    ``preempted_for`` names the job for which it was preempted.
    """

    spec: JobSpec
    organisation: str
    urgency: Urgency
    members: tuple[Member, ...]
    started_at: float
    stopping: bool = False
    cell: str = ""
    workers: Selector = Selector()
    preempted_for: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """The input of a placement policy. ``now`` is wall time in seconds.

    ``history`` maps a class of jobs to its recent median ratio of actual to declared
    run time; see ``estimating``. With ``idempotent_only`` only idempotent jobs may
    start.
    """

    failure_domain: str
    now: float
    workers: tuple[WorkerView, ...]
    queue: tuple[QueuedJob, ...]
    running: tuple[RunningJob, ...]
    organisations: Mapping[str, Organisation]
    idempotent_only: bool = False
    history: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Start a gang on these workers, in a guaranteed cell or as a borrower."""

    job: str
    members: tuple[Member, ...]
    cell: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Stop a running gang and queue it again, in favour of ``beneficiary``."""

    job: str
    beneficiary: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End a queued job that can never run."""

    job: str
    outcome: Outcome
    reason: str


Action = Place | Preempt | Finish
PlacementPolicy = Callable[[DomainView], list[Action]]

PLACEMENTS: Registry[PlacementPolicy] = Registry("placement policy")

URGENCY_RANK: Mapping[Urgency, int] = {"urgent": 0, "normal": 1, "overnight": 2}


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """Free capacity of a worker while a plan is being made."""

    view: WorkerView
    free: list[int]
    cpus: int
    memory_mb: int

    def count_members(self, spec: JobSpec) -> int:
        """Return how many members of the gang fit on the worker at once."""
        limits = [spec.members]
        if spec.accelerators:
            limits.append(len(self.free) // spec.accelerators)
        if spec.cpus:
            limits.append(self.cpus // spec.cpus)
        if spec.memory_mb:
            limits.append(self.memory_mb // spec.memory_mb)
        return max(0, min(limits))

    def take(self, spec: JobSpec) -> tuple[int, ...]:
        """Take the capacity of one member and return its accelerators."""
        taken = tuple(self.free[: spec.accelerators])
        del self.free[: spec.accelerators]
        self.cpus -= spec.cpus
        self.memory_mb -= spec.memory_mb
        return taken


def list_free_capacity(workers: Iterable[WorkerView]) -> list[FreeCapacity]:
    """Return the free capacity of every usable worker."""
    return [
        FreeCapacity(w, list(w.free), w.cpus_free, w.memory_free_mb)
        for w in workers
        if w.usable
    ]


def group_by_adjacency(
    spec: JobSpec, capacities: Iterable[FreeCapacity]
) -> list[list[FreeCapacity]]:
    """Return the groups of workers of which one must hold all members."""
    ordered = sorted(capacities, key=lambda c: (c.view.rack, c.view.name))
    if spec.adjacency == "worker":
        return [[capacity] for capacity in ordered]
    if spec.adjacency == "rack":
        by_rack = itertools.groupby(ordered, key=lambda c: c.view.rack)
        return [list(group) for _, group in by_rack]
    return [ordered]


def place_gang(
    job: QueuedJob, capacities: Iterable[FreeCapacity]
) -> tuple[Member, ...] | None:
    """Take capacity for all members in the first group that holds them, if any."""
    allowed = [
        c
        for c in capacities
        if c.view.name not in job.avoid and job.workers.match(c.view.labels)
    ]
    for group in group_by_adjacency(job.spec, allowed):
        counts = [(capacity, capacity.count_members(job.spec)) for capacity in group]
        if sum(count for _, count in counts) >= job.spec.members:
            return _take_members(job.spec, counts)
    return None


def _take_members(
    spec: JobSpec, counts: list[tuple[FreeCapacity, int]]
) -> tuple[Member, ...]:
    slots = itertools.chain.from_iterable(
        itertools.repeat(capacity, count) for capacity, count in counts
    )
    return tuple(
        Member(f"{spec.id}.{number}", capacity.view.name, capacity.take(spec))
        for number, capacity in enumerate(itertools.islice(slots, spec.members))
    )


def order_queue(view: DomainView) -> list[QueuedJob]:
    """Return the jobs that may start now, most urgent and oldest first."""
    ready = (
        j
        for j in view.queue
        if j.not_before <= view.now and (j.spec.idempotent or not view.idempotent_only)
    )
    return sorted(
        ready, key=lambda j: (URGENCY_RANK[j.urgency], j.submitted_at, j.spec.id)
    )


@PLACEMENTS.register("first_fit")
def place_first_fit(view: DomainView) -> list[Action]:
    """Start every job that fits, in order of the queue (simplest baseline)."""
    capacities = list_free_capacity(view.workers)
    placed = ((job, place_gang(job, capacities)) for job in order_queue(view))
    return [Place(job.spec.id, members) for job, members in placed if members]
