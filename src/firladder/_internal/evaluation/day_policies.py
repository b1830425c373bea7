"""Planners for simulated days: the engine's, variants of it, and baselines."""

from collections.abc import Callable, Sequence

from ..engine.placement import Candidate
from ..engine.planning import Planner
from ..engine.shortages import Demand
from ..engine.state import Unit
from ..policies.registry import Registry

PLANNERS: Registry[type[Planner]] = Registry("planner")
"""Planners by name; leaders run "engine"."""

PLANNERS.register("engine")(Planner)


@PLANNERS.register("impatient")
class EagerReclaimPlanner(Planner):
    """Reclaims at once, without regard to the work that is lost."""

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        return self._is_guaranteed(unit)


@PLANNERS.register("easy_backfill")
class BackfillPlanner(Planner):
    """First come, first served, with reservations for gangs and no preemption."""

    def _preempt_for(self, unit: Unit, pool: list[Candidate], now: float) -> bool:
        return False

    def _rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        return (unit.job.accepted.accepted_at_s, unit.step_index, unit.indices[0])


@PLANNERS.register("first_come")
class FirstComePlanner(BackfillPlanner):
    """First come, first served: nothing starts before an earlier arrival."""

    _blocked = False

    def run_pass(
        self,
        *,
        now: float,
        wall: float,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> int:
        """Plan a pass that stops at the first unit that cannot be placed."""
        self._blocked = False
        return super().run_pass(now=now, wall=wall, may_continue=may_continue)

    def _place(
        self, unit: Unit, pool: Sequence[Candidate], now: float, demand: Demand
    ) -> list[str] | None:
        if self._blocked:
            return None
        found = super()._place(unit, pool, now, demand)
        self._blocked = found is None
        return found
