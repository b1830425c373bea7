"""Decide which jobs can no longer meet their objective."""

from ..models.workload import AcceptedJob

VERY_LATE_FACTOR = 4.0
"""Multiple of its objective after which late work goes first again. A result after
three times the objective is still of some use to its caller."""


def is_late(accepted: AcceptedJob, *, run_time_s: float, age_s: float) -> bool:
    """Return whether work with ``run_time_s`` left can no longer be in time.

    In a burst of jobs that exceeds the capacity, each would otherwise wait behind jobs
    that are already late, and all would be late. Late jobs come after the others of
    their priority, in order of arrival; very late ones go first again, so that none
    waits for ever.
    """
    objective_s = accepted.stretch * run_time_s + accepted.slo_s
    return objective_s < age_s + run_time_s and age_s < VERY_LATE_FACTOR * objective_s
