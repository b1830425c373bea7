"""Run planners over days with the same seeds, and tabulate the outcomes."""

import statistics
from collections.abc import Sequence

from .day_driver import DayDriver, DayOutcome
from .day_loads import DAYS
from .day_policies import PLANNERS
from .reference_planners import prepare_driver

KINDS = ("urgent", "heavy", "small")
CAUSES = (
    "waited for capacity",
    "preempted or lost",
    "spread over racks",
    "never started",
)


def simulate_days(day: str, planner: str, seeds: Sequence[int]) -> list[DayOutcome]:
    """Simulate a registered day under a registered planner, once per seed."""
    make_day, kind = DAYS.find(day), PLANNERS.find(planner)
    if make_day is None or kind is None:
        raise ValueError(f"no day {day!r} or planner {planner!r}")
    days = [make_day(seed) for seed in seeds]
    return [prepare_driver(DayDriver(day, kind), day).run() for day in days]


def format_header() -> str:
    """Return the header of the table."""
    names = ["day", "planner", "earned", *KINDS]
    names += [f"missed: {cause}" for cause in CAUSES]
    names += ["lost core-s", "preemptions", "worst windows"]
    return f"| {' | '.join(names)} |\n|{' --- |' * len(names)}\n"


def format_row(day: str, planner: str, outcomes: Sequence[DayOutcome]) -> str:
    """Return a row: shares of the full worth, and means over the seeds."""
    full_worth = sum(o.full_worth for o in outcomes)
    cells = [day, planner, f"{sum(o.earned for o in outcomes) / full_worth:.3f}"]
    cells += [
        f"{statistics.mean(o.by_kind.get(kind, 1.0) for o in outcomes):.3f}"
        for kind in KINDS
    ]
    cells += [
        f"{sum(o.missed_by.get(cause, 0.0) for o in outcomes) / full_worth:.3f}"
        for cause in CAUSES
    ]
    cells.append(f"{statistics.mean(o.lost_core_s for o in outcomes):.0f}")
    cells.append(f"{statistics.mean(o.preemptions for o in outcomes):.1f}")
    cells.append(f"{statistics.mean(o.worst_window_share for o in outcomes):.3f}")
    return f"| {' | '.join(cells)} |\n"
