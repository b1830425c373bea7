"""Show, compare and change the fleet's configuration."""

import itertools
import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ..cli.calls import Reply, call_gateway
from ..cli.client_settings import CONFIG_SETTINGS
from ..cli.exit_codes import EXIT_OK, EXIT_USAGE
from ..cli.inputs import read_json
from ..cli.output import write_answer, write_failure
from ..exceptions import SettingError
from ..utils.settings import ResolvedSetting
from .registry import Command

FIELDS_BY_KIND = {"organisation": "organisations", "rule": "rules", "labels": "labels"}


class ConfigCommand(Command):
    """Show, compare or change the configuration."""

    name = "config"
    usage = "show | diff CHANGES.json | apply CHANGES.json"
    settings = CONFIG_SETTINGS
    examples = (
        "firladder config show",
        "firladder config diff changes.json",
        "firladder config apply changes.json --dry_run",
        "firladder config apply changes.json --expected_revision=17",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Perform the action that the first argument names."""
        action, *rest = arguments or [""]
        if action == "show" and not rest:
            return self._show(settings)
        if action in ("diff", "apply") and len(rest) == 1:
            dry = action == "diff" or settings["dry_run"].value == "true"
            return self._apply(settings, rest[0], dry_run=dry)
        return write_failure(self.name, f"usage: {self.usage}", EXIT_USAGE)

    def _show(self, settings: Mapping[str, ResolvedSetting]) -> int:
        reply = call_gateway(settings, "GET", "/v1/config")
        return write_answer(
            self.name, settings, reply, format_configuration, read_only=True
        )

    def _apply(
        self, settings: Mapping[str, ResolvedSetting], file: str, *, dry_run: bool
    ) -> int:
        changes = read_changes(file)
        reply = call_gateway(settings, "GET", "/v1/config")
        if not isinstance(reply, Reply) or reply.status != 200:
            return write_answer(self.name, settings, reply, str, read_only=True)
        given = settings["expected_revision"].value
        body = {
            "expected_revision": int(given or reply.body["revision"]),
            "changes": changes,
            "dry_run": dry_run,
        }
        if settings["format"].value == "text":
            sys.stdout.write("".join(compare_changes(reply.body, changes)))
        answer = call_gateway(settings, "POST", "/v1/config", body)
        code = write_answer(
            self.name, settings, answer, _format_accepted, read_only=dry_run
        )
        if code == EXIT_OK:
            return code
        sys.stderr.write(f"firladder {self.name}: nothing was changed\n" * dry_run)
        return code


def read_changes(file: str) -> list[dict[str, Any]]:
    """Return the changes in a file: a list, or an object with ``changes``."""
    document = read_json(file)
    changes = document.get("changes") if isinstance(document, dict) else document
    if not isinstance(changes, list) or not all(_is_change(c) for c in changes):
        reason = "needs a list of changes, each with kind, name and value"
        raise SettingError(setting=file, reason=reason)
    return changes


def _is_change(change: Any) -> bool:
    return isinstance(change, dict) and {"kind", "name"} <= set(change)


def compare_changes(
    configuration: Mapping[str, Any], changes: Iterable[Mapping[str, Any]]
) -> Iterable[str]:
    """Yield a line for each change, with the current and the new value."""
    for change in changes:
        part = configuration.get(FIELDS_BY_KIND.get(change["kind"], ""), {})
        label = f"{change['kind']} {change['name']}"
        old, new = part.get(change["name"]), change.get("value")
        if old is None:
            yield f"+ {label} {json.dumps(new)}\n"
        elif new is None:
            yield f"- {label} {json.dumps(old)}\n"
        else:
            yield f"~ {label} {json.dumps(old)} -> {json.dumps(new)}\n"


def format_configuration(configuration: Mapping[str, Any]) -> str:
    """Return the configuration, one named part per line."""
    rows = itertools.chain.from_iterable(
        (f"{kind} {name} {json.dumps(value)}" for name, value in part.items())
        for kind, part in (
            (k, configuration.get(f, {})) for k, f in FIELDS_BY_KIND.items()
        )
    )
    return "\n".join([f"revision {configuration['revision']}", *rows]) + "\n"


def _format_accepted(accepted: Mapping[str, Any]) -> str:
    if accepted.get("dry_run"):
        return f"would be accepted on top of revision {accepted['revision']}\n"
    return f"accepted as revision {accepted['revision']}\n"
