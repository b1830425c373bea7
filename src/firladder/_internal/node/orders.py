"""Queue of the orders for one worker, by rank and age."""

import asyncio
import dataclasses
import enum
import heapq
import itertools
from collections.abc import Callable

from ..engine.state import Phase, Placement


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
        self._turn: asyncio.Future[None] | None = None
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

    def withdraw_start(self, placement: Placement) -> None:
        """Let a start that is no longer wanted give up its turn."""
        if self._turn is not None and self._orders[0].placement is placement:
            self._turn.cancel()

    def add_stop(self, placement: Placement, now: float) -> None:
        """Queue a stop, unless it is queued or being sent already."""
        if placement not in self._stopping:
            self._stopping.add(placement)
            self._put(placement, now, start=False)

    def _put(self, placement: Placement, now: float, *, start: bool) -> None:
        rank, number = choose_rank(placement, start=start), next(self._numbers)
        heapq.heappush(self._orders, Order(rank, number, placement, start, now))
        self._available.set()
        if rank is not Rank.START and self._turn is not None:
            self._turn.cancel()

    async def take(
        self, request_turn: Callable[[Order], asyncio.Future[None]]
    ) -> Order:
        """Remove and return the next order; wait for one if there is none.

        A start of lower work also waits for its turn, which ``request_turn`` returns,
        unless an order of a higher rank arrives before.
        """
        await self._available.wait()
        first = self._orders[0]
        if first.rank is Rank.START and first.placement.phase is Phase.SENT:
            await self._await_turn(request_turn(first))
        return self._pop()

    async def _await_turn(self, turn: asyncio.Future[None]) -> None:
        self._turn = turn
        try:
            await asyncio.wait((turn,))
        finally:
            self._turn = None
            turn.cancel()

    def take_stops(self, *, limit: int) -> list[Order]:
        """Remove and return the next orders, as far as they are stops."""
        stops: list[Order] = []
        while len(stops) < limit and self._orders and not self._orders[0].start:
            stops.append(self._pop())
        return stops

    def _pop(self) -> Order:
        order = heapq.heappop(self._orders)
        if not self._orders:
            self._available.clear()
        return order

    def mark_start_sent(self, order: Order) -> None:
        """Record that a start is being sent or dropped."""
        self._unsent.discard(order.placement)

    def mark_stop_answered(self, order: Order) -> None:
        """Record that a stop was answered or timed out: it may be queued again."""
        self._stopping.discard(order.placement)
