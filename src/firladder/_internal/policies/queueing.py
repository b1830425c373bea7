"""Order the requests that wait in a gateway for a free slot of a target."""

import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from ..models.configuration import URGENCIES, Urgency
from .registry import Registry
from .request_views import URGENCY_RANK, WaitingRequest

AGEING_S: Mapping[Urgency, float] = {"urgent": 0.0, "normal": 2.0, "overnight": 10.0}
"""Wait after which a request is aged and may be served before more urgent ones."""

AGED_INTERVAL = 8
"""Every so many requests, an aged one is served first: urgent work loses at most an
eighth of the slots, and no request starves behind it."""


class RequestQueue(Protocol):
    """Waiting requests that compete for the same targets."""

    def push(self, req: WaitingRequest) -> None:
        """Add a request."""

    def pop(self, now: float) -> WaitingRequest | None:
        """Remove and return the next request, or None if empty."""

    def peek_rank(self, now: float) -> int | None:
        """Return the urgency rank of the next request, or None if empty."""

    def remove(self, request_id: str) -> bool:
        """Remove a request and return whether it was queued."""

    def __len__(self) -> int: ...

    def __iter__(self) -> Iterator[WaitingRequest]: ...


QUEUES: Registry[Callable[[], RequestQueue]] = Registry("queue policy")


@QUEUES.register("fifo")
class FifoQueue:
    """First come, first served (baseline)."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: OrderedDict[str, WaitingRequest] = OrderedDict()

    def push(self, req: WaitingRequest) -> None:
        """Add a request at the end."""
        self._requests[req.id] = req

    def pop(self, now: float) -> WaitingRequest | None:
        """Remove and return the oldest request, or None if empty."""
        return self._requests.popitem(last=False)[1] if self._requests else None

    def peek_rank(self, now: float) -> int | None:
        """Return 0, or None if empty: all requests have the same rank."""
        return 0 if self._requests else None

    def remove(self, request_id: str) -> bool:
        """Remove a request and return whether it was queued."""
        return self._requests.pop(request_id, None) is not None

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._requests.values())


class _FairQueue:
    """Weighted fair queue between organisations, for the requests of one urgency.

    Each organisation has a virtual time that advances by one over its weight with
    every request served; the lowest is served next. An organisation that had no
    requests starts at the current virtual time: being idle earns no credit.
    """

    def __init__(self) -> None:
        self._queues: dict[str, OrderedDict[str, WaitingRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_now = 0.0
        self.size = 0

    def push(self, req: WaitingRequest) -> None:
        queue = self._queues.get(req.organisation)
        if queue is None:
            queue = self._queues[req.organisation] = OrderedDict()
            seen = self._virtual_times.get(req.organisation, 0.0)
            self._virtual_times[req.organisation] = max(self._virtual_now, seen)
        queue[req.id] = req
        self.size += 1

    def pop(self) -> WaitingRequest:
        organisation = min(self._queues, key=lambda o: (self._virtual_times[o], o))
        return self._take(organisation)

    def pop_oldest(self) -> WaitingRequest:
        return self._take(min(self._queues, key=lambda o: self._head(o).arrived_at))

    def find_oldest(self) -> float:
        return min(self._head(o).arrived_at for o in self._queues)

    def _head(self, organisation: str) -> WaitingRequest:
        return next(iter(self._queues[organisation].values()))

    def _take(self, organisation: str) -> WaitingRequest:
        req = self._queues[organisation].popitem(last=False)[1]
        self._virtual_now = max(self._virtual_now, self._virtual_times[organisation])
        self._virtual_times[organisation] += 1 / req.weight
        self._count_removed(organisation)
        return req

    def remove(self, request_id: str) -> bool:
        for organisation, queue in self._queues.items():
            if queue.pop(request_id, None) is not None:
                self._count_removed(organisation)
                return True
        return False

    def _count_removed(self, organisation: str) -> None:
        self.size -= 1
        if not self._queues[organisation]:
            del self._queues[organisation]
            # Organisations come and go with the configuration; a virtual time
            # below the current one need not be kept.
            self._virtual_times = {
                o: t
                for o, t in self._virtual_times.items()
                if o in self._queues or t > self._virtual_now
            }

    def __iter__(self) -> Iterator[WaitingRequest]:
        return itertools.chain.from_iterable(q.values() for q in self._queues.values())


@QUEUES.register("urgency")
class UrgencyQueue:
    """Strict priority by urgency, fair between organisations, with bounded ageing.

    This handles saturation by batch work while interactive requests wait. Strict
    priority alone would let a day of urgent work starve all else; ageing alone would
    put an old overnight backlog before every urgent request. So an aged request is
    served first only every ``AGED_INTERVAL``-th time.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes = {u: _FairQueue() for u in URGENCIES}
        self._turn = 0

    def push(self, req: WaitingRequest) -> None:
        """Add a request."""
        self._classes[req.urgency].push(req)

    def pop(self, now: float) -> WaitingRequest | None:
        """Remove and return the next request, or None if empty."""
        nonempty = self._list_nonempty()
        if not nonempty:
            return None
        self._turn += 1
        if self._turn % AGED_INTERVAL == 0:
            aged = [u for u in nonempty[1:] if self._is_aged(u, now)]
            if aged:
                oldest = min(aged, key=lambda u: self._classes[u].find_oldest())
                return self._classes[oldest].pop_oldest()
        return self._classes[nonempty[0]].pop()

    def peek_rank(self, now: float) -> int | None:
        """Return the urgency rank of the next request, or None if empty."""
        nonempty = self._list_nonempty()
        return URGENCY_RANK[nonempty[0]] if nonempty else None

    def remove(self, request_id: str) -> bool:
        """Remove a request and return whether it was queued."""
        return any(c.remove(request_id) for c in self._classes.values())

    def _list_nonempty(self) -> list[Urgency]:
        return [u for u in URGENCIES if self._classes[u].size]

    def _is_aged(self, urgency: Urgency, now: float) -> bool:
        return now - self._classes[urgency].find_oldest() > AGEING_S[urgency]

    def __len__(self) -> int:
        return sum(c.size for c in self._classes.values())

    def __iter__(self) -> Iterator[WaitingRequest]:
        return itertools.chain.from_iterable(self._classes.values())


class QueueCounts:
    """Counts of the waiting requests, so that admission need not scan the queues."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_urgency: Counter[Urgency] = Counter()
        self.by_organisation: Counter[str] = Counter()
        self.by_organisation_and_urgency: Counter[tuple[str, Urgency]] = Counter()
        self.weights: dict[str, int] = {}

    def add(self, req: WaitingRequest) -> None:
        """Count a queued request."""
        self._count(req, 1)
        self.weights[req.organisation] = req.weight

    def subtract(self, req: WaitingRequest) -> None:
        """Discount a request that left the queue."""
        self._count(req, -1)
        if self.by_organisation[req.organisation] <= 0:
            del self.by_organisation[req.organisation]
            self.weights.pop(req.organisation, None)

    def _count(self, req: WaitingRequest, by: int) -> None:
        self.by_urgency[req.urgency] += by
        self.by_organisation[req.organisation] += by
        self.by_organisation_and_urgency[req.organisation, req.urgency] += by

    def count_ahead_of_own(self, req: WaitingRequest) -> int:
        """Return how many requests of the same organisation are served before it."""
        return sum(
            self.by_organisation_and_urgency[req.organisation, u]
            for u in URGENCIES
            if URGENCY_RANK[u] <= URGENCY_RANK[req.urgency]
        )
