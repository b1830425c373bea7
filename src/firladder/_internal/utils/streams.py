"""A rate-limited log stream that never blocks its process."""

import os
import select
import time
from collections.abc import Callable

MAX_LINES_PER_S = 150.0
"""Average rate of lines. A busy leader writes a few dozen per second; a loop that
keeps failing would write thousands and use up the processor."""

MAX_BURST_LINES = 600
"""Lines that may be written at once, such as after a change of leader."""

RESERVED_LINES = 200
"""Lines of the burst that only priority lines may use. Without a reserve, the lines
that explain a failure are dropped whenever many routine lines precede them."""

MAX_LINE_BYTES = 4000
"""Longest line. A pipe that polls as writable takes PIPE_BUF (4096) bytes without
blocking."""


class BoundedStream:
    """Write whole lines to a file descriptor, or drop and count them.

    When the reader of a pipe stops reading, the pipe fills up, and a blocking
    write would stop the process while it serves callers.
    """

    def __init__(
        self, descriptor: int, *, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Write to ``descriptor``."""
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._available_lines = float(MAX_BURST_LINES)
        self._refilled_at = read_clock()
        self.dropped = 0
        self.priority_dropped = 0

    def write(self, text: str, *, priority: bool = False) -> int:
        """Write a line if rate and pipe allow it; return its length either way."""
        if not self._try_acquire(priority=priority):
            self._count_drop(priority=priority)
            return len(text)
        if self.dropped:
            text = (
                f'{{"event": "log lines dropped", "count": {self.dropped}, '
                f'"priority_count": {self.priority_dropped}}}\n{text}'
            )
            self.dropped = self.priority_dropped = 0
        data = text.encode("utf-8", "replace")
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader has closed the pipe: there is nowhere to report it.
            self._count_drop(priority=priority)
        return len(text)

    def flush(self) -> None:
        """Do nothing, as each line is one write."""

    def _count_drop(self, *, priority: bool) -> None:
        self.dropped += 1
        self.priority_dropped += priority

    def _try_acquire(self, *, priority: bool) -> bool:
        now = self._read_clock()
        refilled = (now - self._refilled_at) * MAX_LINES_PER_S
        self._available_lines = min(MAX_BURST_LINES, self._available_lines + refilled)
        self._refilled_at = now
        if self._available_lines < (1 if priority else RESERVED_LINES + 1):
            return False
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        self._available_lines -= 1
        return True
