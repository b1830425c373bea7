"""Choose the running units to preempt for an urgent unit."""

import dataclasses
import itertools
from collections.abc import Collection, Iterable, Sequence

from ..models.workload import Resources
from .placement import Candidate, fits_one_rack, group_by_rack, list_suitable
from .state import Phase, Placement, Unit, Worker

ACCELERATOR_CORES = 8.0
"""Cores that one accelerator counts for in the cost of lost work, as in the price list
of the platform."""

LOST_RUN_PENALTY_S = 1.0
"""Minimum seconds of its cores by which a unit's cost grows with each run that it has
lost. A unit that has just started costs nothing to stop and would always be the first
victim: without the penalty, the same gang is started and preempted again and again. A
new leader knows the number of lost runs, but not the work that was lost with them."""

NEAR_END_WEIGHT = 1.0
"""Extra weight of work in proportion to its progress: a unit that ends soon frees its
capacity by itself, so it is preempted last."""


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """A worker for each task of an urgent unit, and the units to stop for it.

    ``stopping`` has placements on these workers that were stopped before.
    """

    workers: tuple[str, ...]
    victims: tuple[Unit, ...]
    cost: float
    stopping: tuple[Placement, ...] = ()


def count_cores(need: Resources) -> float:
    """Return the cores that lost work of this size counts for."""
    return need.cpu_milli / 1000 + need.accelerators * ACCELERATOR_CORES


def estimate_loss(unit: Unit, now: float, *, restart_s: float) -> float:
    """Return the work that is lost when a unit is stopped, in core-seconds.

    Load: an endless stream of urgent work within guarantees. Work that the unit has
    lost before adds to the cost, even if the current run is not active yet: the same
    gang would otherwise be preempted late in each of its runs. As the cost grows by
    all that was lost, other work is the cheaper choice after a few preemptions.
    """
    lost_before = max(unit.lost_core_s, estimate_penalty(unit))
    done = max((p.percent for p in _list_active(unit)), default=0.0) / 100
    lost = estimate_run_loss(unit, now, restart_s=restart_s)
    return lost_before + lost * (1 + NEAR_END_WEIGHT * done)


def estimate_penalty(unit: Unit) -> float:
    """Return the minimum cost of the runs that a unit has lost, in core-seconds."""
    cores = count_cores(unit.step.need) * len(unit.indices)
    return cores * LOST_RUN_PENALTY_S * (unit.run - 1)


def estimate_run_loss(unit: Unit, now: float, *, restart_s: float) -> float:
    """Return the work that the current run loses by a stop, in core-seconds.

    A task with checkpoints also saves one when it is stopped, so it loses at most
    ``restart_s`` for the stop and the restore.
    """
    active = _list_active(unit)
    if not active:
        return 0.0
    elapsed = now - max(p.active_at for p in active)
    lost_s = min(elapsed, restart_s) if unit.step.checkpoints else elapsed
    # A new leader may not have a report of each member yet: it counts as active too.
    return count_cores(unit.step.need) * len(unit.placements) * lost_s


def _list_active(unit: Unit) -> list[Placement]:
    return [p for p in unit.placements.values() if p.active_at]


def list_victims(worker: Worker, *, below: int) -> list[Unit]:
    """Return the units on a worker that a unit of priority ``below`` may preempt."""
    units = {
        id(p.unit): p.unit
        for p in worker.placements.values()
        if p.unit is not None
        and p.phase in (Phase.ACTIVE, Phase.SENT)
        and p.unit.job.accepted.priority > below
    }
    return list(units.values())


def list_stopping(worker: Worker) -> list[Placement]:
    """Return the placements on a worker that end soon because they were stopped."""
    if not worker.reachable:
        return []
    return [p for p in worker.placements.values() if p.phase is Phase.STOPPING]


