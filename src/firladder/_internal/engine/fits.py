"""Which workers waiting work takes first."""

from collections.abc import Sequence

from .placement import Candidate
from .pool_view import PoolView
from .preferences import BEST_FIT, FAST_FIRST, Preference
from .state import Unit
from .strategy_kinds import FITS, PlannerSettings


@FITS.register("best_fit")
class BestFit:
    """Best fit for all work, after the worker's speed for urgent work."""

    def __init__(self, settings: PlannerSettings) -> None:
        """Take no setting."""

    def begin_pass(self, view: PoolView, now: float, wall: float) -> None:
        """Start a pass; nothing is kept for it."""

    def choose_preference(self, unit: Unit, pool: Sequence[Candidate]) -> Preference:
        """Return the preference for fast workers if the unit is urgent."""
        return FAST_FIRST if unit.job.accepted.priority == 0 else BEST_FIT
