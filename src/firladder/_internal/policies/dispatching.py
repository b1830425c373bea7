"""Combine admission, queueing and routing for the requests of one service.

Pure code, which the gateway and the driver of the load tests share.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Sequence

from ..exceptions import DeadlineUnreachable, Failure
from .admission import ADMISSIONS, AdmissionPolicy, spread_retry_after
from .queueing import QUEUES, QueueCounts, RequestQueue
from .request_views import ServiceView, TargetView, WaitingRequest
from .routing import ROUTINGS, RoutingPolicy
from .selectors import Selector
from .sharing import SHARINGS, SharingPolicy

REFUSED_DECAY_S = 10.0
"""Time constant of the decay of the count of refused requests, which are expected
to be retried."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchPolicies:
    """The policies that a gateway uses."""

    admit: AdmissionPolicy
    make_queue: Callable[[], RequestQueue]
    route: RoutingPolicy
    share: SharingPolicy


def find_policies(
    *,
    admission: str = "deadline",
    queue: str = "urgency",
    routing: str = "two_choices",
    sharing: str = "by_demand",
) -> DispatchPolicies:
    """Return the registered policies of these names."""
    admit, make_queue = ADMISSIONS.find(admission), QUEUES.find(queue)
    route, share = ROUTINGS.find(routing), SHARINGS.find(sharing)
    assert admit and make_queue and route and share
    return DispatchPolicies(admit, make_queue, route, share)


class ServiceQueues:
    """The waiting requests of one service, in one queue per target selector.

    Requests that may go to the same targets share a queue. A queue whose targets
    have no free slots is skipped as a whole, so that the cost of a pass depends on
    the requests sent and not on those waiting.
    """

    def __init__(self, policies: DispatchPolicies, *, queue_limit: int) -> None:
        """Create empty queues that hold at most ``queue_limit`` requests in all."""
        self._policies = policies
        self._queue_limit = queue_limit
        self._queues: dict[Selector, RequestQueue] = {}
        self._counts = QueueCounts()
        self._room = 1
        self._refused = 0.0
        self._refused_at = 0.0

    def __len__(self) -> int:
        return sum(len(q) for q in self._queues.values())

    def admit(
        self,
        req: WaitingRequest,
        *,
        room: int,
        in_flight: int,
        expected_s: float,
        request_share: float,
        rng: random.Random,
    ) -> Failure | None:
        """Return why a request is refused, or None."""
        counts = self._counts
        view = ServiceView(
            req.arrived_at,
            counts.by_urgency,
            self._queue_limit,
            room,
            in_flight,
            expected_s,
            counts.by_organisation,
            counts.weights,
            counts.count_ahead_of_own(req),
            request_share,
            self._decay_refused(req.arrived_at) * expected_s,
        )
        self._room = room
        failure = self._policies.admit(view, req, rng)
        if failure is not None:
            self._record_refused(req.arrived_at)
        return failure

    def refuse_late(
        self, now: float, *, expected_s: float, rng: random.Random
    ) -> DeadlineUnreachable:
        """Return the failure of an admitted request that can't meet its deadline.

        Its slot is better used for a request that can. The caller is told at once,
        with a randomised time to retry.
        """
        self._record_refused(now)
        refused_work_s = self._decay_refused(now) * expected_s / max(1, self._room)
        return DeadlineUnreachable(
            reason="the deadline is too near for a target's answer",
            field="deadline_ms",
            retry_after_s=spread_retry_after(refused_work_s, 0.0, rng),
        )

    def _record_refused(self, now: float) -> None:
        self._refused = self._decay_refused(now) + 1
        self._refused_at = now

    def _decay_refused(self, now: float) -> float:
        return self._refused * math.exp((self._refused_at - now) / REFUSED_DECAY_S)

    def push(self, req: WaitingRequest, selector: Selector) -> None:
        """Add an admitted request to its queue."""
        queue = self._queues.get(selector)
        if queue is None:
            queue = self._queues[selector] = self._policies.make_queue()
        queue.push(req)
        self._counts.add(req)

    def remove(self, req: WaitingRequest, selector: Selector) -> bool:
        """Remove a request and return whether it was queued."""
        queue = self._queues.get(selector)
        if queue is None or not queue.remove(req.id):
            return False
        self._count_removed(req, selector)
        return True

    def _count_removed(self, req: WaitingRequest, selector: Selector) -> None:
        self._counts.subtract(req)
        # Selectors come and go with the operators' rules. The queue of the default
        # selector stays, with its virtual times of the organisations.
        if selector.terms and not self._queues[selector]:
            del self._queues[selector]

    def choose(
        self,
        list_views: Callable[[Selector], Sequence[TargetView]],
        now: float,
        rng: random.Random,
    ) -> list[tuple[WaitingRequest, str]]:
        """Remove and return the requests that can be sent now, with their targets."""
        sends: list[tuple[WaitingRequest, str]] = []
        waiting = [s for s, q in self._queues.items() if q]
        if not waiting:
            return sends
        views = {s: {v.name: v for v in list_views(s)} for s in waiting}
        waiting = [s for s in waiting if views[s]]
        unblocked = dict.fromkeys(waiting)
        while unblocked:
            selector = min(unblocked, key=lambda s: self._queues[s].peek_rank(now) or 0)
            target = self._policies.route(tuple(views[selector].values()), now, rng)
            req = self._queues[selector].pop(now) if target else None
            if target is None or req is None:
                del unblocked[selector]
                continue
            for known in views.values():
                if target in known:
                    known[target] = _add_in_flight(known[target])
            sends.append((req, target))
            drained = not self._queues[selector]
            self._count_removed(req, selector)
            # Moved to the end, so that queues of equal rank take turns.
            del unblocked[selector]
            if not drained:
                unblocked[selector] = None
        return sends


def _add_in_flight(view: TargetView) -> TargetView:
    return dataclasses.replace(view, in_flight=view.in_flight + 1)
