"""The orders that wait for one worker, and which of them is sent next."""

import asyncio
import dataclasses
import enum
import itertools

from ..engine.state import Placement


class Rank(enum.IntEnum):
    """Which of the orders that wait for a worker is sent first."""

    URGENT_START = 0
    STOP = 1
    START = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Order:
    """A start or a stop that waits for its turn.

    Of one rank, what was queued first goes first. ``queued_at`` is the leader's own
    time, in seconds.
    """

    rank: Rank
    number: int
    placement: Placement = dataclasses.field(compare=False)
    start: bool = dataclasses.field(compare=False)
    queued_at: float = dataclasses.field(compare=False)

    @property
    def kind(self) -> str:
        """Return the order's name in logs and metrics."""
        return "start" if self.start else "stop"


def choose_rank(placement: Placement, *, start: bool) -> Rank:
    """Return when an order is sent: urgent work first, then what makes room."""
    if not start:
        return Rank.STOP
    unit = placement.unit
    urgent = unit is not None and unit.job.accepted.priority == 0
    return Rank.URGENT_START if urgent else Rank.START


class OrderQueue:
    """Starts and stops for one worker; each stop waits in it once.

    A stop is repeated more often than a worker without answers takes one, and starts
    would wait behind all its copies.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._orders: asyncio.PriorityQueue[Order] = asyncio.PriorityQueue()
        self._numbers = itertools.count()
        self._unsent: set[Placement] = set()
        self._stopping: set[Placement] = set()

    def __len__(self) -> int:
        """Return how many orders wait."""
        return self._orders.qsize()

    def has_unsent_start(self, placement: Placement) -> bool:
        """Tell whether a placement's start has not left yet."""
        return placement in self._unsent

    def add_start(self, placement: Placement, now: float) -> None:
        """Add a start."""
        self._unsent.add(placement)
        self._put(placement, now, start=True)

    def add_stop(self, placement: Placement, now: float) -> None:
        """Add a stop, unless it waits already or is on its way."""
        if placement not in self._stopping:
            self._stopping.add(placement)
            self._put(placement, now, start=False)

    def _put(self, placement: Placement, now: float, *, start: bool) -> None:
        rank, number = choose_rank(placement, start=start), next(self._numbers)
        self._orders.put_nowait(Order(rank, number, placement, start, now))

    async def take(self) -> Order:
        """Wait for the next order."""
        return await self._orders.get()

    def mark_start_sent(self, order: Order) -> None:
        """Note that a start is sent now, or dropped."""
        self._unsent.discard(order.placement)

    def mark_stop_answered(self, order: Order) -> None:
        """Note that a stop was answered or given up: it may be added again."""
        self._stopping.discard(order.placement)
