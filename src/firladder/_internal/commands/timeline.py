"""Print the events of all processes as one time line."""

import json
import sys
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from ..cli.calls import call_json
from ..cli.client_settings import CLIENT_SETTINGS
from ..cli.exit_codes import EXIT_OK, EXIT_UNREACHABLE
from ..exceptions import NotSent, SentUnanswered
from ..utils.events import EventRecord, merge_events
from ..utils.settings import ResolvedSetting, Setting, check_number, check_optional
from .registry import Command
from .timeline_sources import LiveSource, read_logs

FILTERS = ("request", "job", "worker", "epoch")

TERMINAL_COLUMNS = 120

FOLLOW_INTERVAL_S = 1.0

MAX_SINCE_S = 1e9


class TimelineCommand(Command):
    """Merge all events."""

    name = "timeline"
    settings = (
        *CLIENT_SETTINGS,
        *(
            Setting(name, check_optional, f"show only events of this {name}", "")
            for name in FILTERS
        ),
        Setting("domain", check_optional, "only of this failure domain", ""),
        Setting(
            "since",
            check_number(0, MAX_SINCE_S),
            "only of the last so many seconds",
            f"{MAX_SINCE_S:.0f}",
        ),
        Setting("logs", check_optional, "log files of dead processes: FILE,...", ""),
        Setting("follow", check_optional, "go on with new events", "", switch=True),
    )
    examples = (
        "firladder timeline --job=night-42",
        "firladder timeline --domain=bern-halle --since=60 --follow",
        "firladder timeline --logs=gateway.log,scheduler.log --format=json",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Print the events of all reachable processes in causal order."""
        logs = [p for p in settings["logs"].value.split(",") if p]
        reply = call_json(settings["gateway"].value, "GET", "/v1/status")
        if isinstance(reply, NotSent | SentUnanswered):
            sys.stderr.write(f"firladder timeline: {reply.reason}\n")
            if not logs:
                return EXIT_UNREACHABLE
            source = LiveSource({"failure_domains": ()})
        else:
            source = LiveSource(reply[1])
        printer = EventPrinter(settings)
        printer.print_new([*read_logs(logs), *source.fetch()])
        while settings["follow"].value:
            time.sleep(FOLLOW_INTERVAL_S)
            printer.print_new(source.fetch())
        return EXIT_OK


class EventPrinter:
    """Print each matching event once."""

    def __init__(self, settings: Mapping[str, ResolvedSetting]) -> None:
        """Take the filters and the output format from the settings."""
        self._filters = {f: settings[f].value for f in FILTERS if settings[f].value}
        self._domain = settings["domain"].value
        self._min_wall = time.time() - settings["since"].value
        self._output_format = settings["format"].value
        self._seen: set[tuple[str, int, float]] = set()

    def print_new(self, events: Iterable[EventRecord]) -> None:
        """Print the events that were not printed before, in causal order."""
        events_by_key = {(e.process, e.clock, e.wall): e for e in events}
        new = [e for key, e in events_by_key.items() if key not in self._seen]
        self._seen |= events_by_key.keys()
        columns = TERMINAL_COLUMNS if sys.stdout.isatty() else None
        for event in merge_events(self._select(new)):
            sys.stdout.write(_format_event(event, self._output_format, columns))
        sys.stdout.flush()

    def _select(self, events: Iterable[EventRecord]) -> list[EventRecord]:
        return [
            e
            for e in filter_events(events, self._filters)
            if self._domain in ("", e.domain) and e.wall >= self._min_wall
        ]


def filter_events(
    events: Iterable[EventRecord], filters: Mapping[str, str]
) -> list[EventRecord]:
    """Return the events whose details match every filter."""
    return [
        event
        for event in events
        if all(_mentions(event.details, k, v) for k, v in filters.items())
    ]


def _mentions(details: Mapping[str, Any], name: str, value: str) -> bool:
    listed = details.get(f"{name}s") or ()
    return str(details.get(name)) == value or value in map(str, listed)


def _format_event(event: EventRecord, output_format: str, columns: int | None) -> str:
    if output_format == "json":
        return json.dumps(msgspec.to_builtins(event)) + "\n"
    details = " ".join(
        f"{k}={_format_value(v)}" for k, v in event.details.items() if v is not None
    )
    wall = time.strftime("%H:%M:%S", time.gmtime(event.wall))
    line = (
        f"{event.clock:>6} {wall}.{int(event.wall * 1000) % 1000:03} "
        f"{event.domain:<12} {event.process:<24} {event.number} "
        f"{event.message:<26} {details}"
    ).rstrip()
    if columns is not None and len(line) > columns:
        line = line[: columns - 1] + "…"
    return line + "\n"


def _format_value(value: Any) -> str:
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
