"""Queue admitted requests and send them to targets.

The queue is here, where it can be ordered and refused, never in a target.
"""

import asyncio
import contextlib
import heapq
import itertools
import random
from collections import Counter

import msgspec

from ..charts.interpreter import Chart, ChartInstance
from ..etcd.targets import TargetAnswer, TargetClient
from ..exceptions import (
    DeadlineUnreachable,
    Draining,
    Failure,
    NoTarget,
    NotSent,
    SentUnanswered,
)
from ..fleet.configuration import ConfigurationHolder
from ..models.configuration import Organisation
from ..models.request import ServiceRequest
from ..policies.dispatching import DispatchPolicies, ServiceQueues
from ..policies.requests import TargetView, WaitingRequest
from ..policies.retrying import RetryBudget
from ..policies.selection import Selector, Steering
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .pending import Pending
from .targets import TargetTable

TICK_S = 0.02

LATE_ANSWER_S = 30.0
"""Seconds after its deadline for which the answer to a request that must not
run twice is still awaited, so that a retry can be told what became of it."""

NO_TARGET_RETRY_S = 5.0

ENDED_DEADLINES = 1000
"""Deadlines of ended requests that may lie about before they are cleared."""

UNSENT_RETRY_S = (0.5, 2.0)
"""Span of the time to come back when no target could be connected to: a
restarted target is back within seconds."""


