"""Plan one pass over all waiting units: placement and preemption."""

import dataclasses
import math
from collections import deque
from collections.abc import Callable, Sequence

from ..models.workload import Resources
from .core import Core
from .draining import list_units_to_move
from .estimates import Estimates
from .idleness import (
    IGNORE_BACKFILL_LIMIT_AFTER_S,
    SPREAD_IF_IDLE_AFTER_S,
    is_starved,
)
from .isolation import awaits_isolation, is_suspect, list_apart
from .lateness import is_late
from .placement import (
    Candidate,
    fits_one_rack,
    list_suitable,
    order_by_fit,
    place_unit,
    takes_another,
)
from .pool_view import PoolView
from .preemption import ACCELERATOR_CORES, PreemptionPlan, PreemptionPlanner
from .reservations import Reservation, Reservations, is_capacity_free
from .shortages import ANY_WORKER_S, Demand, Shortages
from .state import Unit
from .waiting import WaitingUnits

PREEMPTED_BACKOFF_S = 1.0
"""How long a preempted unit waits before it is planned again. In a burst it would take
the capacity that the next urgent job needs a moment later, and each time cost a start
order, a stop order and the work done in between."""

MAX_PROTECTED_GANGS = 3
"""Waiting gangs for which backfilling is limited in one pass, so that a steady stream
of smaller tasks does not starve them. More would leave accelerators idle."""

MAX_LOSS_RATIO = 4.0
"""Core-seconds of lower-priority work that may be lost per core-second of urgent work
beyond its organisation's guarantee. Urgent work in time is worth several times what
its core-seconds cost. With a higher ratio, a large gang that has just started is lost
for a small job and becomes late itself. Within the guarantee there is no limit: those
accelerators were only lent to others."""

CHEAP_ONLY_SHARE = 0.35
"""Share of the time within which guaranteed work must start during which it accepts
only preemptions that cost less than ``MAX_LOSS_RATIO``. Stop and start orders need the
rest. A few expensive preemptions make up most of the lost work: one for two tasks stops
a gang that has done thousands of core-seconds. The wait halves the work that an urgent
burst on a full pool loses, without a disadvantage to callers."""

RECLAIM_MARGIN_S = 2.0
"""Minimum part of the same time that is left for the preemption: a stop takes up to
0.9 s, reading its end and storing and ordering the new run another 0.5 s, and a busy
leader longer."""

SPREAD_AFTER_SHARE = 0.6
"""Share of the time within which guaranteed work must start after which a guaranteed
gang may be spread over racks. It then takes several times as long and holds its
accelerators for all that time."""

SPREAD_MARGIN_S = 1.5
"""Minimum part of the same time that is left when it may be spread. Room for it must
still be made, which takes up to a second behind a full link."""


AVOID_MAX_WAIT_S = 2.0
"""Seconds for which a unit waits for other workers than those where it failed or stood
still. They may be too few, in use by work that never ends, or all far from its data; a
worker at which several jobs fail is quarantined anyway."""


StepKey = tuple[str, int, int]
"""A job's id, an occurrence, and the number of a step."""


def _name_step(unit: Unit) -> StepKey:
    return unit.job.accepted.job_id, unit.occurrence, unit.step_index


