"""Limit the orders of a leader that are in flight, by rank and age."""

import asyncio
import heapq
import itertools

from .orders import Order, Rank

MAX_IN_FLIGHT = 48
"""Maximum orders in flight over all workers. With one for each of some two hundred
workers, a slow leader handles the answers of none within the timeout, and sends most
orders twice."""

SILENT_SHARE = 0.5
"""Maximum share of the turns for stops to silent workers: each such turn ends only when
its answer is overdue."""

Turn = asyncio.Future[None]
"""Done when an order may be sent."""


class OrderWindow:
    """Grants turns to send an order: first by rank, then by age.

    The members of a gang are ordered at the same time, so they get their turns
    together: a slow leader starts a few gangs at a time, not one member of each.
    """

    def __init__(self, size: int = MAX_IN_FLIGHT) -> None:
        """Allow ``size`` orders in flight."""
        self._available = size
        self._reserved = int((1 - SILENT_SHARE) * size)
        self._waiting: list[tuple[Order, int, Turn]] = []
        self._entries = itertools.count()
        self.numbers = itertools.count()

    def request(self, order: Order) -> Turn:
        """Ask for a turn with the rank and age of ``order``."""
        turn: Turn = asyncio.get_running_loop().create_future()
        self.promote(turn, order)
        self._grant()
        return turn

    def promote(self, turn: Turn, order: Order) -> None:
        """Give a turn that is waited for the rank and age of ``order`` as well."""
        heapq.heappush(self._waiting, (order, next(self._entries), turn))

    def release(self) -> None:
        """End a turn: its order was answered, dropped, or is overdue."""
        self._available += 1
        self._grant()

    def _grant(self) -> None:
        while self._available > 0 and self._waiting:
            order, _, turn = self._waiting[0]
            silent = order.rank is Rank.SILENT_STOP
            if not turn.done() and silent and self._available <= self._reserved:
                # All that wait behind it are of this rank, too.
                return
            heapq.heappop(self._waiting)
            if not turn.done():
                self._available -= 1
                turn.set_result(None)
