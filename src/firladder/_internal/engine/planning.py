"""Plan one pass over all waiting units: placement and preemption."""

import dataclasses
import math
from collections.abc import Callable, Collection, Sequence
from typing import ClassVar

from ..models.workload import Resources
from .core import Core
from .estimates import Estimates
from .filling import Filling, StepKey, name_step
from .guarantees import is_guaranteed
from .isolation import awaits_isolation, is_suspect
from .placement import Candidate
from .placing import UnitPlacer
from .pool_view import PoolView
from .preemption import estimate_run_loss
from .reservations import (
    Reservation,
    Reservations,
    is_capacity_free,
    reserve_workers,
)
from .shortages import ANY_WORKER_S, Demand, Shortages
from .state import Unit
from .strategies import StrategyNames, choose_strategies
from .strategy_kinds import PlannerSettings
from .unit_limits import UnitLimits, count_taken, list_filled
from .waiting import WaitingUnits

PREEMPTED_BACKOFF_S = 1.0
"""How long a preempted unit waits before it is planned again. In a burst it would take
the capacity that the next urgent job needs a moment later, and each time cost a start
order, a stop order and the work done in between."""

MAX_PROTECTED_GANGS = 3
"""Waiting gangs for which backfilling is limited in one pass, so that a steady stream
of smaller tasks does not starve them. More would leave accelerators idle."""


