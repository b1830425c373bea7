"""Count the work that was lost, by the cause of the stop."""

import dataclasses
from collections.abc import Iterable

from .history import JobHistory, UnitRun

CAUSES = {
    "room made": "preempted for urgent work",
    "moved off a draining worker": "moved",
    "gang aborted": "gang aborted",
    "worker lost": "worker lost",
    "runs lapsed": "lapsed",
    "run stands still": "stood still",
    "cancelled": "cancelled",
    "failed": "job failed",
}
"""The cause that a decision about a job or a worker stands for."""

ENDINGS = ("failed", "lapsed", "alone", "broken")
"""Endings that are causes by themselves, the first ones before the others: a gang of
which one member failed is ``broken`` for the others."""

UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class Waste:
    """Lost runs of one cause.

    ``saved_core_s`` is the part of ``core_s`` of runs that had saved a checkpoint, of
    which some was not lost. ``unsized_runs`` have no line of their cores: one core for
    each member was counted.
    """

    cause: str
    runs: int = 0
    core_s: float = 0.0
    saved_core_s: float = 0.0
    unsized_runs: int = 0


def find_stop_cause(run: UnitRun) -> str:
    """Return why a run was lost."""
    ending = next((how for how in ENDINGS if how in run.hows), None)
    if ending in ("failed", "lapsed", "alone"):
        return ending
    return CAUSES.get(run.reason) or ending or UNKNOWN


def count_waste(histories: Iterable[JobHistory]) -> list[Waste]:
    """Return the lost work by cause, the largest first."""
    found: dict[str, Waste] = {}
    for history in histories:
        for run in filter(lambda run: run.lost, history.runs.values()):
            cause = find_stop_cause(run)
            _add(found.setdefault(cause, Waste(cause)), run)
    return sorted(found.values(), key=lambda waste: -waste.core_s)


def _add(waste: Waste, run: UnitRun) -> None:
    waste.runs += 1
    waste.unsized_runs += run.cores is None
    # Without a line of its begin, a run counts from its plan, some ms before.
    since = run.began_at if run.began_at is not None else run.first_known_at
    cores = 1.0 if run.cores is None else run.cores
    core_s = max(0.0, (run.ended_at or since) - since) * cores * run.members
    waste.core_s += core_s
    waste.saved_core_s += core_s if run.saved else 0.0
