"""Start small jobs around the reservations of large ones.

The load this is made for: long saturation by small jobs in which a gang of whole
workers never finds them free together. Without a reservation every worker that
comes free is taken by the next small job, and the large one waits for ever.
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
"""A gang that has outrun its estimate is taken to run for this part of its time
again: the estimate is known to be wrong, and the longer it runs the more so."""

ATTEMPTS_PER_RESERVATION = 2
"""Gangs for which a reservation is looked for, for each one that may be held."""

NEVER = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Workers kept for a waiting gang, and when it is expected to start.

    ``drain`` keeps even short jobs off them, so that nothing delays the gang.
    """

    job: str
    workers: frozenset[str]
    start_at: float
    drain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BackfillLimits:
    """How a backfill policy goes about it.

    ``reservations`` bounds how many waiting gangs hold one, for each takes
    workers out of use for jobs that run past its start. ``drain_after_s`` is how
    long a gang waits before its reservation drains.
    """

    reservations: int
    drain_after_s: float = NEVER


Chooser = Callable[[QueuedJob, Sequence[FreeCapacity]], tuple[Member, ...] | None]


class Backfiller:
    """One pass over the queue of jobs that borrow."""

    def __init__(
        self,
        plan: PlacementPlan,
        *,
        estimator: Estimator,
        choose: Chooser,
        limits: BackfillLimits,
    ) -> None:
        """Plan on ``plan`` with these estimates, choice of place and limits."""
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
        """Start what fits, and reserve for the first that do not."""
        placed = []
        for job in queue:
            place = self._try_place(job)
            if place is not None:
                placed.append(place)
            elif self._may_reserve():
                self._reserve(job)
        return placed

    def _may_reserve(self) -> bool:
        # A gang that no present workers hold gets no reservation, however often
        # it is tried; a queue of them would make each pass seconds long.
        few = self._attempts < ATTEMPTS_PER_RESERVATION * self._limits.reservations
        return few and len(self.reservations) < self._limits.reservations

    def reserve_for(self, queue: Iterable[QueuedJob]) -> frozenset[str]:
        """Reserve for waiting gangs alone, and return the workers."""
        for job in itertools.islice(queue, self._limits.reservations):
            self._reserve(job)
        return frozenset(w for r in self.reservations for w in r.workers)

    def _try_place(self, job: QueuedJob) -> Place | None:
        # Room only shrinks within a pass: what failed once fails again, which
        # keeps a pass over a queue of thousands of like jobs short.
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
            b.room
            for n, b in self.plan.worker_plans.items()
            if b.view.usable and n not in closed
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
            b.room
            for n, b in self.plan.worker_plans.items()
            if b.view.usable
            and n not in taken
            and n not in job.avoid
            and job.workers.match(b.view.labels)
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
        """Return when the group could start the gang first, and on which workers."""
        most = max((_count_members_when_empty(spec, r) for r in group), default=0)
        if most == 0:
            return None
        each = min(most, spec.members)
        times = sorted(
            (
                self._find_start(self.plan.worker_plans[r.view.name], spec, each),
                r.view.name,
            )
            for r in group
        )
        needed = -(-spec.members // each)
        if len(times) < needed:
            return None
        return times[needed - 1][0], tuple(name for _, name in times[:needed])

    def _find_start(
        self, worker_plan: WorkerPlan, spec: JobSpec, members: int
    ) -> float:
        """Return when a worker could hold so many members of the gang."""
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
    """Take the first place that fits, in order of rack and worker."""
    return place_gang(job, capacities)


class BestFit:
    """Take the tightest place, and keep whole workers and racks whole.

    The load this is made for: many small jobs and a few gangs of whole workers.
    First fit spreads the small ones over every worker that has room, and each
    one then spoils a whole worker. ``lend_last`` names workers where idle
    guaranteed cells lie: work that cannot be checkpointed goes there last, as an
    owner's reclaim would throw it away.
    """

    def __init__(self, lend_last: frozenset[str] = frozenset()) -> None:
        """Remember the workers to be lent last."""
        self._lend_last = lend_last

    def __call__(
        self, job: QueuedJob, capacities: Sequence[FreeCapacity]
    ) -> tuple[Member, ...] | None:
        """Return the gang's members in the tightest place, or None."""
        allowed = [
            r
            for r in capacities
            if r.view.name not in job.avoid and job.workers.match(r.view.labels)
        ]
        counted = [(r, r.count_members(job.spec)) for r in allowed]
        single = [r for r, count in counted if count >= job.spec.members]
        if single:
            return _assign_members(
                job.spec, [min(single, key=lambda r: self._rank(job, r))]
            )
        if job.spec.adjacency == "worker":
            return None
        return self._choose_group(job, [r for r, count in counted if count])

    def _rank(self, job: QueuedJob, capacity: FreeCapacity) -> tuple[bool, int, str]:
        lent = capacity.view.name in self._lend_last and not job.spec.checkpointable
        return lent, len(capacity.free), capacity.view.name

    def _choose_group(
        self, job: QueuedJob, capacities: Sequence[FreeCapacity]
    ) -> tuple[Member, ...] | None:
        spec = job.spec
        plans = []
        for group in group_by_adjacency(spec, capacities):
            if sum(r.count_members(spec) for r in group) < spec.members:
                continue
            free = sum(len(r.free) for r in group)
            ordered = sorted(
                group, key=lambda r: (-r.count_members(spec), self._rank(job, r))
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
