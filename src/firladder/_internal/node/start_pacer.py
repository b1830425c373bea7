"""Pace the starts of lower work, so that urgent orders find a leader's link free."""

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable

MAX_BACKLOG_S = 0.03
"""Seconds of traffic before the link at which starts of lower work wait. An urgent
start waits behind no more than this, and the link is never idle meanwhile."""

BURST_S = 0.02
"""Seconds of the link that starts may use at once. Their bytes are counted only when
they are written, a moment after they were let through."""

MIN_PAUSE_S = 0.001
"""Minimum seconds between two checks, so that a rounding error does not spin."""

MAX_QUEUED_S = 2.0
"""Seconds in the queue after which a start is let through whatever waits before the
link. The other members of its gang may have started, and wait for some seconds only."""

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


class StartPacer:
    """Lets the starts of lower work through in order of age while the link has room.

    The link sends in the order in which messages were written, so an order cannot
    overtake a start that left earlier, only one that still waits here.
    """

    def __init__(
        self, backlog: LinkBacklog, *, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Pace by ``backlog``."""
        self._backlog = backlog
        self._read_clock = read_clock
        self._waiting: list[tuple[float, int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._paced_until = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def request_turn(self, *, queued_at: float, size: int) -> asyncio.Future[None]:
        """Return a future that is done when a start of ``size`` bytes may be sent.

        Cancel it to give up the turn.
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (queued_at, next(self._numbers), size, turn)
        heapq.heappush(self._waiting, entry)
        self._release()
        return turn

    def _release(self) -> None:
        """Let starts through; come back when the next one may follow."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting:
            queued_at, _, size, turn = self._waiting[0]
            if turn.done():
                heapq.heappop(self._waiting)
                continue
            now = self._read_clock()
            pause_s = min(self._measure_pause(now), queued_at + MAX_QUEUED_S - now)
            if pause_s > 0:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(max(MIN_PAUSE_S, pause_s), self._release)
                return
            heapq.heappop(self._waiting)
            self._paced_until = (
                max(self._paced_until, now) + size / self._backlog.bytes_per_s
            )
            turn.set_result(None)

    def _measure_pause(self, now: float) -> float:
        return max(
            self._backlog.measure_s() - MAX_BACKLOG_S,
            self._paced_until - now - BURST_S,
        )
