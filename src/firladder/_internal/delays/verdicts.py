"""Judge jobs by their latency objectives."""

import dataclasses
import enum
from collections.abc import Iterable

from .history import JobHistory


class Verdict(enum.StrEnum):
    """What became of a job.

    ``UNKNOWN`` is an end without a known objective, or none that is known yet.
    """

    IN_TIME = "in time"
    LATE = "late"
    LOST = "lost"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


DELAYED = frozenset((Verdict.LATE, Verdict.LOST, Verdict.REFUSED, Verdict.UNKNOWN))
"""The verdicts for which a cause is looked for."""


USE_FACTOR = 3.0
"""Multiple of its objective until which a result is of some use to its caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """The latency objective of a queue: ``stretch`` x work + ``slo_s``."""

    stretch: float
    slo_s: float


def learn_objectives(histories: Iterable[JobHistory]) -> dict[str, Objective]:
    """Return the objective of each queue of which some job's end tells it."""
    return {
        history.queue: Objective(history.stretch, history.slo_s)
        for history in histories
        if history.stretch is not None and history.slo_s is not None
    }


def judge(history: JobHistory, age_s: float, objective_s: float | None) -> Verdict:
    """Return what became of a job of this age, by its objective if it is known."""
    if history.stored_at is None and not history.runs and history.ended_at is None:
        return Verdict.REFUSED if history.refusals else Verdict.UNKNOWN
    if history.outcome == "cancelled" or (
        history.ended_at is None and history.cancelled_at is not None
    ):
        return Verdict.CANCELLED
    if history.ended_at is None and objective_s is not None:
        lost = age_s > USE_FACTOR * objective_s
        return Verdict.LOST if lost else Verdict.UNKNOWN
    if history.outcome != "completed":
        return Verdict.LOST
    if objective_s is None or history.first_try_at is None:
        return Verdict.UNKNOWN
    if age_s <= objective_s:
        return Verdict.IN_TIME
    return Verdict.LATE if age_s <= USE_FACTOR * objective_s else Verdict.LOST
