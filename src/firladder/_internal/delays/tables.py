"""Tabulate the delays of jobs by queue, organisation, domain, window and cause."""

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from .attribution import NO_CAUSE, JobDelay
from .history import Day
from .lines import Reader
from .verdicts import Verdict
from .waste import Waste

WINDOW_S = 2.0
"""Seconds of a window of first submissions: disruptions of a day last a few seconds."""

MISSING = "(not logged)"


@dataclasses.dataclass(slots=True)
class Group:
    """The verdicts on a group's jobs, and the main causes of the delayed ones."""

    name: str
    verdicts: Counter[str] = dataclasses.field(default_factory=Counter)
    causes: Counter[str] = dataclasses.field(default_factory=Counter)


def _name_window(delay: JobDelay, origin: float) -> str:
    first = delay.history.first_try_at
    if first is None:
        return MISSING
    begin = (first - origin) // WINDOW_S * WINDOW_S
    return f"{begin:.0f} to {begin + WINDOW_S:.0f} s"


DIMENSIONS: Mapping[str, Callable[[JobDelay, float], str]] = {
    "queue": lambda delay, _: delay.history.queue or MISSING,
    "organisation": lambda delay, _: delay.history.organisation or MISSING,
    "domain": lambda delay, _: delay.history.domain or MISSING,
    "window": _name_window,
    "cause": lambda delay, _: delay.cause,
}


def group_delays(
    delays: Iterable[JobDelay], dimension: str, origin: float
) -> list[Group]:
    """Return the groups of jobs, in the order of the first submissions.

    Windows are counted from ``origin`` (Unix seconds).
    """
    name_group = DIMENSIONS[dimension]
    groups: dict[str, Group] = {}
    for delay in sorted(delays, key=lambda d: d.history.first_try_at or 0.0):
        name = name_group(delay, origin)
        group = groups.setdefault(name, Group(name))
        group.verdicts[delay.verdict] += 1
        if delay.cause != NO_CAUSE:
            group.causes[delay.cause] += 1
    return list(groups.values())


def describe_job(delay: JobDelay, origin: float) -> dict[str, Any]:
    """Return one job with the times of all its stages, in seconds."""
    history = delay.history
    first = history.first_try_at
    return {
        "job": history.job,
        "queue": history.queue,
        "organisation": history.organisation,
        "domain": history.domain,
        "first_try_s": None if first is None else round(first - origin, 3),
        "verdict": str(delay.verdict),
        "cause": str(delay.cause),
        "age_s": round(delay.age_s, 3),
        "objective_s": _round(delay.objective_s),
        "runs": len(history.runs),
        "complete": history.complete,
        "stages": {str(s): round(t, 3) for s, t in delay.stages.items()},
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


def build_report(
    day: Day,
    delays: Sequence[JobDelay],
    waste: Iterable[Waste],
    reader: Reader,
    *,
    origin: float,
    top: int,
) -> dict[str, Any]:
    """Return all tables, with the ``top`` most delayed jobs in detail."""
    delayed = [d for d in delays if d.cause != NO_CAUSE]
    delayed.sort(key=lambda d: d.age_s - (d.objective_s or 0.0), reverse=True)
    return {
        "jobs": len(delays),
        "incomplete": sum(not d.history.complete for d in delays),
        "unknown_objective": sum(d.objective_s is None for d in delays),
        "lines_dropped": reader.dropped,
        "lines_unreadable": reader.unreadable,
        "lines_left_out": reader.left_out,
        "logs_span_s": round(day.ended_at - day.began_at, 3),
        "tables": {
            dimension: [
                {
                    dimension: group.name,
                    "verdicts": {str(v): group.verdicts[v] for v in Verdict},
                    "causes": {str(c): n for c, n in group.causes.most_common()},
                }
                for group in group_delays(delays, dimension, origin)
            ]
            for dimension in DIMENSIONS
        },
        "waste": [dataclasses.asdict(row) for row in waste],
        "top": [describe_job(delay, origin) for delay in delayed[:top]],
    }
