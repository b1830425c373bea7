"""Evaluate request policies under seeded loads."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.exit_codes import EXIT_OK
from ..evaluation.request_report import POLICIES, print_requests_table
from ..exceptions import SettingError
from ..utils.settings import ResolvedSetting, Setting, check_text
from .registry import Command


class EvaluateRequestsCommand(Command):
    """Compare the policies on requests side by side, with the same seeds."""

    name = "evaluate_requests"
    settings = (
        Setting("policies", check_text, "policies to compare", ",".join(POLICIES)),
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print a row for each load and set of policies."""
        policies = settings["policies"].value.split(",")
        if unknown := [p for p in policies if p not in POLICIES]:
            raise SettingError(
                setting="--policies",
                reason=f"{unknown[0]!r} must be one of {', '.join(POLICIES)}",
            )
        print_requests_table(sys.stdout, policies)
        return EXIT_OK
