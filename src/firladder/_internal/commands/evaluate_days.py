"""Evaluate planners of the scheduling core over seeded days."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.exit_codes import EXIT_OK
from ..evaluation import headroom_planners
from ..evaluation.day_loads import DAYS
from ..evaluation.day_policies import PLANNERS
from ..evaluation.day_report import (
    format_header,
    format_json,
    format_row,
    simulate_days,
)
from ..utils.settings import ResolvedSetting, Setting, check_choice, check_text
from .evaluate import check_names, read_numbers
from .registry import Command

CATALOGUE = (headroom_planners,)
"""The modules whose planners are registered when they are imported."""


class EvaluateDaysCommand(Command):
    """Compare planners of steps of tasks side by side, with the same seeds."""

    name = "evaluate_days"
    settings = (
        Setting("days", check_text, "days to play, or all", "small_pool"),
        Setting("planners", check_text, "planners to compare, or all", "all"),
        Setting("day_seeds", check_text, "seeds, separated by commas", "1,2,3"),
        Setting("format", check_choice("text", "json"), "form of the output", "text"),
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print a row for each day and planner, as soon as it is known."""
        days = _choose("days", settings["days"].value, DAYS.list_names())
        known = PLANNERS.list_names()
        planners = _choose("planners", settings["planners"].value, known)
        seeds = read_numbers("day_seeds", settings["day_seeds"].value)
        as_json = settings["format"].value == "json"
        sys.stdout.write("" if as_json else format_header())
        format_outcomes = format_json if as_json else format_row
        for day in days:
            for planner in planners:
                outcomes = simulate_days(day, planner, seeds)
                sys.stdout.write(format_outcomes(day, planner, outcomes))
                sys.stdout.flush()
        return EXIT_OK


def _choose(setting: str, wanted: str, known: Sequence[str]) -> Sequence[str]:
    if wanted == "all":
        return known
    names = wanted.split(",")
    check_names(setting, names, known)
    return names
