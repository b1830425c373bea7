"""Choose the units that must be moved off draining workers."""

from collections.abc import Iterator

from .core import Core
from .estimates import Estimates
from .state import Phase, Unit, UnitState
from .strategy_kinds import MOVES, PlannerSettings

CHECKPOINT_STOP_S = 0.8
"""How long before a worker leaves work that saves checkpoints is stopped there: the
stop takes up to 0.2 s, and a poll must still report its end and checkpoint."""

DRAIN_SLACK_S = 1.0
"""How much longer than the minimum that it announces a draining worker is assumed to
stay; it usually stays a little longer."""


@MOVES.register("off_draining")
class OffDraining:
    """Moves units off draining workers that leave before the units are done.

    Load: a rolling update, and workers that are withdrawn at short notice.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Judge by the estimates of ``settings``."""
        self._core = settings.core
        self._estimates = settings.estimates

    def list_units(self, now: float) -> Iterator[Unit]:
        """Yield the units that must be stopped now."""
        return list_units_to_move(self._core, self._estimates, now)


def list_units_to_move(core: Core, estimates: Estimates, now: float) -> Iterator[Unit]:
    """Yield the units that must be stopped now; stop each before asking for the next.

    Workers are replaced in a rolling update or withdrawn at short notice. What still
    runs there when they leave is lost, and counts as lost only when its lease has
    expired. Work that saves checkpoints is stopped at the last moment; work that
    would lose everything anyway is stopped at once.
    """
    for worker in list(core.workers.values()):
        left_s = worker.measure_time_left(now)
        if left_s is None or not worker.reachable:
            continue
        for placement in list(worker.placements.values()):
            unit = placement.unit
            if unit is None or placement.phase is not Phase.ACTIVE:
                continue
            if unit.state is not UnitState.BUSY:
                continue
            if _must_move(unit, estimates.estimate_remaining(unit, now), left_s):
                core.note(
                    "moved off a draining worker",
                    job=unit.job.accepted.job_id,
                    worker=worker.worker_id,
                    leaves_in_s=round(left_s, 2),
                )
                yield unit


def _must_move(unit: Unit, needed_s: float, left_s: float) -> bool:
    if needed_s <= left_s:
        return False
    if unit.step.checkpoints:
        return left_s < CHECKPOINT_STOP_S
    return needed_s > left_s + DRAIN_SLACK_S