class Planner:
    """Plans passes by its strategies; only reservations outlast a pass."""

    strategy_names: ClassVar[StrategyNames] = StrategyNames()

    def __init__(
        self,
        core: Core,
        *,
        reclaim_s: float,
        restart_s: float,
        estimates: Estimates | None = None,
    ) -> None:
        """Plan for ``core``.

        ``reclaim_s`` is the time within which guaranteed urgent work must start;
        ``restart_s`` is what a task that saves checkpoints loses by a stop.
        """
        self._core = core
        self._estimates = estimates or Estimates(core)
        self._reclaim_s = reclaim_s
        self._restart_s = restart_s
        self._strategies = choose_strategies(
            self.strategy_names,
            PlannerSettings(core, self._estimates, reclaim_s, restart_s),
        )
        self._reservations = Reservations()
        self._waiting = WaitingUnits(core)
        self._shortages = Shortages()
        self._view = PoolView(core, now=0.0)
        self._limits = self._make_limits(now=0.0)
        self._placer = UnitPlacer(core, self._strategies.fit, self._limits)
        self._filling: Filling | None = None
        self._blocked: set[StepKey] = set()
        self._protected_gangs = 0
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
        self._waiting.begin_pass()
        self._estimates.begin_pass()
        self._shortages.begin_pass()
        units = list(self._waiting.list_ready(now, wall))
        if not units:
            self._reservations.clear()
            self._end_pass(interrupted=False)
            return 0
        self._begin_pass(now, wall)
        headroom = self._strategies.headroom
        headroom.begin_pass(units, self._waiting.find_pool, now, wall)
        rank = self._strategies.order.rank
        waiting = sorted(
            units, key=lambda unit: (id(unit) in self._tried, *rank(unit, wall))
        )
        self._reservations.apply(
            waiting, self._view.by_id, now=now, workers=self._core.workers
        )
        planned = 0
        for unit in waiting:
            if not may_continue():
                self._end_pass(interrupted=True)
                return planned
            self._tried.add(id(unit))
            if name_step(unit) in self._blocked:
                continue
            placed = self._plan_unit(unit, now)
            planned += placed
            if self._strategies.order.strict and not placed:
                break
        self._end_pass(interrupted=False)
        return planned

    def move_units(self, now: float) -> None:
        """Stop the running units that should run on other workers."""
        self._estimates.begin_pass()
        for move in self._strategies.moves:
            for unit in move.list_units(now):
                self._stop(unit, now)

    def _stop(self, unit: Unit, now: float) -> None:
        unit.lost_core_s += estimate_run_loss(unit, now, restart_s=self._restart_s)
        self._estimates.invalidate(unit)
        self._core.preempt(unit)

    def _begin_pass(self, now: float, wall: float) -> None:
        self._view = PoolView(self._core, now)
        self._limits = self._make_limits(now)
        self._strategies.fit.begin_pass(self._view, now, wall)
        self._placer = UnitPlacer(self._core, self._strategies.fit, self._limits)
        self._filling = None
        self._blocked = set()
        self._protected_gangs = 0

    def _make_limits(self, now: float) -> UnitLimits:
        return UnitLimits(
            self._core, self._view, self._waiting, now, reclaim_s=self._reclaim_s
        )

    def _end_pass(self, *, interrupted: bool) -> None:
        self.interrupted = interrupted
        if not interrupted:
            self._tried.clear()

    def _list_candidates(self, unit: Unit) -> list[Candidate]:
        """Return the workers of the unit's pool.

        What narrows them further must return the same objects, as their free capacity
        is that of the whole pass.
        """
        return self._view.list_pool(self._waiting.find_pool(unit.job))

    def _plan_unit(self, unit: Unit, now: float) -> bool:
        """Place a unit, or make room for it; return whether it was given workers."""
        pool = self._list_candidates(unit)
        reservation = self._reservations.find(unit)
        if reservation is not None:
            if not self._core.advice.may_start(unit, reservation.workers, now):
                return False
            return self._use_reservation(unit, reservation, pool)
        pool = self._core.advice.narrow(unit, pool, now)
        demand = self._limits.describe_demand(
            unit, run_time_s=self._estimates.estimate_run(unit)
        )
        held: Collection[str] = ()
        if demand.run_time_s != ANY_WORKER_S:
            held = self._strategies.headroom.list_held(unit, demand.pool, pool)
            demand = dataclasses.replace(demand, held_back=bool(held))
        in_time = self._strategies.fit.list_in_time(unit, pool)
        workers = None
        if in_time is not None and not unit.charged:
            avoided = self._limits.list_avoided(unit, in_time)
            workers = self._placer.place_within(unit, in_time, demand, avoided)
            if workers is None and self._preempt_for(unit, in_time, now, wanted=True):
                return False
        if workers is None and not self._shortages.rules_out(demand):
            workers = self._place(unit, pool, now, demand, held)
        if workers is not None:
            self._plan(unit, workers)
            return True
        if not (unit.avoided or unit.charged):
            # Otherwise the unit may wait for a worker that only it avoids.
            self._blocked.add(name_step(unit))
        if not awaits_isolation(unit, now) and not self._preempt_for(unit, pool, now):
            self._protect(unit, pool, now)
        return False

    def _protect(self, unit: Unit, pool: list[Candidate], now: float) -> None:
        """Limit backfilling in front of a waiting gang."""
        if len(unit.indices) == 1 or self._protected_gangs >= MAX_PROTECTED_GANGS:
            return
        pool_name = self._waiting.find_pool(unit.job)
        if not unit.step.one_rack or self._limits.needs_one_rack(unit, pool_name):
            avoided = self._limits.list_avoided(unit, pool)
            self._protected_gangs += self._estimates.limit_backfill(
                unit, pool, now, avoided=avoided
            )

    def _use_reservation(
        self, unit: Unit, reservation: Reservation, pool: Sequence[Candidate]
    ) -> bool:
        if not is_capacity_free(reservation, pool):
            return False
        self._reservations.drop(unit)
        if not list_filled(unit).isdisjoint(reservation.workers):
            # Another task of the step was placed there meanwhile.
            return False
        self._core.plan_run(unit, reservation.workers)
        self._estimates.invalidate(unit)
        return True

    def _place(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        demand: Demand,
        held: Collection[str],
    ) -> list[str] | None:
        single = self._place_single(unit, pool, demand, held)
        if single is not None:
            return [single]
        if demand.run_time_s == ANY_WORKER_S:
            pool = [dataclasses.replace(c, backfill_window_s=math.inf) for c in pool]
        if unit.charged:
            return self._placer.place_apart(unit, pool, now, demand)
        avoided = self._limits.list_avoided(unit, pool)
        found = self._placer.place_within(unit, pool, demand, avoided.union(held))
        if found is None:
            limited = bool(avoided) or self._core.advice.covers(unit)
            self._shortages.record(demand, unit.step, has_exclusions=limited)
        return found

    def _place_single(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        demand: Demand,
        held: Collection[str],
    ) -> str | None:
        """Return the worker for a single task, or None if that is not quickly found."""
        if len(unit.indices) > 1 or unit.avoided or unit.charged:
            return None
        taken, run_time_s = count_taken(unit), demand.run_time_s
        if self._filling is None or self._filling.step_key != name_step(unit):
            preference = self._strategies.fit.choose_preference(unit, pool)
            self._filling = Filling(
                unit, pool, taken, preference, run_time_s=run_time_s
            )
        return self._filling.choose(unit, taken, run_time_s=run_time_s, held=held)

    def _plan(self, unit: Unit, workers: Sequence[str]) -> None:
        apart = is_suspect(unit)
        members = [self._view.by_id[worker_id] for worker_id in workers]
        for candidate in members:
            candidate.free = Resources() if apart else candidate.free - unit.step.need
        if self._filling is not None and self._filling.step_key != name_step(unit):
            self._filling = None
        self._core.plan_run(unit, workers)
        self._estimates.invalidate(unit)
        fit, pool = self._strategies.fit, self._list_candidates(unit)
        inputs = fit.describe_choice(unit, pool, members)
        if inputs:
            self._core.note("placed by slack", **inputs)

    def _preempt_for(
        self, unit: Unit, pool: list[Candidate], now: float, *, wanted: bool = False
    ) -> bool:
        """Make room on workers of ``pool``, which are needed or only ``wanted``."""
        if unit.job.accepted.priority != 0:
            return False
        found = self._strategies.victims.choose(
            unit,
            pool,
            now,
            avoided=self._limits.list_avoided(unit, pool).union(
                list_filled(unit, self._reservations.list_reserved(unit))
            ),
            spread_allowed=self._limits.may_spread(unit),
            may_start_elsewhere=wanted,
        )
        if found is None:
            return False
        self._core.note(
            "room made",
            job=unit.job.accepted.job_id,
            victims=sorted({v.job.accepted.job_id for v in found.victims}),
            cost_core_s=round(found.cost, 1),
            waited_s=round(now - unit.ready_at, 3),
            guaranteed=is_guaranteed(self._core, unit),
        )
        for victim in found.victims:
            self._stop(victim, now)
            victim.backoff_until = now + PREEMPTED_BACKOFF_S
        self._reservations.add(unit, reserve_workers(found, now))
        for worker_id in found.workers:
            candidate = self._view.by_id[worker_id]
            candidate.free = candidate.free - unit.step.need
        self._filling = None
        return True
