"""Send queued requests to targets.

Requests are queued in the gateway, where they can be reordered and refused, and
never in a target.
"""

import asyncio
import contextlib
import heapq

import msgspec

from ..etcd.targets import TargetResponse
from ..exceptions import (
    DeadlineUnreachable,
    Draining,
    Failure,
    NotSent,
    SentUnanswered,
)
from ..policies.request_views import TargetView
from ..policies.selectors import Selector
from ..utils.events import Event
from .pending import PendingRequest
from .queues import RequestQueues

DISPATCH_INTERVAL_S = 0.02

LATE_ANSWER_GRACE_S = 30.0
"""Time after the deadline for which the answer to a request that must not
run twice is still awaited, so that a retry gets it."""

UNSENT_RETRY_S = (0.5, 2.0)
"""Range of the retry time when no target could be connected to; a restarted
target is back within seconds."""


class Dispatcher(RequestQueues):
    """Send the queued requests of all services to targets."""

    def _list_views(
        self, service: str, selector: Selector, now: float
    ) -> list[TargetView]:
        return self._targets.list_views(
            service, selector, self._configuration.current, now
        )

    async def run(self) -> None:
        """Send requests to targets with free slots until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), DISPATCH_INTERVAL_S)
            self._wake.clear()
            now = self._clock.read_monotonic()
            self.expire_due(now)
            for name in tuple(self._services):
                self._send_ready(name, now)

    def _send_ready(self, name: str, now: float) -> None:
        expected_s = self._targets.estimate_latency(name)
        sends = self._services[name].choose(
            lambda selector: self._list_views(name, selector, now),
            now,
            self._rng,
        )
        for waiting, target in sends:
            pending = self._pending[waiting.id]
            misses_deadline = (
                self.in_flight[name] > 0 and now + expected_s > waiting.deadline
            )
            if misses_deadline and not pending.may_have_run:
                self._end(pending, "refuse", failure=self._make_late_failure(name, now))
                self._wake.set()
                continue
            self._begin_send(pending, target, now)

    def expire_due(self, now: float) -> None:
        """End queued requests past their deadline; for sent ones record a failure."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heapq.heappop(self._deadlines)
            pending = self._pending.get(key)
            if pending is None:
                continue
            if pending.chart.state == "queued":
                self._remove_queued(
                    pending, self._make_late_failure(pending.service, now)
                )
            elif pending.target is not None:
                self._targets.record_failure(pending.target, now)

    def _make_late_failure(self, service: str, now: float) -> DeadlineUnreachable:
        expected_s = self._targets.estimate_latency(service)
        return self._find_queues(service).refuse_late(
            now, expected_s=expected_s, rng=self._rng
        )

    def end_queued(self, pending: PendingRequest) -> None:
        """End a queued request whose caller has disconnected."""
        if pending.chart.state == "queued":
            self._remove_queued(
                pending, DeadlineUnreachable(reason="the caller has disconnected")
            )

    def _remove_queued(self, pending: PendingRequest, failure: Failure) -> None:
        self._find_queues(pending.service).remove(
            pending.waiting, pending.steering.targets
        )
        event = "abandon" if pending.may_have_run else "refuse"
        self._end(pending, event, failure=failure)

    def _begin_send(self, pending: PendingRequest, target: str, now: float) -> None:
        self._targets.states[target].stats.record_sent(pending.waiting.id, now)
        self.in_flight[pending.service] += 1
        pending.tries += 1
        pending.target = target
        pending.chart.fire("send")
        self._timeline.record(
            Event.REQUEST_SENT, request=pending.request_id, target=target
        )
        self._tasks.spawn(self._send(pending, target, now), name="send")

    async def _send(self, pending: PendingRequest, target: str, now: float) -> None:
        state = self._targets.states[target]
        grace_s = 0.0 if pending.request.idempotent else LATE_ANSWER_GRACE_S
        try:
            answer = await self._client.run(
                state.machine.address,
                pending.service,
                request_id=pending.request_id,
                body=bytes(pending.request.body),
                idempotent=pending.request.idempotent,
                timeout_s=max(0.001, pending.waiting.deadline - now + grace_s),
            )
        finally:
            state.stats.record_end(pending.waiting.id)
            self.in_flight[pending.service] -= 1
        self._handle_answer(pending, target, answer, now)
        self._wake.set()

    def _handle_answer(
        self,
        pending: PendingRequest,
        target: str,
        answer: TargetResponse | NotSent | SentUnanswered,
        sent_at: float,
    ) -> None:
        now = self._clock.read_monotonic()
        if isinstance(answer, TargetResponse):
            self._record_answer(target, answer, now - sent_at, now)
            event = "answer" if answer.status < 400 else "fail"
            self._end(pending, event, target=target, body=answer.body)
            return
        self._targets.record_failure(target, now)
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
        # Spread the retries of callers that were refused together.
        retry_after_s = self._rng.uniform(*UNSENT_RETRY_S)
        failure = msgspec.structs.replace(answer, retry_after_s=retry_after_s)
        self._end(pending, "refuse", target=target, failure=failure)

    def _record_answer(
        self, target: str, answer: TargetResponse, latency_s: float, now: float
    ) -> None:
        if answer.status >= 500:
            # A target that fails every request answers fastest, and would
            # otherwise attract all requests.
            self._targets.record_failure(target, now)
        else:
            self._targets.record_success(target, latency_s, now)

    def _retry(
        self, pending: PendingRequest, answer: NotSent | SentUnanswered, now: float
    ) -> bool:
        if isinstance(answer, SentUnanswered) and not pending.request.idempotent:
            # Bytes were sent, so the target may be running the request. A second
            # send could run it twice.
            return False
        backoff_s = self._budget.plan(
            tries=pending.tries,
            now=now,
            deadline=pending.waiting.deadline,
            rng=self._rng,
        )
        if backoff_s is None or pending.chart.ended:
            return False
        pending.chart.fire("unsent" if isinstance(answer, NotSent) else "retry")
        self._tasks.spawn(self._enqueue_later(pending, backoff_s), name="retry")
        return True

    async def _enqueue_later(self, pending: PendingRequest, backoff_s: float) -> None:
        await asyncio.sleep(backoff_s)
        if not pending.chart.ended:
            self._enqueue(pending)

    def _end(
        self,
        pending: PendingRequest,
        event: str,
        *,
        target: str | None = None,
        body: bytes = b"null",
        failure: Failure | None = None,
    ) -> None:
        if pending.chart.ended:
            return  # ended already by a graceful shutdown
        illegal = pending.chart.fire(event)
        assert illegal is None, illegal
        self._pending.pop(pending.waiting.id, None)
        result = pending.make_result(target=target, body=body, failure=failure)
        self._timeline.record(
            Event.REQUEST_ENDED,
            request=pending.request_id,
            outcome=result.outcome,
            target=target,
        )
        if not pending.final.done():
            pending.final.set_result(result)

    def end_all(self) -> None:
        """End all open requests because the process must stop.

        Queued requests did not run; the outcome of those sent is unknown.
        """
        failure = Draining(
            reason="this gateway stopped before the request ended", retry_after_s=1.0
        )
        for pending in tuple(self._pending.values()):
            if pending.chart.state == "queued":
                self._remove_queued(pending, failure)
            else:
                self._end(pending, "lose", failure=failure)

    async def close(self) -> None:
        """Cancel all sends in progress."""
        await self._tasks.close()
