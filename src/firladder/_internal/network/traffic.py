"""Count what a process sends and receives, by kind of call or message."""

import dataclasses
from collections.abc import Callable

from twisted.web.http_headers import Headers

OTHER_KIND = "other"
"""Kind of the traffic for which a caller names none."""


def measure_headers(headers: Headers) -> int:
    """Return the bytes of the header lines of a message."""
    return sum(
        len(name) + len(value) + len(b": \r\n")
        for name, values in headers.getAllRawHeaders()
        for value in values
    )


@dataclasses.dataclass(slots=True)
class _Usage:
    calls: int = 0
    unanswered: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    longest_connect_s: float = 0.0
    longest_answer_s: float = 0.0
    longest_body_s: float = 0.0


class TrafficMeter:
    """Bytes and waiting times since the last report, by kind.

    A full link delays all kinds alike. Only the bytes of each kind tell which of them
    fills it. Bytes are those of the messages and their headers, without those of TCP.
    """

    def __init__(self, *, on_sent: Callable[[int], None] = lambda _size: None) -> None:
        """Start with nothing counted; ``on_sent`` receives the bytes of each write."""
        self._on_sent = on_sent
        self._usage: dict[str, _Usage] = {}

    def _find(self, kind: str) -> _Usage:
        return self._usage.setdefault(kind, _Usage())

    def record_sent(self, kind: str, size: int) -> None:
        """Add bytes that were handed to a socket."""
        self._find(kind).sent_bytes += size
        self._on_sent(size)

    def record_received(self, kind: str, size: int) -> None:
        """Add bytes that arrived."""
        self._find(kind).received_bytes += size

    def record_connect(self, kind: str, took_s: float) -> None:
        """Add the time in which a request got a connection."""
        usage = self._find(kind)
        usage.longest_connect_s = max(usage.longest_connect_s, took_s)

    def record_body(self, kind: str, took_s: float) -> None:
        """Add the time in which a response's body arrived after its headers."""
        usage = self._find(kind)
        usage.longest_body_s = max(usage.longest_body_s, took_s)

    def record_answer(self, kind: str, took_s: float, *, answered: bool = True) -> None:
        """Add one call and the time until its answer began or was given up."""
        usage = self._find(kind)
        usage.calls += 1
        usage.unanswered += not answered
        usage.longest_answer_s = max(usage.longest_answer_s, took_s)

    def take_report(self) -> dict[str, dict[str, float]]:
        """Return the figures other than 0 of each kind, and begin again."""
        usage, self._usage = self._usage, {}
        return {
            kind: {
                name: round(value, 3)
                for name, value in dataclasses.asdict(usage[kind]).items()
                if value
            }
            for kind in sorted(usage)
        }
