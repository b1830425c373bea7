"""Admit requests and queue them until they are sent."""

import asyncio
import heapq
import itertools
import random
from collections import Counter

from ..charts.interpreter import Chart, ChartInstance
from ..etcd.targets import TargetClient
from ..exceptions import (
    DeadlineUnreachable,
    Draining,
    Failure,
    NoTarget,
)
from ..fleet.configuration import ConfigurationHolder
from ..models.configuration import Organisation
from ..models.request import ServiceRequest
from ..policies.dispatching import DispatchPolicies, ServiceQueues
from ..policies.request_views import WaitingRequest
from ..policies.retrying import RetryBudget
from ..policies.selectors import Steering
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .pending import PendingRequest
from .targets import TargetTable

NO_TARGET_RETRY_S = 5.0

MAX_ENDED_DEADLINES = 1000
"""Deadlines of ended requests kept before they are removed together."""


class RequestQueues:
    """The queues of all services of a gateway, and the admission to them."""

    def __init__(
        self,
        *,
        targets: TargetTable,
        client: TargetClient,
        configuration: ConfigurationHolder,
        chart: Chart,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        policies: DispatchPolicies,
        queue_limit: int,
    ) -> None:
        """Create empty queues; only the dispatcher's ``run`` sends requests."""
        self._targets = targets
        self._client = client
        self._configuration = configuration
        self._chart = chart
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._policies = policies
        self._queue_limit = queue_limit
        self._services: dict[str, ServiceQueues] = {}
        self._pending: dict[str, PendingRequest] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._tasks = TaskSet()
        self._budget = RetryBudget()
        self._drain_ends_at: float | None = None
        self.in_flight: Counter[str] = Counter()

    def count_demand(self) -> dict[str, int]:
        """Return the number of requests queued and in flight, by service."""
        queued = {name: len(s) for name, s in self._services.items()}
        return dict(Counter(queued) + self.in_flight)

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return sum(len(s) for s in self._services.values())

    def check(
        self, service: str, steering: Steering, deadline: float
    ) -> Failure | None:
        """Return why a request would be refused now, or None; do not queue it."""
        waiting = self._make_waiting_request("", steering, deadline)
        return self._admit(service, steering, waiting)

    def submit(
        self,
        service: str,
        req: ServiceRequest,
        steering: Steering,
        *,
        request_id: str,
        deadline: float,
    ) -> PendingRequest | Failure:
        """Queue a request, or return why it is refused."""
        # Several idempotent requests may share an id, so each gets its own key.
        waiting = self._make_waiting_request(
            str(next(self._numbers)), steering, deadline
        )
        failure = self._admit(service, steering, waiting)
        if failure is not None:
            return failure
        pending = PendingRequest(
            waiting,
            request_id,
            service,
            req,
            steering,
            ChartInstance(self._chart),
            asyncio.get_running_loop().create_future(),
        )
        pending.chart.fire("claim")
        pending.chart.fire("queue")
        self._timeline.record(
            Event.REQUEST_ADMITTED, request=request_id, service=service
        )
        self._budget.earn()
        self._pending[waiting.id] = pending
        self._record_deadline(deadline, waiting.id)
        self._enqueue(pending)
        return pending

    def _record_deadline(self, deadline: float, key: str) -> None:
        if len(self._deadlines) > MAX_ENDED_DEADLINES + 2 * len(self._pending):
            # The deadlines of requests that ended early stay for up to ten
            # minutes; at full load they would exhaust the memory.
            self._deadlines = [d for d in self._deadlines if d[1] in self._pending]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (deadline, key))

    def _make_waiting_request(
        self, key: str, steering: Steering, deadline: float
    ) -> WaitingRequest:
        return WaitingRequest(
            key,
            steering.organisation,
            steering.urgency,
            self._clock.read_monotonic(),
            deadline,
            self._find_organisation(steering).weight,
        )

    def _find_organisation(self, steering: Steering) -> Organisation:
        known = self._configuration.current.organisations
        return known.get(steering.organisation) or Organisation()

    def _admit(
        self, service: str, steering: Steering, waiting: WaitingRequest
    ) -> Failure | None:
        now = waiting.arrived_at
        if self._drain_ends_at is not None and waiting.deadline > self._drain_ends_at:
            # Requests still arrive over open connections. Those that can end in
            # the time left are served; the others would be aborted.
            return Draining(reason="this gateway is stopping", retry_after_s=1.0)
        if waiting.deadline <= now:
            return _make_too_near_failure()
        capacity = self._targets.measure_capacity(
            service, steering.targets, self._configuration.current
        )
        if not capacity:
            return NoTarget(
                reason=f"no target of service {service!r}",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        return self._find_queues(service).admit(
            waiting,
            room=capacity,
            in_flight=self.in_flight[service],
            expected_s=self._targets.estimate_latency(service),
            request_share=self._find_organisation(steering).request_share,
            rng=self._rng,
        )

    def _find_queues(self, service: str) -> ServiceQueues:
        found = self._services.get(service)
        if found is None:
            found = ServiceQueues(self._policies, queue_limit=self._queue_limit)
            self._services[service] = found
        return found

    def _enqueue(self, pending: PendingRequest) -> None:
        service = self._find_queues(pending.service)
        service.push(pending.waiting, pending.steering.targets)
        self._wake.set()

    def begin_drain(self, ends_at: float) -> None:
        """From now on admit only requests due before a monotonic time."""
        self._drain_ends_at = ends_at


def _make_too_near_failure() -> DeadlineUnreachable:
    return DeadlineUnreachable(
        reason="the deadline is too near for a target's answer", retry_after_s=1.0
    )
