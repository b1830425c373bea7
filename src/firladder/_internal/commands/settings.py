"""Print every setting of a daemon with its value and origin."""

import sys
from collections.abc import Mapping, Sequence

from ..cli.daemon_settings import GATEWAY_SETTINGS, SCHEDULER_SETTINGS
from ..cli.exit_codes import EXIT_OK, EXIT_USAGE
from ..cli.output import format_rows, write_failure
from ..utils.settings import ResolvedSetting, Setting, read_settings
from .registry import Command

DAEMONS: Mapping[str, Sequence[Setting]] = {
    "gateway": GATEWAY_SETTINGS,
    "scheduler": SCHEDULER_SETTINGS,
}


class SettingsCommand(Command):
    """Print a daemon's settings; a secret's value is never shown."""

    name = "settings"
    usage = "gateway | scheduler [the daemon's own flags]"
    examples = (
        "firladder settings gateway",
        "firladder settings scheduler --leader_ttl_s=8",
    )
    takes_any_flag = True

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the settings that the daemon would have in this environment."""
        role, *flags = arguments or [""]
        if role not in DAEMONS:
            return write_failure(self.name, f"usage: {self.usage}", EXIT_USAGE)
        resolved, problems, _ = read_settings(DAEMONS[role], flags)
        rows = (
            (s.name, s.variable, resolved[s.name].describe(), resolved[s.name].origin)
            if s.name in resolved
            else (s.name, s.variable, "", "WRONG OR MISSING")
            for s in DAEMONS[role]
        )
        head = ("FLAG", "VARIABLE", "VALUE", "ORIGIN")
        sys.stdout.write(format_rows(head, rows))
        for problem in problems:
            sys.stderr.write(f"firladder {self.name}: {problem}\n")
        return EXIT_USAGE if problems else EXIT_OK
