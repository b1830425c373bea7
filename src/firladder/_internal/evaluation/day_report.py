"""Run planners over days with the same seeds, and put the outcomes in a table."""

import statistics
from collections.abc import Sequence

from .day_driver import DayDriver, DayOutcome
from .day_loads import DAYS
from .day_policies import PLANNERS

KINDS = ("urgent", "heavy", "small")
CAUSES = ("waited for room", "evicted or lost", "spread over racks", "never begun")


def simulate_days(day: str, planner: str, seeds: Sequence[int]) -> list[DayOutcome]:
    """Play a registered day under a registered planner, once a seed."""
    make_day, kind = DAYS.find(day), PLANNERS.find(planner)
    if make_day is None or kind is None:
        raise ValueError(f"no day {day!r} or planner {planner!r}")
    return [DayDriver(make_day(seed), kind).run() for seed in seeds]


def format_header() -> str:
    """Return the head of the table."""
    names = ["day", "planner", "earned", *KINDS]
    names += [f"missed: {cause}" for cause in CAUSES]
    names += ["lost core-s", "evictions", "worst windows"]
    return f"| {' | '.join(names)} |\n|{' --- |' * len(names)}\n"


def format_row(day: str, planner: str, outcomes: Sequence[DayOutcome]) -> str:
    """Return a row: shares of the worth owed, and means over the seeds."""
    owed = sum(o.owed for o in outcomes)
    cells = [day, planner, f"{sum(o.earned for o in outcomes) / owed:.3f}"]
    cells += [
        f"{statistics.mean(o.by_kind.get(kind, 1.0) for o in outcomes):.3f}"
        for kind in KINDS
    ]
    cells += [
        f"{sum(o.missed_by.get(cause, 0.0) for o in outcomes) / owed:.3f}"
        for cause in CAUSES
    ]
    cells.append(f"{statistics.mean(o.lost_core_s for o in outcomes):.0f}")
    cells.append(f"{statistics.mean(o.preemptions for o in outcomes):.1f}")
    cells.append(f"{statistics.mean(o.worst for o in outcomes):.3f}")
    return f"| {' | '.join(cells)} |\n"
