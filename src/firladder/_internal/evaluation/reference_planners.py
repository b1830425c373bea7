"""Reference planners that are told the true speeds of a day's workers.

They show what a strategy can gain at most when profiles are good. Leaders never run
them: they have to learn the speeds.
"""

from collections.abc import Mapping

from ..engine.planning import Planner
from ..engine.profiles import Profiles, WorkerProfile
from ..engine.speeds import Speeds
from ..engine.strategies import StrategyNames
from .day_driver import DayDriver
from .day_loads import Day
from .day_policies import PLANNERS


class KnownProfiles(Profiles):
    """Profiles with the true slowness of each worker."""

    def __init__(self, slowdowns: Mapping[str, float]) -> None:
        """Return the slowness in ``slowdowns``."""
        super().__init__(Speeds())
        self._slowdowns = slowdowns

    def find(self, worker_id: str, now: float) -> WorkerProfile:
        """Return the profile of a worker whose speed is known exactly."""
        return WorkerProfile(self._slowdowns.get(worker_id, 1.0), measured=True)


class SpeedsKnown(Planner):
    """The engine's planner with the true speeds."""


class SpeedsKnownBestFit(Planner):
    """The true speeds with best fit for all work."""

    strategy_names = StrategyNames(fit="best_fit")


PLANNERS.register("speeds_known")(SpeedsKnown)
PLANNERS.register("speeds_known_best_fit")(SpeedsKnownBestFit)


def prepare_driver(driver: DayDriver, day: Day) -> DayDriver:
    """Tell the driver's core the true speeds if its planner knows them."""
    if isinstance(driver.planner, SpeedsKnown | SpeedsKnownBestFit):
        driver.core.profiles = KnownProfiles(day.slowdowns)
    return driver
