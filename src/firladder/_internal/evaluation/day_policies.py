"""Ways to plan a day: the planner as it is, its parts left out, and baselines."""

from collections.abc import Callable, Sequence

from ..engine.core import Core
from ..engine.placement import Candidate
from ..engine.planning import Planner
from ..engine.state import Unit
from ..policies.registry import Registry

RECLAIM_S = 3.4
"""Seconds within which guaranteed work must begin on the larger hvk site."""

PLANNERS: Registry[Callable[[Core], Planner]] = Registry("planner")
"""Each makes a planner for a core."""


@PLANNERS.register("engine")
def make_engine(core: Core) -> Planner:
    """Return the planner that leaders run."""
    return Planner(core, reclaim_s=RECLAIM_S)


@PLANNERS.register("impatient")
def make_impatient(core: Core) -> Planner:
    """Return a planner that reclaims guaranteed accelerators at once."""
    return ImpatientPlanner(core, reclaim_s=RECLAIM_S)


@PLANNERS.register("easy_backfill")
def make_easy_backfill(core: Core) -> Planner:
    """Return a planner that evicts nothing and keeps room for waiting gangs."""
    return BackfillPlanner(core, reclaim_s=RECLAIM_S)


@PLANNERS.register("first_come")
def make_first_come(core: Core) -> Planner:
    """Return a planner that evicts nothing and lets nobody overtake."""
    return FirstComePlanner(core, reclaim_s=RECLAIM_S)


class ImpatientPlanner(Planner):
    """Reclaims at once, whatever is lost."""

    def _must_reclaim(self, unit: Unit, now: float) -> bool:
        return self._is_guaranteed(unit)


class BackfillPlanner(Planner):
    """First come first served, with room kept for waiting gangs; evicts nothing."""

    def _make_room(self, unit: Unit, pool: list[Candidate], now: float) -> bool:
        return False

    def _rank(self, unit: Unit, wall: float) -> tuple[float, ...]:
        return (unit.job.accepted.accepted_at_s, unit.step_index, unit.indices[0])


class FirstComePlanner(BackfillPlanner):
    """Nothing begins while something that came before it waits."""

    _closed = False

    def run_pass(self, *, now: float, wall: float) -> int:
        """Plan a pass in which the first unit without room closes the pool."""
        self._closed = False
        return super().run_pass(now=now, wall=wall)

    def _place(
        self, unit: Unit, pool: Sequence[Candidate], now: float
    ) -> list[str] | None:
        if self._closed:
            return None
        found = super()._place(unit, pool, now)
        self._closed = found is None
        return found