class PreemptionPlanner:
    """Finds a cheap set of units to stop so that an urgent unit fits.

    An organisation's guaranteed accelerators are lent to others while it does not use
    them, and must be returned within seconds. Stopping young units and units with
    checkpoints first loses the least work.
    """

    def __init__(
        self,
        *,
        candidates: Sequence[Candidate],
        workers: dict[str, Worker],
        now: float,
        restart_s: float,
        use_stopping: bool = False,
    ) -> None:
        """Plan for one pass, on the free capacity that this pass has left.

        With ``use_stopping`` that includes what earlier stops free soon.
        """
        self._use_stopping = use_stopping
        self._candidates = candidates
        self._workers = workers
        self._now = now
        self._restart_s = restart_s
        self._costs: dict[int, float] = {}
        self._first_victims: dict[str, list[Unit] | None] = {}

    def plan(
        self, unit: Unit, *, avoided: Collection[str], spread_allowed: bool
    ) -> PreemptionPlan | None:
        """Return the cheapest plan, or None if no preemption frees enough capacity."""
        self._first_victims.clear()
        step = unit.step
        suitable = list_suitable(step, self._candidates, avoided)
        if step.rack and not spread_allowed:
            suitable = [c for c in suitable if c.rack == step.rack]
        pools: Iterable[list[Candidate]] = [suitable]
        count = len(unit.indices)
        one_rack = step.one_rack and count > 1 and not spread_allowed
        if one_rack and fits_one_rack(step, count, suitable):
            pools = group_by_rack(suitable)
        plans = (self._plan_within(unit, pool) for pool in pools)
        return min(filter(None, plans), key=lambda p: p.cost, default=None)

    def _plan_within(
        self, unit: Unit, pool: Sequence[Candidate]
    ) -> PreemptionPlan | None:
        step = unit.step
        free = {c.worker_id: self._find_free(c) for c in pool}
        used: dict[str, int] = {}
        changed: set[str] = set()
        victims: dict[int, Unit] = {}
        chosen: list[str] = []
        cost = 0.0
        for _ in unit.indices:
            best: tuple[float, int, str, list[Unit]] | None = None
            for candidate in pool:
                worker_id = candidate.worker_id
                if step.most_per_worker and (
                    used.get(worker_id, 0) >= step.most_per_worker
                ):
                    continue
                if worker_id in changed:
                    needed = self._find_victims_on(
                        unit, worker_id, free[worker_id], victims
                    )
                else:
                    needed = self._find_first_victims_on(unit, candidate)
                if needed is None:
                    continue
                victims_cost = (
                    sum(map(self._estimate_cost, needed)) * candidate.slowness
                )
                left = (free[worker_id] - step.need).accelerators
                row = (victims_cost, left, worker_id, needed)
                if best is None or row[:3] < best[:3]:
                    best = row
                if victims_cost == 0 and used.get(worker_id):
                    break
            if best is None:
                return None
            victims_cost, _, worker_id, needed = best
            cost += victims_cost
            for victim in needed:
                victims[id(victim)] = victim
                for placement in victim.placements.values():
                    if placement.worker_id in free:
                        free[placement.worker_id] += placement.need
                        changed.add(placement.worker_id)
            free[worker_id] = free[worker_id] - step.need
            changed.add(worker_id)
            used[worker_id] = used.get(worker_id, 0) + 1
            chosen.append(worker_id)
        stopping = itertools.chain.from_iterable(
            list_stopping(self._workers[worker_id])
            for worker_id in used
            if self._use_stopping
        )
        return PreemptionPlan(
            tuple(chosen), tuple(victims.values()), cost, tuple(stopping)
        )

    def _find_free(self, candidate: Candidate) -> Resources:
        """Return a worker's free capacity, now or when its stopped tasks have ended."""
        if not self._use_stopping:
            return candidate.free
        needs = [p.need for p in list_stopping(self._workers[candidate.worker_id])]
        return sum(needs, start=candidate.free)

    def _estimate_cost(self, unit: Unit) -> float:
        cached = self._costs.get(id(unit))
        if cached is None:
            loss = estimate_loss(unit, self._now, restart_s=self._restart_s)
            cached = self._costs[id(unit)] = 1.0 + loss
        return cached

    def _find_first_victims_on(
        self, unit: Unit, candidate: Candidate
    ) -> list[Unit] | None:
        """Return the victims on a worker that nothing else was chosen for.

        They are the same for each task of the unit: without this, a wide gang would
        sort the tasks of thousands of workers for each of its members.
        """
        worker_id = candidate.worker_id
        if worker_id not in self._first_victims:
            self._first_victims[worker_id] = self._find_victims_on(
                unit, worker_id, self._find_free(candidate), {}
            )
        return self._first_victims[worker_id]

    def _find_victims_on(
        self,
        unit: Unit,
        worker_id: str,
        free: Resources,
        chosen: dict[int, Unit],
    ) -> list[Unit] | None:
        need = unit.step.need
        if free.covers(need):
            return []
        worker = self._workers[worker_id]
        eligible = [
            u
            for u in list_victims(worker, below=unit.job.accepted.priority)
            if id(u) not in chosen
        ]
        stopped: list[Unit] = []
        for victim in sorted(eligible, key=self._estimate_cost):
            stopped.append(victim)
            for placement in victim.placements.values():
                if placement.worker_id == worker_id:
                    free = free + placement.need
            if free.covers(need):
                return stopped
        return None
