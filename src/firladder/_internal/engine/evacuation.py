"""Choose the work that must move off workers which leave."""

from collections.abc import Iterator

from .core import Core
from .estimates import Estimates
from .state import Phase, Unit, UnitState

CHECKPOINT_STOP_S = 0.8
"""Seconds before a worker leaves at which work that saves its progress is stopped:
the stop takes up to 0.2 s, and a look must still see its end and checkpoint."""

DRAIN_SLACK_S = 1.0
"""Seconds that a worker is taken to stay beyond the least that it names; mostly it
is a little longer."""


def list_units_to_move(core: Core, estimates: Estimates, now: float) -> Iterator[Unit]:
    """Yield the units that must be stopped now.

    Answers workers that are replaced in turn or taken away at short notice: what still
    runs there when they go is lost, and known to be lost only when its lease has ended.
    Work that saves its progress is stopped at the last moment, work that loses
    everything anyway at once. Each unit is to be stopped before the next is asked for.
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