class Dispatcher:
    """Own the queues of all services of this gateway."""

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
        """Prepare; ``run`` must run for anything to be sent."""
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
        self._pending: dict[str, Pending] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._numbers = itertools.count(1)
        self._wake = asyncio.Event()
        self._tasks = TaskSet()
        self._budget = RetryBudget()
        self._ends_at: float | None = None
        self.in_flight: Counter[str] = Counter()

    def count_demand(self) -> dict[str, int]:
        """Return the requests queued and in flight, by service."""
        queued = {name: len(s) for name, s in self._services.items()}
        return dict(Counter(queued) + self.in_flight)

    def count_queued(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(s) for s in self._services.values())

    def check(
        self, service: str, steering: Steering, deadline: float
    ) -> Failure | None:
        """Return why a request would be refused now, without queueing it."""
        waiting = self._describe("", steering, deadline)
        return self._admit(service, steering, waiting)

    def submit(
        self,
        service: str,
        req: ServiceRequest,
        steering: Steering,
        *,
        request_id: str,
        deadline: float,
    ) -> Pending | Failure:
        """Queue a request, or return why it is refused."""
        # Two idempotent requests may carry one id; the key tells them apart.
        waiting = self._describe(str(next(self._numbers)), steering, deadline)
        failure = self._admit(service, steering, waiting)
        if failure is not None:
            return failure
        pending = Pending(
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
        self._note_deadline(deadline, waiting.id)
        self._enqueue(pending)
        return pending

    def _note_deadline(self, deadline: float, key: str) -> None:
        if len(self._deadlines) > ENDED_DEADLINES + 2 * len(self._pending):
            # Requests that ended early leave their deadlines behind, up to
            # ten minutes each; at full speed they would fill the memory.
            self._deadlines = [d for d in self._deadlines if d[1] in self._pending]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (deadline, key))

    def _describe(
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
        if self._ends_at is not None and waiting.deadline > self._ends_at:
            # A connection kept open may still bring requests; those that fit
            # into the time left are served, the others would be cut.
            return Draining(reason="this gateway is stopping", retry_after_s=1.0)
        if waiting.deadline <= now:
            return _tell_too_late()
        room = self._targets.measure_room(
            service, steering.targets, self._configuration.current
        )
        if not room:
            return NoTarget(
                reason=f"no target of {service!r}", retry_after_s=NO_TARGET_RETRY_S
            )
        return self._find_service(service).admit(
            waiting,
            room=room,
            in_flight=self.in_flight[service],
            expected_s=self._targets.expect_latency(service),
            request_share=self._find_organisation(steering).request_share,
            rng=self._rng,
        )

    def _find_service(self, service: str) -> ServiceQueues:
        found = self._services.get(service)
        if found is None:
            found = ServiceQueues(self._policies, queue_limit=self._queue_limit)
            self._services[service] = found
        return found

    def _list_views(
        self, service: str, selector: Selector, now: float
    ) -> list[TargetView]:
        return self._targets.list_views(
            service, selector, self._configuration.current, now
        )

    def _enqueue(self, pending: Pending) -> None:
        service = self._find_service(pending.service)
        service.push(pending.waiting, pending.steering.targets)
        self._wake.set()

    async def run(self) -> None:
        """Send what has room until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), TICK_S)
            self._wake.clear()
            now = self._clock.read_monotonic()
            self.expire_due(now)
            for name in tuple(self._services):
                self._send_ready(name, now)

    def _send_ready(self, name: str, now: float) -> None:
        expected_s = self._targets.expect_latency(name)
        sends = self._services[name].choose(
            lambda selector: self._list_views(name, selector, now),
            now,
            self._rng,
        )
        for waiting, target in sends:
            pending = self._pending[waiting.id]
            hopeless = self.in_flight[name] > 0 and now + expected_s > waiting.deadline
            if hopeless and not pending.may_have_run:
                self._end(pending, "refuse", failure=self._refuse_late(name, now))
                self._wake.set()
                continue
            self._begin_send(pending, target, now)

    def expire_due(self, now: float) -> None:
        """End what waits past its deadline, and count silent targets as failing."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heapq.heappop(self._deadlines)
            pending = self._pending.get(key)
            if pending is None:
                continue
            if pending.chart.state == "queued":
                self._take_out(pending, self._refuse_late(pending.service, now))
            elif pending.target is not None:
                self._targets.note_failure(pending.target, now)

    def _refuse_late(self, service: str, now: float) -> DeadlineUnreachable:
        expected_s = self._targets.expect_latency(service)
        return self._find_service(service).refuse_late(
            now, expected_s=expected_s, rng=self._rng
        )

    def drop(self, pending: Pending) -> None:
        """Give up a request whose caller has left, unless it was sent."""
        if pending.chart.state == "queued":
            self._take_out(pending, DeadlineUnreachable(reason="the caller has left"))

    def _take_out(self, pending: Pending, failure: Failure) -> None:
        self._find_service(pending.service).remove(
            pending.waiting, pending.steering.targets
        )
        event = "abandon" if pending.may_have_run else "refuse"
        self._end(pending, event, failure=failure)

    def _begin_send(self, pending: Pending, target: str, now: float) -> None:
        self._targets.states[target].score.note_sent(pending.waiting.id, now)
        self.in_flight[pending.service] += 1
        pending.tries += 1
        pending.target = target
        pending.chart.fire("send")
        self._timeline.record(
            Event.REQUEST_SENT, request=pending.request_id, target=target
        )
        self._tasks.spawn(self._send(pending, target, now), name="send")

    async def _send(self, pending: Pending, target: str, now: float) -> None:
        state = self._targets.states[target]
        patience_s = 0.0 if pending.request.idempotent else LATE_ANSWER_S
        try:
            answer = await self._client.run(
                state.machine.address,
                pending.service,
                request_id=pending.request_id,
                body=bytes(pending.request.body),
                idempotent=pending.request.idempotent,
                timeout_s=max(0.001, pending.waiting.deadline - now + patience_s),
            )
        finally:
            state.score.note_back(pending.waiting.id)
            self.in_flight[pending.service] -= 1
        self._settle(pending, target, answer, now)
        self._wake.set()

    def _settle(
        self,
        pending: Pending,
        target: str,
        answer: TargetAnswer | NotSent | SentUnanswered,
        sent_at: float,
    ) -> None:
        now = self._clock.read_monotonic()
        if isinstance(answer, TargetAnswer):
            self._learn(target, answer, now - sent_at, now)
            event = "answer" if answer.status < 400 else "fail"
            self._end(pending, event, target=target, body=answer.body)
            return
        self._targets.note_failure(target, now)
        if isinstance(answer, SentUnanswered):
            pending.may_have_run = True
            self._timeline.record(
                Event.ANSWER_DISCARDED,
                request=pending.request_id,
                target=target,
                reason=answer.reason,
            )
        if self._retry(pending, answer, now):
            return
        if pending.may_have_run:
            self._end(pending, "lose", target=target, failure=answer)
            return
        pending.chart.fire("unsent")
        # Callers refused together by a target that is down come back apart.
        back_s = self._rng.uniform(*UNSENT_RETRY_S)
        failure = msgspec.structs.replace(answer, retry_after_s=back_s)
        self._end(pending, "refuse", target=target, failure=failure)

    def _learn(
        self, target: str, answer: TargetAnswer, latency_s: float, now: float
    ) -> None:
        if answer.status >= 500:
            # A target that fails everything answers fastest, and would draw
            # all work to itself.
            self._targets.note_failure(target, now)
        else:
            self._targets.note_success(target, latency_s, now)

    def _retry(
        self, pending: Pending, answer: NotSent | SentUnanswered, now: float
    ) -> bool:
        if isinstance(answer, SentUnanswered) and not pending.request.idempotent:
            # Bytes have left: the target may be running it. A second send
            # could hold two seats for one student.
            return False
        pause_s = self._budget.plan(
            tries=pending.tries,
            now=now,
            deadline=pending.waiting.deadline,
            rng=self._rng,
        )
        if pause_s is None or pending.chart.ended:
            return False
        pending.chart.fire("unsent" if isinstance(answer, NotSent) else "retry")
        self._tasks.spawn(self._enqueue_later(pending, pause_s), name="retry")
        return True

    async def _enqueue_later(self, pending: Pending, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        if not pending.chart.ended:
            self._enqueue(pending)

    def _end(
        self,
        pending: Pending,
        event: str,
        *,
        target: str | None = None,
        body: bytes = b"null",
        failure: Failure | None = None,
    ) -> None:
        if pending.chart.ended:
            return  # given up at the end of a graceful shutdown
        illegal = pending.chart.fire(event)
        assert illegal is None, illegal
        self._pending.pop(pending.waiting.id, None)
        result = pending.describe_end(target=target, body=body, failure=failure)
        self._timeline.record(
            Event.REQUEST_ENDED,
            request=pending.request_id,
            outcome=result.outcome,
            target=target,
        )
        if not pending.final.done():
            pending.final.set_result(result)

    def begin_drain(self, ends_at: float) -> None:
        """Take only what can end before a monotonic time from now on."""
        self._ends_at = ends_at

    def give_up(self) -> None:
        """End all that is open, truthfully, because the process must end."""
        failure = Draining(reason="this gateway had to stop", retry_after_s=1.0)
        for pending in tuple(self._pending.values()):
            if pending.chart.state == "queued":
                self._take_out(pending, failure)
            else:
                self._end(pending, "lose", failure=failure)

    async def close(self) -> None:
        """Cancel what is under way."""
        await self._tasks.close()


def _tell_too_late() -> DeadlineUnreachable:
    return DeadlineUnreachable(
        reason="the deadline is too near for a target's answer", retry_after_s=1.0
    )
