"""Tell which urgent work can no longer be in time."""

from ..models.workload import AcceptedJob

VERY_LATE_FACTOR = 4.0
"""Multiples of its objective after which late urgent work goes first again;
three times the objective is still of some use to whoever waits."""


def is_late(accepted: AcceptedJob, *, run_time_s: float, age_s: float) -> bool:
    """Tell whether work that takes ``run_time_s`` more can no longer be in time.

    Answers a burst of urgent jobs beyond the room: in the order of arrival each would
    wait behind those that are late already, and all would be late. Late work follows,
    in its order; very late work goes first again, so that nothing waits for ever.
    """
    objective_s = accepted.stretch * run_time_s + accepted.slo_s
    return objective_s < age_s + run_time_s and age_s < VERY_LATE_FACTOR * objective_s
