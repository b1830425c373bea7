"""Run planners over days with the same seeds, and tabulate the outcomes."""

import json
import statistics
from collections.abc import Callable, Iterator, Sequence

from . import known_pairs, reference_planners  # noqa: F401
from .day_driver import DayDriver
from .day_loads import DAYS
from .day_outcomes import DayOutcome
from .day_policies import PLANNERS

KINDS = ("urgent", "heavy", "small")
CAUSES = (
    "waited for capacity",
    "preempted or lost",
    "spread over racks",
    "never started",
    "slow worker",
    "failed run",
    "store away",
    "leader away",
)
MEANS: tuple[tuple[str, str, Callable[[DayOutcome], float]], ...] = (
    ("lost core-s", ".0f", lambda outcome: outcome.lost_core_s),
    ("preemptions", ".1f", lambda outcome: outcome.preemptions),
    ("worst windows", ".3f", lambda outcome: outcome.worst_window_share),
    ("worst organisations", ".3f", lambda outcome: outcome.worst_organisation_share),
    ("worst kind", ".3f", lambda outcome: outcome.worst_kind_share),
)
"""Columns that are means over the seeds: their name, format and value."""


def simulate_days(day: str, planner: str, seeds: Sequence[int]) -> list[DayOutcome]:
    """Simulate a registered day under a registered planner, once per seed."""
    make_day, kind = DAYS.find(day), PLANNERS.find(planner)
    if make_day is None or kind is None:
        raise ValueError(f"no day {day!r} or planner {planner!r}")
    days = [make_day(seed) for seed in seeds]
    return [DayDriver(day, kind).run() for day in days]


def format_header() -> str:
    """Return the header of the table."""
    names = ["day", "planner", "earned", *KINDS]
    names += [f"missed: {cause}" for cause in CAUSES]
    names += [name for name, _, _ in MEANS]
    return f"| {' | '.join(names)} |\n|{' --- |' * len(names)}\n"


def format_row(day: str, planner: str, outcomes: Sequence[DayOutcome]) -> str:
    """Return a row: shares of the full worth, and means over the seeds."""
    cells = [f"{value:{form}}" for _, form, value in _list_values(outcomes)]
    return f"| {' | '.join([day, planner, *cells])} |\n"


def format_json(day: str, planner: str, outcomes: Sequence[DayOutcome]) -> str:
    """Return the values of a row as one line of JSON, and the share of each seed."""
    values = {name: value for name, _, value in _list_values(outcomes)}
    by_seed = [o.earned / o.full_worth for o in outcomes]
    row = {"day": day, "planner": planner, **values, "earned by seed": by_seed}
    return json.dumps(row) + "\n"


def _list_values(outcomes: Sequence[DayOutcome]) -> Iterator[tuple[str, str, float]]:
    """Yield the name, format and value of each column."""
    full_worth = sum(o.full_worth for o in outcomes)
    yield "earned", ".3f", sum(o.earned for o in outcomes) / full_worth
    for kind in KINDS:
        yield kind, ".3f", statistics.mean(o.by_kind.get(kind, 1.0) for o in outcomes)
    for cause in CAUSES:
        missed = sum(o.missed_by.get(cause, 0.0) for o in outcomes)
        yield f"missed: {cause}", ".3f", missed / full_worth
    for name, form, find in MEANS:
        yield name, form, statistics.mean(map(find, outcomes))
