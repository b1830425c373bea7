"""Limit the orders of a leader that are in flight, by rank and age."""

import asyncio
import heapq
import itertools

from ..utils.clocks import Clock
from .link_backlog import LinkBacklog
from .orders import Order, Rank

MAX_IN_FLIGHT = 48
"""Maximum orders in flight over all workers. With one for each of some two hundred
workers, a slow leader handles the answers of none within the timeout, and sends most
orders twice."""

MAX_BACKLOG_S = 0.03
"""Seconds of traffic before the link at which starts of lower work wait. An urgent
start waits behind no more than this, and the link is never idle meanwhile."""

BURST_S = 0.02
"""Seconds of the link that starts may use at once. Their bytes are counted only when
they are written, a moment after they were let through."""

MAX_PACED_S = 2.0
"""Seconds in the queue after which a start is let through whatever waits before the
link, so that other traffic cannot hold it up for ever."""

MIN_PAUSE_S = 0.001
"""Minimum seconds between two checks, so that a rounding error does not spin."""

SILENT_SHARE = 0.5
"""Maximum share of the turns for stops to silent workers: each such turn ends only when
its answer is overdue."""

Turn = asyncio.Future[None]
"""Done when an order may be sent."""


class OrderWindow:
    """Grants turns to send an order: first by rank, then by age.

    The members of a gang are ordered at the same time, so they get their turns
    together: a slow leader starts a few gangs at a time, not one member of each.

    The link sends in the order in which messages were written, so an urgent order
    cannot overtake a start that left earlier, only one that still waits here.
    """

    def __init__(
        self, *, backlog: LinkBacklog, clock: Clock, size: int = MAX_IN_FLIGHT
    ) -> None:
        """Allow ``size`` orders in flight; pace starts of lower work by ``backlog``."""
        self._backlog = backlog
        self._clock = clock
        self._size = self._available = size
        self._waiting: list[tuple[Order, int, Turn, int]] = []
        self._reserved = int((1 - SILENT_SHARE) * size)
        self._entries = itertools.count()
        self._paced_until = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.numbers = itertools.count()

    def request(self, order: Order, *, size: int = 0) -> Turn:
        """Ask for a turn with the rank and age of an order of ``size`` bytes."""
        turn: Turn = asyncio.get_running_loop().create_future()
        self.promote(turn, order, size=size)
        return turn

    def promote(self, turn: Turn, order: Order, *, size: int = 0) -> None:
        """Give a turn that is waited for the rank and age of ``order`` as well."""
        heapq.heappush(self._waiting, (order, next(self._entries), turn, size))
        self._grant()

    def skip(self, turn: Turn) -> None:
        """Grant a turn at once, as its order will not be sent."""
        if not turn.done():
            self._available -= 1
            turn.set_result(None)

    def release(self) -> None:
        """End a turn: its order was answered, dropped, or is overdue."""
        self._available += 1
        self._grant()

    def _grant(self) -> None:
        """Grant turns; come back when the next one may follow."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._waiting:
            order, _, turn, size = self._waiting[0]
            if turn.done():
                heapq.heappop(self._waiting)
                continue
            if self._available <= 0 and not self._starts_wide_gang(order):
                return
            silent = order.rank is Rank.SILENT_STOP
            if silent and self._available <= self._reserved:
                # All that wait behind it are of this rank, too.
                return
            now = self._clock.read_monotonic()
            pause_s = self._measure_pause(order, now)
            if pause_s > 0:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(max(MIN_PAUSE_S, pause_s), self._grant)
                return
            heapq.heappop(self._waiting)
            self._available -= 1
            self._paced_until = (
                max(self._paced_until, now) + size / self._backlog.bytes_per_s
            )
            turn.set_result(None)

    def _starts_wide_gang(self, order: Order) -> bool:
        """Return whether an order starts a member of a gang wider than the window.

        Such a gang could not start whole within the time that its members wait.
        """
        unit = order.placement.unit if order.start else None
        return unit is not None and len(unit.indices) > self._size

    def _measure_pause(self, order: Order, now: float) -> float:
        if order.rank is not Rank.START:
            return 0.0
        busy_s = max(
            self._backlog.measure_s() - MAX_BACKLOG_S,
            self._paced_until - now - BURST_S,
        )
        return min(busy_s, order.queued_at + MAX_PACED_S - now)
