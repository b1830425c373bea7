"""Queue of the orders for one worker, by rank and age."""

import asyncio
import dataclasses
import enum
import heapq
import itertools

from ..engine.state import Placement

MAX_STARTS_AT_ONCE = 4
"""Maximum starts of a gang's members that are sent to a worker at the same time; each
takes a connection."""


class Rank(enum.IntEnum):
    """Rank of a queued order; lower ranks are sent first."""

    URGENT_START = 0
    STOP = 1
    START = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Order:
    """A queued start or stop.

    Orders of one rank are sent in the order of ``number``. ``queued_at`` is the
    leader's monotonic time, in seconds.
    """

    rank: Rank
    number: int
    placement: Placement = dataclasses.field(compare=False)
    start: bool = dataclasses.field(compare=False)
    queued_at: float = dataclasses.field(compare=False)

    @property
    def kind(self) -> str:
        """Return the kind of order used in logs and metrics."""
        return "start" if self.start else "stop"


def choose_rank(placement: Placement, *, start: bool) -> Rank:
    """Return the rank: urgent starts, then stops, which free capacity, then starts."""
    if not start:
        return Rank.STOP
    unit = placement.unit
    urgent = unit is not None and unit.job.accepted.priority == 0
    return Rank.URGENT_START if urgent else Rank.START


class OrderQueue:
    """Starts and stops for one worker; each stop is queued only once.

    The engine repeats a stop more often than an order to a silent worker times out, and
    starts would wait behind all the copies.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._orders: list[Order] = []
        self._available = asyncio.Event()
        self._numbers = itertools.count()
        self._unsent: set[Placement] = set()
        self._stopping: set[Placement] = set()

    def __len__(self) -> int:
        """Return the number of queued orders."""
        return len(self._orders)

    def has_unsent_start(self, placement: Placement) -> bool:
        """Return whether the start of a placement is queued but not sent yet."""
        return placement in self._unsent

    def add_start(self, placement: Placement, now: float) -> None:
        """Queue a start."""
        self._unsent.add(placement)
        self._put(placement, now, start=True)

    def add_stop(self, placement: Placement, now: float) -> None:
        """Queue a stop, unless it is queued or being sent already."""
        if placement not in self._stopping:
            self._stopping.add(placement)
            self._put(placement, now, start=False)

    def _put(self, placement: Placement, now: float, *, start: bool) -> None:
        rank, number = choose_rank(placement, start=start), next(self._numbers)
        heapq.heappush(self._orders, Order(rank, number, placement, start, now))
        self._available.set()

    async def take(self) -> list[Order]:
        """Remove and return the next order; wait for one if there is none.

        The starts of a gang's members are returned together, up to
        ``MAX_STARTS_AT_ONCE``: the first member gives up if the last one starts
        seconds later.
        """
        while not self._orders:
            self._available.clear()
            await self._available.wait()
        orders = [heapq.heappop(self._orders)]
        while len(orders) < MAX_STARTS_AT_ONCE and self._next_joins(orders[0]):
            orders.append(heapq.heappop(self._orders))
        return orders

    def _next_joins(self, order: Order) -> bool:
        if not (order.start and self._orders and self._orders[0].start):
            return False
        unit = order.placement.unit
        return unit is not None and self._orders[0].placement.unit is unit

    def mark_start_sent(self, order: Order) -> None:
        """Record that a start is being sent or dropped."""
        self._unsent.discard(order.placement)

    def mark_stop_answered(self, order: Order) -> None:
        """Record that a stop was answered or timed out: it may be queued again."""
        self._stopping.discard(order.placement)
