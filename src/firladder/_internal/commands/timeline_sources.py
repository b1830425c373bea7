"""Read events from running processes and from the logs of others."""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from ..cli.calls import call_json
from ..exceptions import NotSent, SentUnanswered
from ..utils.events import EventRecord

MAX_CLOCK_DELAY = 1000
"""Lamport time by which an event may be recorded late. An event is stamped before the
store write that it reports, which takes seconds at most."""

LOG_FIELDS = frozenset(
    (
        "clock",
        "event",
        "event_domain",
        "event_number",
        "event_wall",
        "level",
        "logger",
        "process",
        "timestamp",
    )
)
"""Fields of a log line that are not details of the event."""


class LiveSource:
    """The events of all processes that a gateway knows."""

    def __init__(self, status: dict[str, Any]) -> None:
        """Take the processes' addresses from the fleet's status."""
        self._addresses = [
            (process["vm"], process["http_address"])
            for domain in status["failure_domains"]
            for process in domain["processes"]
        ]
        self._last_clocks: dict[str, int] = {}

    def fetch(self) -> Iterator[EventRecord]:
        """Yield the events since the previous call, and some earlier ones again."""
        for vm, address in self._addresses:
            last_clock = self._last_clocks.get(address, 0)
            after = max(0, last_clock - MAX_CLOCK_DELAY)
            reply = call_json(address, "GET", f"/v1/events?after={after}")
            if isinstance(reply, NotSent | SentUnanswered):
                sys.stderr.write(f"no events of {vm}: {reply.reason}\n")
                continue
            events = msgspec.convert(reply[1]["events"], list[EventRecord])
            self._last_clocks[address] = max([last_clock, *(e.clock for e in events)])
            yield from events


def read_logs(paths: Iterable[str]) -> Iterator[EventRecord]:
    """Yield the events in log files, skipping other lines."""
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as lines:
                yield from filter(None, map(_read_line, lines))
        except OSError as error:
            sys.stderr.write(f"no events of {path}: {error.strerror}\n")


def _read_line(line: str) -> EventRecord | None:
    try:
        fields = json.loads(line)
        return EventRecord(
            int(fields["clock"]),
            float(fields["event_wall"]),
            str(fields["process"]),
            int(fields["event_number"]),
            str(fields["event"]),
            {k: v for k, v in fields.items() if k not in LOG_FIELDS},
            str(fields["event_domain"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