class Planner:
    """Plans passes; only reservations for preempting units outlast a pass."""

    def __init__(self, core: Core, *, reclaim_s: float, restart_s: float) -> None:
        """Plan for ``core``.

        ``reclaim_s`` is the time within which guaranteed urgent work must start;
        ``restart_s`` is what a task that saves checkpoints loses by a stop.
        """
        self._core = core
        self._estimates = Estimates(core)
        self._reclaim_s = reclaim_s
        self._restart_s = restart_s
        self._reservations = Reservations()
        self._waiting = WaitingUnits(core)
        self._shortages = Shortages()
        self._view = PoolView(core, now=0.0)
        self._filling: tuple[StepKey, deque[Candidate]] | None = None
        self._tried: set[int] = set()
        self.interrupted = False

    def run_pass(
        self,
        *,
        now: float,
        wall: float,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> int:
        """Plan the units that can start; return how many were given workers.

        The pass is interrupted when ``may_continue`` returns false. The next one then
        takes the units that did not fit last, so that it comes to the others.
        """
        core = self._core
        self._waiting.begin_pass()
        self._estimates.begin_pass()
        self._shortages.begin_pass()
        units = list(self._waiting.list_ready(now, wall))
        if not units:
            self._reservations.clear()
            self._end_pass(interrupted=False)
            return 0
        view = self._view = PoolView(core, now)
        self._filling = None
        waiting = sorted(
            units, key=lambda unit: (id(unit) in self._tried, *self._rank(unit, wall))
        )
        self._reservations.apply(
            waiting,
            view.by_id,
            now=now,
            workers=core.workers,
        )
        planned = 0
        blocked: set[StepKey] = set()
        protected_gangs = 0
        for unit in waiting:
            if not may_continue():
                self._end_pass(interrupted=True)
                return planned
            self._tried.add(id(unit))
            job = unit.job
            step_key = _name_step(unit)
            if step_key in blocked:
                continue
            pool_name = self._waiting.find_pool(job)
            pool = view.list_pool(pool_name)
            reservation = self._reservations.find(unit)
            if reservation is not None:
                if core.advice.may_start(unit, reservation.workers, now):
                    planned += self._use_reservation(unit, reservation, pool)
                continue
            pool = core.advice.narrow(unit, pool, now)
            demand = self._describe_demand(unit, pool_name, pool, now)
            workers = None
            if not self._shortages.rules_out(demand):
                workers = self._place(unit, pool, now, demand)
            if workers is not None:
                self._plan(unit, workers)
                planned += 1
                continue
            if not (unit.avoided or unit.crashes):
                # Otherwise the unit may wait for a worker that only it avoids.
                blocked.add(step_key)
            if awaits_isolation(unit, now):
                continue
            if job.accepted.priority == 0 and self._preempt_for(unit, pool, now):
                continue
            if len(unit.indices) == 1 or protected_gangs >= MAX_PROTECTED_GANGS:
                continue
            if not unit.step.one_rack or self._needs_one_rack(unit, pool_name):
                avoided = self._list_avoided(unit, pool, now)
                protected_gangs += self._estimates.limit_backfill(
                    unit, pool, now, avoided=avoided
                )
        self._end_pass(interrupted=False)
        return planned

    def _end_pass(self, *, interrupted: bool) -> None:
        self.interrupted = interrupted
        if not interrupted:
            self._tried.clear()

    def _rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        accepted = unit.job.accepted
        return (
            accepted.priority,
            self._is_late(unit, wall),
            accepted.accepted_at_s,
            unit.occurrence,
            unit.step_index,
            unit.indices[0],
        )

    def _is_late(self, unit: Unit, wall: float) -> bool:
        accepted = unit.job.accepted
        run_time_s = self._estimates.estimate_run(unit)
        return is_late(
            accepted, run_time_s=run_time_s, age_s=wall - accepted.accepted_at_s
        )

    def _use_reservation(
        self, unit: Unit, reservation: Reservation, pool: Sequence[Candidate]
    ) -> int:
        if not is_capacity_free(reservation, pool):
            return 0
        self._reservations.drop(unit)
        self._core.plan_run(unit, reservation.workers)
        self._estimates.invalidate(unit)
        return 1

    def _is_starved_in_idle_pool(
        self, unit: Unit, now: float, *, longer_than: float
    ) -> bool:
        if not is_starved(unit, now, longer_than=longer_than):
            return False
        return self._waiting.find_pool(unit.job) in self._view.idle_pools

    def _describe_demand(
        self, unit: Unit, name: str, pool: Sequence[Candidate], now: float
    ) -> Demand:
        one_rack = not self._may_spread(unit, now)
        one_rack = one_rack and self._needs_one_rack(unit, name)
        run_time_s = self._estimates.estimate_run(unit)
        if self._is_starved_in_idle_pool(
            unit, now, longer_than=IGNORE_BACKFILL_LIMIT_AFTER_S
        ):
            run_time_s = ANY_WORKER_S
        return Demand(name, unit.step.need, len(unit.indices), one_rack, run_time_s)

    def _needs_one_rack(self, unit: Unit, name: str) -> bool:
        """Return whether a gang asks for one rack and some rack is large enough."""
        need, count = unit.step.need, len(unit.indices)
        if not unit.step.one_rack or count == 1:
            return False
        return self._view.measure_largest_rack(name, need) >= count

    def _place(
        self, unit: Unit, pool: Sequence[Candidate], now: float, demand: Demand
    ) -> list[str] | None:
        single = self._place_single(unit, pool, demand)
        if single is not None:
            return [single]
        if demand.run_time_s == ANY_WORKER_S:
            pool = [dataclasses.replace(c, backfill_window_s=math.inf) for c in pool]
        if unit.crashes:
            return self._place_apart(unit, pool, now, demand)
        avoided = self._list_avoided(unit, pool, now)
        found = self._place_within(unit, pool, now, demand, avoided)
        if found is None:
            limited = bool(avoided) or self._core.advice.covers(unit)
            self._shortages.record(demand, unit.step, has_exclusions=limited)
        return found

    def _place_single(
        self, unit: Unit, pool: Sequence[Candidate], demand: Demand
    ) -> str | None:
        """Return the worker for a single task, or None if that is not quickly found.

        The order in which a step's tasks fill the workers is kept: a step of dozens
        of tasks would otherwise look through the whole pool for each of them.
        """
        if len(unit.indices) > 1 or unit.avoided or unit.crashes:
            return None
        step, taken, run_time_s = unit.step, self._count_taken(unit), demand.run_time_s
        if self._filling is None or self._filling[0] != _name_step(unit):
            fits = order_by_fit(
                step,
                pool,
                taken,
                run_time_s=run_time_s,
                fast_first=unit.job.accepted.priority == 0,
            )
            self._filling = _name_step(unit), deque(fits)
        fits_left = self._filling[1]
        while fits_left:
            if takes_another(step, fits_left[0], taken, run_time_s=run_time_s):
                return fits_left[0].worker_id
            fits_left.popleft()
        return None

    def _place_within(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        demand: Demand,
        avoided: set[str],
    ) -> list[str] | None:
        return place_unit(
            unit.step,
            demand.count,
            pool,
            avoided=avoided,
            taken=self._count_taken(unit),
            spread_allowed=self._may_spread(unit, now),
            run_time_s=max(0.0, demand.run_time_s),
            fast_first=unit.job.accepted.priority == 0,
        )

    def _place_apart(
        self, unit: Unit, pool: Sequence[Candidate], now: float, demand: Demand
    ) -> list[str] | None:
        """Return workers for a unit that was charged with crashes."""
        for option in list_apart(unit, pool, self._core, now):
            if demand.one_rack and not fits_one_rack(unit.step, demand.count, option):
                continue
            avoided = self._list_avoided(unit, option, now)
            found = self._place_within(unit, option, now, demand, avoided)
            if found is not None:
                return found
        return None

    def _may_spread(self, unit: Unit, now: float) -> bool:
        if unit.step.rack and unit.step.rack in self._view.evacuated_racks:
            # Nothing starts there until the operators end the evacuation.
            return True
        if unit.step.rack and not self._view.fits_rack(unit.step):
            # All its workers have left, or have become too small.
            return True
        if self._is_starved_in_idle_pool(unit, now, longer_than=SPREAD_IF_IDLE_AFTER_S):
            return True
        waited = now - unit.ready_at
        urgent = unit.job.accepted.priority == 0
        late = waited > min(
            self._reclaim_s * SPREAD_AFTER_SHARE, self._reclaim_s - SPREAD_MARGIN_S
        )
        return urgent and late and self._is_guaranteed(unit)

    def _list_avoided(
        self, unit: Unit, pool: Sequence[Candidate], now: float
    ) -> set[str]:
        """Return the workers where the unit failed, unless others are not usable."""
        if not unit.avoided or now - unit.waiting_since > AVOID_MAX_WAIT_S:
            return set()
        usable = list_suitable(unit.step, pool, unit.avoided)
        return unit.avoided if usable else set()

    def _count_taken(self, unit: Unit) -> dict[str, int]:
        if not unit.step.most_per_worker:
            return {}
        taken: dict[str, int] = {}
        for other in unit.job.by_step[unit.occurrence, unit.step_index]:
            for placement in other.placements.values():
                taken[placement.worker_id] = taken.get(placement.worker_id, 0) + 1
        return taken

    def _plan(self, unit: Unit, workers: Sequence[str]) -> None:
        apart = is_suspect(unit)
        for worker_id in workers:
            candidate = self._view.by_id[worker_id]
            candidate.free = Resources() if apart else candidate.free - unit.step.need
        if self._filling is not None and self._filling[0] != _name_step(unit):
            self._filling = None
        self._core.plan_run(unit, workers)
        self._estimates.invalidate(unit)

    def move_off_draining(self, now: float) -> None:
        """Preempt units on draining workers that leave before the units are done."""
        self._estimates.begin_pass()
        for unit in list_units_to_move(self._core, self._estimates, now):
            self._core.preempt(unit)

    def _preempt_for(self, unit: Unit, pool: list[Candidate], now: float) -> bool:
        planner = PreemptionPlanner(
            candidates=pool,
            workers=self._core.workers,
            now=now,
            restart_s=self._restart_s,
        )
        avoided = self._list_avoided(unit, pool, now)
        found = planner.plan(
            unit, avoided=avoided, spread_allowed=self._may_spread(unit, now)
        )
        if found is None:
            return False
        if not self._is_worth_cost(unit, found) and not self._must_reclaim(unit, now):
            return False
        self._core.note(
            "room made",
            job=unit.job.accepted.job_id,
            victims=sorted({v.job.accepted.job_id for v in found.victims}),
            cost_core_s=round(found.cost, 1),
            waited_s=round(now - unit.ready_at, 3),
            guaranteed=self._is_guaranteed(unit),
        )
        stopped = tuple(
            placement
            for victim in found.victims
            for placement in victim.placements.values()
            if placement.worker_id in found.workers
        )
        for victim in found.victims:
            self._estimates.invalidate(victim)
            self._core.preempt(victim)
            victim.backoff_until = now + PREEMPTED_BACKOFF_S
        self._reservations.add(unit, Reservation(found.workers, now, stopped))
        for worker_id in found.workers:
            candidate = self._view.by_id[worker_id]
            candidate.free = candidate.free - unit.step.need
        self._filling = None
        return True

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        cheap_only_s = min(
            self._reclaim_s * CHEAP_ONLY_SHARE, self._reclaim_s - RECLAIM_MARGIN_S
        )
        return now - unit.ready_at >= cheap_only_s and self._is_guaranteed(unit)

    def _is_worth_cost(self, unit: Unit, found: PreemptionPlan) -> bool:
        need = unit.step.need
        cores = need.cpu_milli / 1000 + need.accelerators * ACCELERATOR_CORES
        work = cores * len(unit.indices) * self._estimates.estimate_run(unit)
        return found.cost <= MAX_LOSS_RATIO * work

    def _is_guaranteed(self, unit: Unit) -> bool:
        """Return whether the organisation's urgent work is within its guarantee."""
        name = unit.job.accepted.organisation
        guaranteed = next(
            (
                o.guaranteed_accelerators
                for o in self._core.configuration.organisations
                if o.name == name
            ),
            0,
        )
        needed = sum(
            max(s.count * s.need.accelerators for s in j.accepted.workload.steps)
            for j in self._core.jobs.values()
            if not j.terminal
            and j.accepted.priority == 0
            and j.accepted.organisation == name
        )
        return needed <= guaranteed
