"""Place one unit on the workers of a pass, by the planner's fit and its limits."""

from collections.abc import Sequence

from .core import Core
from .isolation import list_apart
from .placement import Candidate, fits_one_rack, place_unit
from .shortages import Demand
from .state import Unit
from .strategy_kinds import Fit
from .unit_limits import UnitLimits, count_taken


class UnitPlacer:
    """Finds workers for all tasks of a unit in one pass."""

    def __init__(self, core: Core, fit: Fit, limits: UnitLimits) -> None:
        """Place by the preferences of ``fit`` within ``limits``."""
        self._core = core
        self._fit = fit
        self._limits = limits

    def place_within(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        demand: Demand,
        avoided: set[str],
    ) -> list[str] | None:
        """Return a worker for each task of a unit, or None."""
        return place_unit(
            unit.step,
            demand.count,
            pool,
            avoided=avoided,
            taken=count_taken(unit),
            spread_allowed=self._limits.may_spread(unit),
            run_time_s=max(0.0, demand.run_time_s),
            preference=self._fit.choose_preference(unit, pool),
        )

    def place_apart(
        self, unit: Unit, pool: Sequence[Candidate], now: float, demand: Demand
    ) -> list[str] | None:
        """Return workers for a unit that was charged with crashes."""
        for option in list_apart(unit, pool, self._core, now):
            if demand.one_rack and not fits_one_rack(unit.step, demand.count, option):
                continue
            avoided = self._limits.list_avoided(unit, option)
            found = self.place_within(unit, option, demand, avoided)
            if found is not None:
                return found
        return None
