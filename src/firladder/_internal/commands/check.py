"""Check a configuration file without a fleet."""

import json
import sys
from collections.abc import Mapping, Sequence

from ..cli.client_settings import CHECK_SETTINGS
from ..cli.exit_codes import EXIT_OK, EXIT_USAGE
from ..cli.inputs import read_json
from ..cli.output import write_failure, write_refusal
from ..utils.settings import ResolvedSetting
from .config import read_changes
from .registry import Command


class CheckCommand(Command):
    """Check a file of changes offline, against a list of workers."""

    name = "check"
    usage = "CHANGES.json"
    settings = CHECK_SETTINGS
    examples = ("firladder check changes.json --workers=workers.json",)

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Report whether an empty fleet with these workers would accept the file."""
        if len(arguments) != 1:
            return write_failure(self.name, "name one file", EXIT_USAGE)
        import msgspec

        from ..exceptions import Failure, MalformedBody
        from ..models.configuration import ChangeSet, Configuration
        from ..models.machine import Machine
        from ..policies.configuration_changes import apply_changes
        from ..utils.codec import decode_json

        workers_file = settings["workers"].value
        rows = read_json(workers_file) if workers_file else []
        machines = decode_json(json.dumps(rows).encode(), list[Machine])
        if isinstance(machines, MalformedBody):
            return write_refusal(self.name, msgspec.to_builtins(machines))
        body = {"expected_revision": 0, "changes": read_changes(arguments[0])}
        change_set = decode_json(json.dumps(body).encode(), ChangeSet)
        if isinstance(change_set, MalformedBody):
            return write_refusal(self.name, msgspec.to_builtins(change_set))
        verdict = apply_changes(Configuration(), change_set, machines)
        if isinstance(verdict, Failure):
            return write_refusal(self.name, msgspec.to_builtins(verdict))
        count = len(change_set.changes)
        sys.stdout.write(f"{count} changes fit {len(machines)} workers\n")
        return EXIT_OK
