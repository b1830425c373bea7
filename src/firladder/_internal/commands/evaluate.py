"""Evaluate placement policies under seeded loads."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.exit_codes import EXIT_OK
from ..evaluation.loads import LOADS
from ..evaluation.report import evaluate, format_table
from ..exceptions import SettingError
from ..policies.placement_catalogue import PLACEMENTS
from ..utils.settings import ResolvedSetting, Setting, check_text
from .registry import Command

DEFAULT_POLICIES = "first_fit,fcfs,easy_backfill,youngest_first,cells"


class EvaluateCommand(Command):
    """Compare placement policies side by side, with the same seeds."""

    name = "evaluate"
    settings = (
        Setting("loads", check_text, "loads to run, or all", "all"),
        Setting("policies", check_text, "policies to compare", DEFAULT_POLICIES),
        Setting("seeds", check_text, "seeds, separated by commas", "1,2"),
        Setting("racks", check_text, "racks in the failure domain: 1, 3 or 1,3", "1,3"),
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print a row for each load and policy."""
        wanted = settings["loads"].value
        loads = LOADS.list_names() if wanted == "all" else wanted.split(",")
        policies = settings["policies"].value.split(",")
        check_names("loads", loads, LOADS.list_names())
        check_names("policies", policies, PLACEMENTS.list_names())
        seeds = read_numbers("seeds", settings["seeds"].value)
        racks = read_numbers("racks", settings["racks"].value)
        outcomes = [
            evaluate(load, policy, seeds=seeds, racks=racks)
            for load in loads
            for policy in policies
        ]
        sys.stdout.write(format_table(outcomes))
        return EXIT_OK


def check_names(setting: str, names: Sequence[str], known: Sequence[str]) -> None:
    """Raise ``SettingError`` if one of ``names`` is not in ``known``."""
    if unknown := [n for n in names if n not in known]:
        raise SettingError(
            setting=f"--{setting}",
            reason=f"{unknown[0]!r} must be one of {', '.join(known)}",
        )


def read_numbers(setting: str, text: str) -> list[int]:
    """Return the integers in a comma-separated list, or raise ``SettingError``."""
    if not all(part.isdecimal() and int(part) > 0 for part in text.split(",")):
        raise SettingError(
            setting=f"--{setting}", reason="must be positive whole numbers: 1,2"
        )
    return [int(part) for part in text.split(",")]
