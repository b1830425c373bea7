"""Estimate how much traffic waits before the link of this VM."""

import math
import time
from collections.abc import Callable

MESSAGE_OVERHEAD_BYTES = 120
"""Bytes that a message takes on the link besides its own: the headers of its packets
and of those that acknowledge its answer."""


class LinkBacklog:
    """Estimate the bytes that wait before the link of this VM.

    Sockets accept a message at once; how much of it has left the VM is not known.
    """

    def __init__(
        self, *, link_mbps: float, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Begin with an idle link; one of 0 Mbit/s is not known and counts as free."""
        self.bytes_per_s = link_mbps * 1e6 / 8 or math.inf
        self._read_clock = read_clock
        self._busy_until = 0.0

    def add(self, size: int) -> None:
        """Add bytes that were handed to a socket."""
        now = self._read_clock()
        wire_bytes = size + MESSAGE_OVERHEAD_BYTES
        self._busy_until = max(self._busy_until, now) + wire_bytes / self.bytes_per_s

    def measure_s(self) -> float:
        """Return the seconds until all bytes have left."""
        return max(0.0, self._busy_until - self._read_clock())
