"""The placement policies: the default one, and the baselines it is compared with."""

import dataclasses
import itertools
from collections.abc import Iterable, Sequence

from .backfill import Backfiller, BackfillLimits, BestFit, choose_first_fit
from .cells import PlacementPlan
from .estimating import ESTIMATORS
from .placement import (
    PLACEMENTS,
    URGENCY_RANK,
    Action,
    DomainView,
    Finish,
    FreeCapacity,
    Place,
    Preempt,
    QueuedJob,
    RunningJob,
    group_by_adjacency,
    list_free_capacity,
    order_queue,
    place_gang,
)
from .quarantine import is_at_fault
from .reclaim_policies import RECLAIMS

MAX_RESERVATIONS = 3
"""Waiting gangs that hold a reservation at once, so that several large jobs collect
workers at the same time; more would leave nothing for small jobs."""

DRAIN_AFTER_S = 1800.0
"""Wait after which a reservation drains. Until then short jobs are backfilled on the
reserved workers; their estimates are wrong often enough to delay a large gang without
bound."""

LARGE_GANG_FRACTION = 0.5
"""A gang counts as large if its members each take a whole worker, or at least this
fraction of one on two or more workers."""

HEAD_START_S = 7200.0
"""Seconds by which a large gang counts as older than it is. Small jobs start in gaps
anyway, a large gang only on workers that others have left. As the bonus is fixed, a
stream of large gangs can't starve small jobs, which overtake them once older."""

PROTECT_AFTER_S = 300.0
"""Wait of a large gang after which owners' small jobs avoid its reserved workers."""

PREEMPT_SMALL_AFTER_S = 300.0
"""Wait of a large gang after which small checkpointable borrowers are preempted for it
even if they have to queue again. They lose a restart and find a gap within minutes;
otherwise the large gang waits for whole workers that are never free together."""

MAX_MOVES_IN_FLIGHT = 8
"""Gangs being moved by checkpoint at once in a failure domain: each move costs a
restart, and more would cost more than the fragmentation that they remove."""

MOVE_COST_S = 60.0
"""Assumed cost of a move to the moved gang: twice a restart, so that only moves with
a clear gain are made."""


@PLACEMENTS.register("fcfs")
def place_fcfs(view: DomainView) -> list[Action]:
    """Start jobs strictly in order, up to the first that does not fit."""
    capacities = list_free_capacity(view.workers)
    placed = ((job, place_gang(job, capacities)) for job in order_queue(view))
    return [
        Place(job.spec.id, members)
        for job, members in itertools.takewhile(lambda p: p[1] is not None, placed)
        if members
    ]


@PLACEMENTS.register("easy_backfill")
def place_easy(view: DomainView) -> list[Action]:
    """Backfill around a reservation for the first job, with declared run times."""
    estimator = ESTIMATORS.find("declared")
    assert estimator is not None
    backfiller = Backfiller(
        PlacementPlan(dataclasses.replace(view, organisations={})),
        estimator=estimator,
        choose=choose_first_fit,
        limits=BackfillLimits(reservations=1),
    )
    return [*backfiller.run(order_queue(view))]


@PLACEMENTS.register("cells")
def place_guaranteed_cells(view: DomainView) -> list[Action]:
    """Place owners' jobs in their cells, lend the rest, and reserve for large gangs."""
    return _place(view, reclaim="least_lost")


@PLACEMENTS.register("youngest_first")
def place_youngest_first(view: DomainView) -> list[Action]:
    """Place as ``cells`` does, but preempt the youngest borrowers on reclaim."""
    return _place(view, reclaim="youngest_first")


