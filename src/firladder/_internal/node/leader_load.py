"""Report how busy a leader is, so that a late order can be traced to its cause."""

import dataclasses
import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

REPORT_INTERVAL_S = 1.0
"""Seconds between two reports."""


@dataclasses.dataclass(slots=True)
class _Window:
    """Sums and maximums since the last report; times in seconds."""

    passes: int = 0
    passes_s: float = 0.0
    longest_pass_s: float = 0.0
    longest_lag_s: float = 0.0
    orders: int = 0
    unanswered: int = 0
    longest_wait_s: float = 0.0
    longest_answer_s: float = 0.0
    longest_urgent_start_s: float = 0.0
    writes: int = 0
    longest_write_s: float = 0.0


class LeaderLoad:
    """The load of one leader: its passes, event loop, orders and writes.

    A leader that is late looks the same from outside whether its processor, its link,
    or the queue of one worker is the cause.
    """

    def __init__(
        self, *, read_processor_s: Callable[[], float] = time.process_time
    ) -> None:
        """Begin a window; ``read_processor_s`` returns the processor time used."""
        self._read_processor_s = read_processor_s
        self._window = _Window()
        self._began_at: float | None = None
        self._processor_s = read_processor_s()

    def record_pass(self, took_s: float) -> None:
        """Add one planning pass."""
        window = self._window
        window.passes += 1
        window.passes_s += took_s
        window.longest_pass_s = max(window.longest_pass_s, took_s)

    def record_lag(self, lag_s: float) -> None:
        """Add one delay of the event loop."""
        self._window.longest_lag_s = max(self._window.longest_lag_s, lag_s)

    def record_order(
        self,
        waited_s: float,
        took_s: float,
        *,
        answered: bool,
        urgent_start: bool = False,
    ) -> None:
        """Add one order: its time in the queue and until its answer or timeout."""
        window = self._window
        window.orders += 1
        window.unanswered += not answered
        window.longest_wait_s = max(window.longest_wait_s, waited_s)
        window.longest_answer_s = max(window.longest_answer_s, took_s)
        if urgent_start:
            window.longest_urgent_start_s = max(
                window.longest_urgent_start_s, waited_s + took_s
            )

    def record_write(self, took_s: float) -> None:
        """Add one write of records to the store."""
        window = self._window
        window.writes += 1
        window.longest_write_s = max(window.longest_write_s, took_s)

    def take_report(
        self, now: float, *, queued: Iterable[int]
    ) -> dict[str, Any] | None:
        """Return the window's figures and begin a new one; None before it is due.

        ``queued`` has the number of queued orders of each worker.
        """
        if self._began_at is None:
            self._began_at = now
        span_s = now - self._began_at
        if span_s < REPORT_INTERVAL_S:
            return None
        processor_s = self._read_processor_s()
        used_s, self._processor_s = processor_s - self._processor_s, processor_s
        window, self._window, self._began_at = self._window, _Window(), now
        waiting = tuple(itertools.chain((0,), queued))
        figures = {
            "span_s": span_s,
            "processor_s": used_s,
            **dataclasses.asdict(window),
            "queued": sum(waiting),
            "longest_queue": max(waiting),
        }
        return {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in figures.items()
        }
