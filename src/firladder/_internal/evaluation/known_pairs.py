"""Planners that whole days, or earlier offline runs, have compared with the engine's.

Simulated days decide between ways of planning only if they rank these as whole days do.
Each planner differs from "best_fit" in one decision.
"""

import dataclasses
import math
import statistics
from collections.abc import Callable, Collection, Mapping, Sequence
from types import MappingProxyType

from ..engine.core import Core
from ..engine.fits import BestFit
from ..engine.placement import Candidate
from ..engine.planning import Planner
from ..engine.preferences import FAST_FIRST, Preference
from ..engine.profiles import UNKNOWN, WorkerProfile
from ..engine.shortages import Demand
from ..engine.state import Placement, Unit
from ..engine.strategies import StrategyNames
from ..engine.strategy_kinds import FITS
from .day_jobs import Day
from .day_policies import PLANNERS

WORKER_VARIANCE = 0.42**2
"""Variance of the logarithm of the workers' slowness in a pool of 0.6, 1.0 and 1.6."""

MAX_LOG_SLOWNESS = 0.6
"""Bound of that logarithm, which admits all three."""

TASK_VARIANCE = 0.15**2
DECLARED_VARIANCE = 1.0
LEARNING_RATE = 0.05
MIN_PERCENT = 25.0
"""As the engine learns speeds, which differs only in the two values above."""


BEFORE = StrategyNames(fit="best_fit", moves=("off_draining",), headroom="none")
"""The strategies of leaders when whole days were compared."""


@PLANNERS.register("best_fit")
class BestFitPlanner(Planner):
    """Plans by the strategies of leaders when whole days were compared."""

    strategy_names = BEFORE


@PLANNERS.register("late_last")
class LateLastPlanner(BestFitPlanner):
    """Plans late work last, as leaders do, without knowing any speed.

    Learned speeds differ by chance between two ways to order work.
    """

    def _list_candidates(self, unit: Unit) -> list[Candidate]:
        pool = super()._list_candidates(unit)
        for candidate in pool:
            candidate.profile = UNKNOWN
        return pool


@PLANNERS.register("arrival_order")
class ArrivalOrderPlanner(LateLastPlanner):
    """Plans the work of a priority in the order of arrival, also what is late."""

    strategy_names = dataclasses.replace(BEFORE, order="priority_arrival")


@FITS.register("fast_first")
class FastFirstFit(BestFit):
    """Fast workers first for all work."""

    def choose_preference(self, unit: Unit, pool: Sequence[Candidate]) -> Preference:
        """Return the preference for fast workers."""
        return FAST_FIRST


class SlowFirstPlanner(Planner):
    """Gives lower-priority work the slow workers first, and urgent work the fast."""

    strategy_names = dataclasses.replace(BEFORE, fit="fast_first")

    def __init__(self, core: Core, *, reclaim_s: float, restart_s: float) -> None:
        """Plan for ``core``."""
        super().__init__(core, reclaim_s=reclaim_s, restart_s=restart_s)
        self._ranks: dict[str, tuple[WorkerProfile, WorkerProfile]] = {}

    def _list_slowness(self) -> Mapping[str, float]:
        raise NotImplementedError

    def run_pass(
        self,
        *,
        now: float,
        wall: float,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> int:
        """Plan a pass with the speeds that are known now."""
        # Workers are ranked by rising slowness: by its inverse, the slowest come first.
        self._ranks = {
            worker_id: (WorkerProfile(slowness), WorkerProfile(1 / slowness))
            for worker_id, slowness in self._list_slowness().items()
        }
        return super().run_pass(now=now, wall=wall, may_continue=may_continue)

    def _place(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        now: float,
        demand: Demand,
        held: Collection[str],
    ) -> list[str] | None:
        lower = unit.job.accepted.priority > 0
        for candidate in pool:
            ranks = self._ranks.get(candidate.worker_id)
            candidate.profile = UNKNOWN if ranks is None else ranks[lower]
        return super()._place(unit, pool, now, demand, held)

    def _place_single(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        demand: Demand,
        held: Collection[str],
    ) -> str | None:
        return None


@PLANNERS.register("known_speeds_slow_first")
class KnownSpeedsPlanner(SlowFirstPlanner):
    """Knows all speeds from the start."""

    _slowdowns: Mapping[str, float] = MappingProxyType({})

    def know_day(self, day: Day) -> None:
        """Learn the speeds of the day's workers."""
        self._slowdowns = day.slowdowns

    def _list_slowness(self) -> Mapping[str, float]:
        return self._slowdowns


class _Estimate:
    """An estimated logarithm and its variance."""

    def __init__(self, value: float, variance: float) -> None:
        self.value = value
        self.variance = variance


class _Speeds:
    """Learns speeds from progress as the engine does, with a wider prior and bound."""

    def __init__(self) -> None:
        self._workers: dict[str, _Estimate] = {}
        self._steps: dict[tuple[str, int, int], _Estimate] = {}
        self._queues: dict[str, _Estimate] = {}
        self._seen: set[tuple[object, int]] = set()

    def list_slowness(self) -> dict[str, float]:
        """Return the run time of a task on each worker relative to the usual one."""
        if not self._workers:
            return {}
        mean = statistics.mean(e.value for e in self._workers.values())
        return {w: math.exp(e.value - mean) for w, e in self._workers.items()}

    def learn(self, placement: Placement) -> None:
        """Learn from the progress of an active task, once per task."""
        unit = placement.unit
        if unit is None or not unit.all_active or placement.key in self._seen:
            return
        if not MIN_PERCENT <= placement.percent < 100:
            return
        self._seen.add(placement.key)
        elapsed_s = placement.progressed_at - unit.active_since
        if elapsed_s <= 0:
            return
        log_run_time = math.log(elapsed_s * 100 / placement.percent)
        accepted = unit.job.accepted
        log_declared = math.log(max(unit.step.estimate_s, 0.01))
        queue = self._queues.setdefault(
            accepted.queue, _Estimate(0.0, DECLARED_VARIANCE)
        )
        step = self._steps.setdefault(
            (accepted.job_id, unit.occurrence, unit.step_index),
            _Estimate(log_declared + queue.value, queue.variance),
        )
        worker = self._workers.setdefault(
            placement.worker_id, _Estimate(0.0, WORKER_VARIANCE)
        )
        residual = log_run_time - step.value - worker.value
        total = step.variance + worker.variance + TASK_VARIANCE
        for estimate in (step, worker):
            share = estimate.variance / total
            estimate.value += share * residual
            estimate.variance *= 1 - share
        worker.value = max(-MAX_LOG_SLOWNESS, min(MAX_LOG_SLOWNESS, worker.value))
        bias = log_run_time - worker.value - log_declared - queue.value
        queue.value += LEARNING_RATE * bias
        queue.variance += LEARNING_RATE * (bias * bias - queue.variance)


@PLANNERS.register("wide_speeds_slow_first")
class WideSpeedsPlanner(SlowFirstPlanner):
    """Learns speeds with a wider prior."""

    def __init__(self, core: Core, *, reclaim_s: float, restart_s: float) -> None:
        """Plan for ``core``, without knowing any speed."""
        super().__init__(core, reclaim_s=reclaim_s, restart_s=restart_s)
        self._speeds = _Speeds()

    def _list_slowness(self) -> Mapping[str, float]:
        for worker in self._core.workers.values():
            for placement in worker.placements.values():
                self._speeds.learn(placement)
        return self._speeds.list_slowness()