def _place(view: DomainView, *, reclaim: str) -> list[Action]:
    chosen, estimator = RECLAIMS.find(reclaim), ESTIMATORS.find("history")
    assert chosen is not None and estimator is not None
    plan = PlacementPlan(view)
    ended = end_failing_jobs(view)
    failed_jobs = {a.job for a in ended}
    queue = [j for j in order_queue(view) if j.spec.id not in failed_jobs]
    # Idle cells are assumed on the emptiest workers, where long-running work does the
    # most harm: it fragments whole workers, and is preempted first on reclaim.
    idle = plan.pack(plan.count_held).placements
    lend_last = (
        n for s, placement in idle.items() if s.whole_workers for n, _ in placement
    )
    choose = BestFit(frozenset(lend_last))
    limits = BackfillLimits(MAX_RESERVATIONS, DRAIN_AFTER_S)

    def make_backfiller() -> Backfiller:
        return Backfiller(plan, estimator=estimator, choose=choose, limits=limits)

    waiting = (j for j in sort_borrowers(view, queue) if is_overdue(view, j))
    reserved = make_backfiller().reserve_for(waiting)
    reclaims, handled = chosen(plan, queue, reserved, choose)
    backfiller = make_backfiller()
    borrowers = sort_borrowers(view, (j for j in queue if j.spec.id not in handled))
    placed = backfiller.run(borrowers)
    victims = {a.job for a in reclaims if isinstance(a, Preempt)}
    moves = MovePlanner(plan, backfiller, victims).list_moves(borrowers)
    leaving = victims | {a.job for a in moves if isinstance(a, Preempt)}
    return [*ended, *reclaims, *placed, *moves, *move_mismatched(plan, leaving)]


def end_failing_jobs(view: DomainView) -> list[Finish]:
    """End the jobs that failed on enough healthy workers to be at fault."""
    unusable = {w.name for w in view.workers if not w.usable}
    return [
        Finish(j.spec.id, "failed", f"failed on {len(j.avoid)} distinct workers")
        for j in view.queue
        if is_at_fault(j.avoid, unusable)
    ]


def sort_borrowers(view: DomainView, queue: Iterable[QueuedJob]) -> list[QueuedJob]:
    """Return borrowing jobs by urgency, then age, with a bonus for large ones.

    A preempted gang returns to the queue with its original age. Without the bonus it
    could be ahead of the large gang it was preempted for, and take the place again.
    """
    worker_size = max((w.accelerators for w in view.workers), default=0)

    def find_age(job: QueuedJob) -> tuple[int, float, str]:
        ahead_s = HEAD_START_S if is_large(job, worker_size) else 0.0
        rank = URGENCY_RANK[job.urgency]
        return rank, job.submitted_at - ahead_s, job.spec.id

    return sorted(queue, key=find_age)


def is_large(job: QueuedJob, worker_size: int) -> bool:
    """Return whether a gang needs whole workers, or large parts of several."""
    each = job.spec.accelerators
    several = (
        job.spec.members * each > worker_size
        and each >= LARGE_GANG_FRACTION * worker_size
    )
    return worker_size > 0 and (each >= worker_size or several)


def is_overdue(view: DomainView, job: QueuedJob) -> bool:
    """Return whether a large gang has waited for more than ``PROTECT_AFTER_S``."""
    worker_size = max((w.accelerators for w in view.workers), default=0)
    waited_s = view.now - job.submitted_at
    return waited_s > PROTECT_AFTER_S and is_large(job, worker_size)


