"""Reference planners that are told the true speeds of a day's workers.

They show what a strategy can gain at most when profiles are good. Leaders never run
them: they have to learn the speeds.
"""

from collections.abc import Mapping

from ..engine.machines import WorkerProfile
from ..engine.planning import Planner
from ..engine.profiles import Profiles
from ..engine.slow_phases import Note
from ..engine.strategies import StrategyNames
from .day_jobs import Day
from .day_policies import PLANNERS


class KnownProfiles(Profiles):
    """Profiles with the true slowness of each worker."""

    def __init__(self, slowdowns: Mapping[str, float], note: Note) -> None:
        """Return the slowness in ``slowdowns``."""
        super().__init__(note)
        self._slowdowns = slowdowns

    def find(self, worker_id: str, now: float) -> WorkerProfile:
        """Return the profile of a worker whose speed is known exactly."""
        return WorkerProfile(self._slowdowns.get(worker_id, 1.0), measured=True)


@PLANNERS.register("speeds_known")
class SpeedsKnown(Planner):
    """The engine's planner with the true speeds."""

    def know_day(self, day: Day) -> None:
        """Use the speeds of the day's workers."""
        self._core.profiles = KnownProfiles(day.slowdowns, self._core.note)


@PLANNERS.register("speeds_known_best_fit")
class SpeedsKnownBestFit(SpeedsKnown):
    """The true speeds with best fit for all work."""

    strategy_names = StrategyNames(fit="best_fit")
