"""Read the lines about jobs from the logs of the nodes."""

import datetime
import itertools
from collections.abc import Iterable, Iterator

import msgspec

from ..utils.events import Event

MAX_OPENINGS = 4
"""Braces at which a JSON object is looked for: a collector's prefix may have some."""

MAX_LINES = 1_000_000
"""Lines that are kept: five busy days, in about 1 GB. Later ones are counted only."""

NUMBERS = frozenset(
    event.number
    for event in (
        Event.SUBMISSION_ANSWERED,
        Event.CANCELLATION_ANSWERED,
        Event.CORE_DECIDED,
    )
)

PLAIN_LINES = frozenset(("log lines dropped", "end durable late"))
"""Messages of the lines without an event number that are read."""


class _Head(msgspec.Struct):
    """What tells whether a line is read."""

    event: str
    event_number: int = 0


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line about a job, a run or a worker; empty fields are not in the line.

    ``wall`` is in seconds since the Unix epoch. A line without one has a timestamp.
    """

    event: str
    number: int = msgspec.field(default=0, name="event_number")
    wall: float = msgspec.field(default=0.0, name="event_wall")
    domain: str = msgspec.field(default="", name="event_domain")
    clock: int = 0
    timestamp: str = ""
    what: str = ""
    job: str = ""
    queue: str = ""
    organisation: str = ""
    outcome: str = ""
    step: int = 0
    occurrence: int = 0
    index: int = 0
    run: int = 0
    workers: tuple[str, ...] = ()
    worker: str = ""
    how: str = ""
    victims: tuple[str, ...] = ()
    waited_s: float | None = None
    ran_s: float = 0.0
    usual_s: float | None = None
    orders_s: float | None = None
    took_s: float = 0.0
    cores: float | None = None
    racks: int = 0
    members: int | dict[str, int] = 0
    saved: bool = False
    slowness: float = 0.0
    queue_priority: int | None = None
    stretch: float | None = None
    slo_s: float | None = None
    work_s: float | None = None
    accepted_at: float | None = None
    count: int = 0


class Reader:
    """Reads lines, and counts those that are missing.

    ``dropped`` counts the lines that nodes say that they dropped, ``unreadable`` those
    with an object that is not whole, and ``left_out`` those above the limit.
    """

    def __init__(self, max_lines: int = MAX_LINES) -> None:
        """Keep at most ``max_lines``."""
        self._max_lines = max_lines
        self._head = msgspec.json.Decoder(_Head)
        self._whole = msgspec.json.Decoder(LogLine)
        self._kept = 0
        self.dropped = 0
        self.unreadable = 0
        self.left_out = 0

    def read(self, lines: Iterable[bytes]) -> Iterator[LogLine]:
        """Yield the lines about jobs; a prefix before the JSON object is skipped."""
        for raw in lines:
            found = self._parse(raw)
            if found is None:
                continue
            if found.event == "log lines dropped":
                self.dropped += found.count
            elif self._kept < self._max_lines:
                self._kept += 1
                yield found
            else:
                self.left_out += 1

    def _parse(self, raw: bytes) -> LogLine | None:
        at = -1
        for _ in range(MAX_OPENINGS):
            at = raw.find(b"{", at + 1)
            if at < 0:
                break
            text = raw[at:].rstrip()
            try:
                head = self._head.decode(text)
                if head.event_number not in NUMBERS and head.event not in PLAIN_LINES:
                    return None
                return _date(self._whole.decode(text))
            except (msgspec.DecodeError, ValueError):
                continue
        self.unreadable += b'"event"' in raw
        return None


def _date(line: LogLine) -> LogLine:
    if line.wall or not line.timestamp:
        return line
    wall = datetime.datetime.fromisoformat(line.timestamp).timestamp()
    return msgspec.structs.replace(line, wall=wall)


def sort_lines(lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines in order, each once.

    Files may overlap, and those of one job's leaders come one after the other.
    """
    ordered = sorted(lines, key=lambda line: (line.wall, line.clock))
    return [line for line, _ in itertools.groupby(ordered)]