class MovePlanner:
    """Plans moves by checkpoint and restart that let a waiting large gang start.

    This handles fragmentation: enough accelerators are free, but spread over workers
    that each run some small gangs. A move pays if the waiting gang gains more
    accelerator seconds than the moved gangs lose, and if each of these fits elsewhere
    now; otherwise it only changes which job waits.
    """

    def __init__(
        self, plan: PlacementPlan, backfiller: Backfiller, leaving: set[str]
    ) -> None:
        """Plan around the reservations of a backfill pass."""
        self._plan = plan
        self._backfiller = backfiller
        self._guaranteed = plan.list_guaranteed()
        self._leaving = leaving | {g.spec.id for g in plan.view.running if g.stopping}
        self._running = {g.spec.id for g in plan.view.running}

    def list_moves(self, queue: Sequence[QueuedJob]) -> list[Action]:
        """Return the preemptions for the first reservation that moves can satisfy."""
        jobs = {j.spec.id: j for j in queue}
        for reservation in self._backfiller.reservations:
            gain_s = reservation.start_at - self._plan.view.now
            moved = self._choose_moves(jobs[reservation.job], gain_s)
            if moved:
                return [
                    Preempt(g.spec.id, reservation.job, "moved to defragment")
                    for g in moved
                ]
        return []

    def _choose_moves(self, job: QueuedJob, gain_s: float) -> list[RunningJob]:
        spec = job.spec
        capacities = [
            wp.room
            for n, wp in self._plan.worker_plans.items()
            if wp.view.usable
            and n not in job.avoid
            and job.workers.match(wp.view.labels)
            and self._can_vacate(n)
        ]
        gain = gain_s * spec.members * spec.accelerators
        plans = []
        for group in group_by_adjacency(spec, capacities):
            moved = self._list_gangs_to_move(job, group)
            cost = MOVE_COST_S * sum(map(_count_held, moved or ()))
            if moved and cost < gain and len(moved) <= self._count_moves_left():
                plans.append((cost, [g.spec.id for g in moved], moved))
        return min(plans, key=lambda p: p[:2])[2] if plans else []

    def _count_moves_left(self) -> int:
        return MAX_MOVES_IN_FLIGHT - len(self._leaving)

    def _can_vacate(self, worker: str) -> bool:
        return all(
            g.spec.id in self._leaving
            or (
                g.spec.checkpointable
                and g.spec.id in self._running
                and g.spec.id not in self._guaranteed
                and self._plan.view.now - g.started_at > MOVE_COST_S
            )
            for g, _ in self._plan.worker_plans[worker].holds
        )

    def _list_gangs_to_move(
        self, job: QueuedJob, group: Sequence[FreeCapacity]
    ) -> list[RunningJob] | None:
        """Return the gangs to move so that the job fits in the group, or None."""
        spec = job.spec
        if spec.accelerators == 0:
            return None
        held = {c.view.name: self._list_holders(c.view.name) for c in group}
        ordered = sorted(
            group,
            key=lambda c: (sum(map(_count_held, held[c.view.name])), c.view.name),
        )
        left, chosen = spec.members, []
        for capacity in ordered:
            if left <= 0:
                break
            left -= capacity.view.accelerators // spec.accelerators
            chosen.append(capacity.view.name)
        if left > 0:
            return None
        moved = list({g.spec.id: g for n in chosen for g in held[n]}.values())
        waited_s = self._plan.view.now - job.submitted_at
        if waited_s > PREEMPT_SMALL_AFTER_S and all(map(self._is_small, moved)):
            return moved
        return moved if self._fit_elsewhere(moved, set(chosen)) else None

    def _is_small(self, gang: RunningJob) -> bool:
        return len({m.worker for m in gang.members}) == 1 and not any(
            len(m.accelerators) == self._plan.worker_plans[m.worker].view.accelerators
            for m in gang.members
        )

    def _list_holders(self, worker: str) -> list[RunningJob]:
        holds = self._plan.worker_plans[worker].holds
        return [g for g, _ in holds if g.spec.id not in self._leaving]

    def _fit_elsewhere(self, gangs: Sequence[RunningJob], closed: set[str]) -> bool:
        capacities = [
            dataclasses.replace(wp.room, free=list(wp.room.free))
            for n, wp in self._plan.worker_plans.items()
            if wp.view.usable and n not in closed
        ]
        choose = BestFit()
        return all(
            choose(
                QueuedJob(g.spec, g.organisation, g.urgency, g.workers, 0.0), capacities
            )
            for g in gangs
        )


def _count_held(gang: RunningJob) -> int:
    return sum(max(1, len(m.accelerators)) for m in gang.members)


def move_mismatched(plan: PlacementPlan, leaving: set[str]) -> list[Action]:
    """Preempt gangs on workers that their selector no longer allows.

    Operators change selectors and labels while work runs. Checkpointable gangs are
    moved as soon as there is free capacity on allowed workers; others run to their end
    where they are, as stopping them would lose work.
    """
    labels = {w.name: w.labels for w in plan.view.workers}
    capacities = [
        dataclasses.replace(wp.room, free=list(wp.room.free))
        for wp in plan.worker_plans.values()
        if wp.view.usable
    ]
    choose = BestFit()
    wrong = (
        g
        for g in plan.view.running
        if g.spec.checkpointable
        and not g.stopping
        and g.spec.id not in leaving
        and any(not g.workers.match(labels.get(m.worker, {})) for m in g.members)
    )
    return [
        Preempt(g.spec.id, g.spec.id, "moved: its selector no longer allows the worker")
        for g in itertools.islice(wrong, MAX_MOVES_IN_FLIGHT)
        if choose(
            QueuedJob(g.spec, g.organisation, g.urgency, g.workers, 0.0), capacities
        )
    ]
