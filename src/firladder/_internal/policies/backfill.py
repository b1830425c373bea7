"""Backfill small jobs around the reservations of large gangs.

This handles long saturation by small jobs, in which a gang that needs whole workers
never finds them free at the same time. Without a reservation the next small job takes
each worker that becomes free, and the large gang starves.
"""

import dataclasses
import itertools
from collections.abc import Callable, Iterable, Sequence

from ..models.job import JobSpec, Member
from .cells import PlacementPlan, WorkerPlan
from .estimating import Estimator
from .placement import (
    FreeCapacity,
    Place,
    QueuedJob,
    RunningJob,
    group_by_adjacency,
    place_gang,
)

OVERRUN_FRACTION = 0.25
"""Fraction of its elapsed time that a gang beyond its estimate is expected to run
on: the longer it has run, the more the estimate is wrong."""

ATTEMPTS_PER_RESERVATION = 2
"""Gangs for which a reservation is attempted, per reservation that may be held."""

NEVER = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a waiting gang, and when it is expected to start.

    With ``drain`` even short jobs are not backfilled, so that nothing delays the gang.
    """

    job: str
    workers: frozenset[str]
    start_at: float
    drain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BackfillLimits:
    """Limits of a backfill policy.

    ``reservations`` bounds how many waiting gangs hold one, as each keeps its workers
    from jobs that run past its start. ``drain_after_s`` is how long a gang waits
    before its reservation drains.
    """

    reservations: int
    drain_after_s: float = NEVER


Chooser = Callable[[QueuedJob, Sequence[FreeCapacity]], tuple[Member, ...] | None]


class Backfiller:
    """One backfill pass over the queue of jobs that run outside guaranteed cells."""

    def __init__(
        self,
        plan: PlacementPlan,
        *,
        estimator: Estimator,
        choose: Chooser,
        limits: BackfillLimits,
    ) -> None:
        """Backfill on ``plan`` with this estimator, placement choice and limits."""
        self.plan = plan
        self.reservations: list[Reservation] = []
        self._estimate = estimator
        self._choose = choose
        self._limits = limits
        self._now = plan.view.now
        self._ends: dict[str, float] = {}
        self._attempts = 0
        self._unplaceable: set[tuple[object, ...]] = set()

    def estimate(self, spec: JobSpec, organisation: str) -> float:
        """Return the seconds a job is expected to run."""
        return self._estimate(spec, organisation, self.plan.view.history)

    def _find_end(self, gang: RunningJob) -> float:
        if gang.spec.id not in self._ends:
            self._ends[gang.spec.id] = self._estimate_end(gang)
        return self._ends[gang.spec.id]

    def _estimate_end(self, gang: RunningJob) -> float:
        if gang.stopping:
            return self._now
        ran_s = max(0.0, self._now - gang.started_at)
        left_s = self.estimate(gang.spec, gang.organisation) - ran_s
        return self._now + max(left_s, OVERRUN_FRACTION * ran_s, 1.0)

    def run(self, queue: Iterable[QueuedJob]) -> list[Place]:
        """Place the jobs that fit, and reserve for the first ones that do not."""
        placed = []
        for job in queue:
            place = self._try_place(job)
            if place is not None:
                placed.append(place)
            elif self._may_reserve():
                self._reserve(job)
        return placed

    def _may_reserve(self) -> bool:
        # A gang that does not fit on the present workers never gets a reservation.
        # A queue of such gangs would make each pass seconds long without this bound.
        few = self._attempts < ATTEMPTS_PER_RESERVATION * self._limits.reservations
        return few and len(self.reservations) < self._limits.reservations

    def reserve_for(self, queue: Iterable[QueuedJob]) -> frozenset[str]:
        """Reserve for the waiting gangs without placing any; return the workers."""
        for job in itertools.islice(queue, self._limits.reservations):
            self._reserve(job)
        return frozenset(w for r in self.reservations for w in r.workers)

    def _try_place(self, job: QueuedJob) -> Place | None:
        # Free capacity only shrinks within a pass, so jobs with the same requirements
        # as one that did not fit are skipped. This keeps a pass over thousands of
        # similar jobs short.
        end_at = self._now + self.estimate(job.spec, job.organisation)
        closed = frozenset(
            w
            for r in self.reservations
            if r.drain or end_at > r.start_at
            for w in r.workers
        )
        kind = (closed, *_describe_requirements(job))
        if kind in self._unplaceable:
            return None
        capacities = [
            wp.room
            for n, wp in self.plan.worker_plans.items()
            if wp.view.usable and n not in closed
        ]
        members = self._choose(job, capacities)
        if members is None:
            self._unplaceable.add(kind)
            return None
        self.plan.start(job, members)
        return Place(job.spec.id, members)

    def _reserve(self, job: QueuedJob) -> None:
        self._attempts += 1
        taken = {w for r in self.reservations for w in r.workers}
        capacities = [
            wp.room
            for n, wp in self.plan.worker_plans.items()
            if wp.view.usable
            and n not in taken
            and n not in job.avoid
            and job.workers.match(wp.view.labels)
        ]
        plans = (
            self._find_group_start(job.spec, g)
            for g in group_by_adjacency(job.spec, capacities)
        )
        found = min((p for p in plans if p is not None), default=None)
        if found is None or found[0] == NEVER:
            return
        waited_s = self._now - job.submitted_at
        self.reservations.append(
            Reservation(
                job.spec.id,
                frozenset(found[1]),
                found[0],
                waited_s > self._limits.drain_after_s,
            )
        )

    def _find_group_start(
        self, spec: JobSpec, group: Sequence[FreeCapacity]
    ) -> tuple[float, tuple[str, ...]] | None:
        """Return the earliest start of the gang in the group, and its workers."""
        max_members = max(
            (_count_members_when_empty(spec, c) for c in group), default=0
        )
        if max_members == 0:
            return None
        members_each = min(max_members, spec.members)
        times = sorted(
            (
                self._find_start(
                    self.plan.worker_plans[c.view.name], spec, members_each
                ),
                c.view.name,
            )
            for c in group
        )
        needed = -(-spec.members // members_each)
        if len(times) < needed:
            return None
        return times[needed - 1][0], tuple(name for _, name in times[:needed])

    def _find_start(
        self, worker_plan: WorkerPlan, spec: JobSpec, members: int
    ) -> float:
        """Return when the worker is expected to have capacity for the members."""
        capacity = worker_plan.room
        accelerators, cpus, memory = (
            len(capacity.free),
            capacity.cpus,
            capacity.memory_mb,
        )
        ends = sorted(
            ((self._find_end(g), n, g.spec) for g, n in worker_plan.holds),
            key=lambda e: e[0],
        )
        at = self._now
        for end_at, held, other in [(self._now, 0, None), *ends]:
            at = max(at, end_at)
            accelerators += held
            if other is not None:
                cpus += other.cpus
                memory += other.memory_mb
            if (
                accelerators >= members * spec.accelerators
                and cpus >= members * spec.cpus
                and memory >= members * spec.memory_mb
            ):
                return at
        return NEVER


def _count_members_when_empty(spec: JobSpec, capacity: FreeCapacity) -> int:
    if spec.accelerators == 0:
        return spec.members
    return capacity.view.accelerators // spec.accelerators


def _describe_requirements(job: QueuedJob) -> tuple[object, ...]:
    spec = job.spec
    return (
        spec.members,
        spec.accelerators,
        spec.cpus,
        spec.memory_mb,
        spec.adjacency,
        job.workers,
        job.avoid,
    )


def choose_first_fit(
    job: QueuedJob, capacities: Sequence[FreeCapacity]
) -> tuple[Member, ...] | None:
    """Return the first placement that fits, in order of rack and worker."""
    return place_gang(job, capacities)


class BestFit:
    """Choose the tightest placement, to avoid fragmentation of workers and racks.

    This handles many small jobs beside a few gangs of whole workers. First fit spreads
    the small jobs over all workers with free capacity, and each one then fragments a
    worker. ``lend_last`` names the workers of idle guaranteed cells: work that cannot
    be checkpointed goes there last, as a reclaim by the owner would lose it.
    """

    def __init__(self, lend_last: frozenset[str] = frozenset()) -> None:
        """Use ``lend_last`` only when no other worker fits."""
        self._lend_last = lend_last

    def __call__(
        self, job: QueuedJob, capacities: Sequence[FreeCapacity]
    ) -> tuple[Member, ...] | None:
        """Return the gang's members in the tightest placement, or None."""
        allowed = [
            c
            for c in capacities
            if c.view.name not in job.avoid and job.workers.match(c.view.labels)
        ]
        counted = [(c, c.count_members(job.spec)) for c in allowed]
        single = [c for c, count in counted if count >= job.spec.members]
        if single:
            return _assign_members(
                job.spec, [min(single, key=lambda c: self._rank(job, c))]
            )
        if job.spec.adjacency == "worker":
            return None
        return self._choose_group(job, [c for c, count in counted if count])

    def _rank(self, job: QueuedJob, capacity: FreeCapacity) -> tuple[bool, int, str]:
        lent = capacity.view.name in self._lend_last and not job.spec.checkpointable
        return lent, len(capacity.free), capacity.view.name

    def _choose_group(
        self, job: QueuedJob, capacities: Sequence[FreeCapacity]
    ) -> tuple[Member, ...] | None:
        spec = job.spec
        plans = []
        for group in group_by_adjacency(spec, capacities):
            if sum(c.count_members(spec) for c in group) < spec.members:
                continue
            free = sum(len(c.free) for c in group)
            ordered = sorted(
                group, key=lambda c: (-c.count_members(spec), self._rank(job, c))
            )
            plans.append((free, group[0].view.rack, ordered))
        if not plans:
            return None
        return _assign_members(spec, min(plans, key=lambda p: p[:2])[2])


def _assign_members(
    spec: JobSpec, capacities: Iterable[FreeCapacity]
) -> tuple[Member, ...]:
    slots = itertools.chain.from_iterable(
        itertools.repeat(capacity, capacity.count_members(spec))
        for capacity in capacities
    )
    chosen = list(itertools.islice(slots, spec.members))
    return tuple(
        Member(f"{spec.id}.{number}", capacity.view.name, capacity.take(spec))
        for number, capacity in enumerate(chosen)
    )
