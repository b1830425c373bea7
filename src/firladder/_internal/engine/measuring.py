"""When to poll a worker before a run ends there, to learn how fast it is."""

import math

from .profiles import Profiles
from .state import Phase, Placement, Unit, Worker

USUAL_SD = 0.15
"""Standard deviation of a worker's log slowness from which it is measured. Urgent work
has half of its run time to spare, which three standard deviations use up."""

ENOUGH_PAIRS = 300
"""Pairs of tasks after which a pool whose workers cannot be distinguished is taken for
one of equal workers, where there is nothing to measure."""

MAX_RUN_TIME_VARIANCE = 0.5
"""Variance of a task's log run time up to which half of it can be foreseen: within a
factor of two."""

MEASURED_SHARE = 0.5
"""Share of a run at which it is measured: progress is then known to one part in a
hundred, and an expectation that is off by a third still falls within the run."""

LATEST_SHARE = 0.8
"""Share of a run until which an ordinary poll is early enough."""

START_DELAY_S = 0.1
"""Seconds until a task has begun whose start is on its way."""

MIN_WAIT_S = 0.1
"""Least seconds that a poll waits: progress changes little in less."""


def choose_wait(
    profiles: Profiles, worker: Worker, wait_s: float, now: float
) -> tuple[float, Placement | None]:
    """Return how long a poll may wait, and the task that it is to measure, or None.

    Urgent tasks take about as long as a poll waits, so that most end unmeasured, and
    the members of a gang end together, which says little of each worker. Polls are
    billed: each task is measured once at most, none where its worker is known or where
    an ordinary poll will show it in time.
    """
    if not profiles.is_uncertain(
        worker.worker_id, worker.entry.pool, sd=USUAL_SD, enough_pairs=ENOUGH_PAIRS
    ):
        return wait_s, None
    best: Placement | None = None
    for placement in worker.placements.values():
        due_s = _find_due(profiles, placement, wait_s, now)
        if due_s is not None and due_s < wait_s:
            wait_s, best = due_s, placement
    return wait_s, best


def _find_due(
    profiles: Profiles, placement: Placement, wait_s: float, now: float
) -> float | None:
    """Return in how many seconds a task is to be measured, or None."""
    unit = placement.unit
    if unit is None or not _may_be_measured(unit, placement):
        return None
    log_time, variance = profiles.predict_run_time(unit, placement.worker_id)
    if variance > MAX_RUN_TIME_VARIANCE:
        return None
    run_time_s = math.exp(log_time)
    began_at = unit.active_since if unit.all_active else now + START_DELAY_S
    elapsed_s = now - began_at
    if elapsed_s + wait_s < LATEST_SHARE * run_time_s:
        return None
    if elapsed_s > LATEST_SHARE * run_time_s:
        return None
    return max(MIN_WAIT_S, MEASURED_SHARE * run_time_s - elapsed_s)


def _may_be_measured(unit: Unit, placement: Placement) -> bool:
    if placement.measured_by_poll or unit.step.lasting or unit.checkpoint:
        return False
    sample = placement.sample
    if sample is not None and (sample.done or sample.log_time is not None):
        return False
    if placement.phase is Phase.SENT:
        return True
    return placement.phase is Phase.ACTIVE and placement.ran_from_start
