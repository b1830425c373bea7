"""A log stream that is bounded and never blocks its process."""

import os
import select
import time
from collections.abc import Callable

LINES_A_SECOND = 150.0
"""Lines that may be written a second, on average. A busy leader writes some
dozens; a loop that fails would write thousands and take the processor."""

BURST_LINES = 600
"""Lines that may be written at once, such as at a take-over."""

MOST_BYTES = 4000
"""Bytes of a line: a pipe that can be written to takes so much at once."""


class BoundedStream:
    """Writes whole lines to a descriptor, or drops and counts them.

    A reader that stops reading fills the pipe; the next write would then block
    the process in the middle of serving its callers.
    """

    def __init__(
        self, descriptor: int, *, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Write to ``descriptor``."""
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._budget = float(BURST_LINES)
        self._refilled_at = read_clock()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line if there is room for it; return its length."""
        if not self._take():
            self.dropped += 1
            return len(text)
        if self.dropped:
            text = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n{text}'
            self.dropped = 0
        data = text.encode("utf-8", "replace")
        if len(data) > MOST_BYTES:
            data = data[: MOST_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is gone: there is nowhere left to say so.
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Nothing to flush: each line is one write."""

    def _take(self) -> bool:
        now = self._read_clock()
        gained = (now - self._refilled_at) * LINES_A_SECOND
        self._budget = min(BURST_LINES, self._budget + gained)
        self._refilled_at = now
        if self._budget < 1:
            return False
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return False
        self._budget -= 1
        return True
