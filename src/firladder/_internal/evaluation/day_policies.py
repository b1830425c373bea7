"""Ways to plan a day: the planner as it is, its parts left out, and baselines."""

from collections.abc import Sequence

from ..engine.placement import Candidate
from ..engine.planning import Planner
from ..engine.shortages import Demand
from ..engine.state import Unit
from ..policies.registry import Registry

PLANNERS: Registry[type[Planner]] = Registry("planner")
"""Kinds of planners; "engine" is the one that leaders run."""

PLANNERS.register("engine")(Planner)


@PLANNERS.register("impatient")
class ImpatientPlanner(Planner):
    """Reclaims at once, whatever is lost."""

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        return self._is_guaranteed(unit)


@PLANNERS.register("easy_backfill")
class BackfillPlanner(Planner):
    """First come first served, with room kept for waiting gangs; evicts nothing."""

    def _preempt_for(self, unit: Unit, pool: list[Candidate], now: float) -> bool:
        return False

    def _rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        return (unit.job.accepted.accepted_at_s, unit.step_index, unit.indices[0])


@PLANNERS.register("first_come")
class FirstComePlanner(BackfillPlanner):
    """Nothing begins while something that came before it waits."""

    _closed = False

    def run_pass(self, *, now: float, wall: float) -> int:
        """Plan a pass in which the first unit without room closes the pool."""
        self._closed = False
        return super().run_pass(now=now, wall=wall)

    def _place(
        self, unit: Unit, pool: Sequence[Candidate], now: float, demand: Demand
    ) -> list[str] | None:
        if self._closed:
            return None
        found = super()._place(unit, pool, now, demand)
        self._closed = found is None
        return found
