"""Manage one worker: poll its state, renew its lease and send its orders."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from ..engine import leases
from ..engine.state import Phase, Placement, Worker
from ..exceptions import (
    FencedOff,
    NotSent,
    OrderFailure,
    OrderRejected,
    SentUnanswered,
    WorkerRefused,
    WorkerReplaced,
)
from ..models.order import WorkerReport
from ..utils.logs import PRIORITY_ATTRIBUTE
from .orders import Order, OrderQueue
from .session_context import SessionContext
from .timeout_estimator import MAX_TIMEOUT_S

logger = logging.getLogger(__name__)

POLL_WAIT_S = 2.0
"""Seconds that a poll waits for a run to end. Each poll is billed, and the platform
allows no longer wait."""

DRAINING_POLL_WAIT_S = 0.8
"""Seconds that a poll waits at a draining worker, whose leases are short."""

MIN_WAITING_POLL_MARGIN_S = 0.5
"""Minimum seconds beyond its wait after which a waiting poll times out."""

MIN_POLL_TIMEOUT_S = 0.6
"""Minimum timeout, in seconds, of a poll that does not wait."""

POLL_RETRY_PAUSE_S = 0.25
"""Initial seconds before a failed poll is retried; doubles up to one of the maximums
below."""

MAX_IDLE_RETRY_PAUSE_S = 1.0
"""Maximum retry pause, in seconds, for a worker without placements."""

MAX_ACTIVE_RETRY_PAUSE_S = 0.4
"""Maximum retry pause, in seconds, while runs may be active on the worker. After a
partition their leases have a second or two left; a later poll finds the gang lost."""

NOT_SENT_MARGIN_S = 0.02
"""Extra seconds to wait for a call to report that it was never sent."""

MAX_START_ATTEMPTS = 3
"""Attempts to send a start before it counts as lost. Workers deduplicate starts by run
number. With a single attempt, a gang of a dozen seldom starts while one order in five
is lost."""

LATE_ORDER_WAIT_S = 1.0
"""Seconds in the queue from which an order is logged, whatever its answer."""

DURABLE_WAIT_S = 0.25
"""Maximum seconds that a poll is delayed until the ended runs it would acknowledge are
durable. A worker answers at once while it has unacknowledged ends."""


def increase_retry_pause(pause_s: float, *, holds_runs: bool) -> float:
    """Return the pause after another failed poll, in seconds."""
    return min(
        2 * pause_s, MAX_ACTIVE_RETRY_PAUSE_S if holds_runs else MAX_IDLE_RETRY_PAUSE_S
    )


class WorkerSession:
    """Makes all calls to one worker: polls, lease renewals and orders."""

    def __init__(self, context: SessionContext, worker: Worker) -> None:
        """Manage ``worker`` on behalf of the term ``context``."""
        self._context = context
        self._core = context.core
        self._worker = worker
        self._wake = asyncio.Event()
        self._orders = OrderQueue()
        self._waiting_poll_open = False
        self._may_send_lease = asyncio.Event()

    def wake(self) -> None:
        """Let the loops check again whether the worker must be polled."""
        self._wake.set()
        self._may_send_lease.set()

    def order(self, placement: Placement, *, start: bool) -> None:
        """Queue a start or a stop.

        Stopping a run whose start was not sent yet drops the start instead.
        """
        now = self._context.clock.read_monotonic()
        if start:
            self._orders.add_start(placement, now)
        elif self._orders.has_unsent_start(placement):
            self._core.drop_unsent(placement)
            self._context.request_pass()
        else:
            self._orders.add_stop(placement, now)

    @property
    def queued_orders(self) -> int:
        """Return the number of orders waiting to be sent."""
        return len(self._orders)

    @property
    def _removed(self) -> bool:
        return self._core.workers.get(self._worker.worker_id) is not self._worker

    @property
    def _needs_poll(self) -> bool:
        worker = self._worker
        return (
            not worker.claimed
            or bool(worker.unacknowledged_ends)
            or any(p.phase is not Phase.PLANNED for p in worker.placements.values())
        )

    async def watch(self) -> None:
        """Poll the worker whenever needed until it is removed."""
        pause_s = POLL_RETRY_PAUSE_S
        while not self._removed:
            if not self._needs_poll:
                self._wake.clear()
                await self._wake.wait()
                continue
            await self._await_durable_ends()
            if self._removed:
                return
            if await self._poll():
                pause_s = POLL_RETRY_PAUSE_S
                continue
            await asyncio.sleep(pause_s)
            pause_s = increase_retry_pause(
                pause_s, holds_runs=bool(self._worker.placements)
            )

    async def _await_durable_ends(self) -> None:
        worker = self._worker
        if not worker.unacknowledged_ends:
            return
        if worker.find_last_durable_end() >= worker.unacknowledged_ends[-1][0]:
            return
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), DURABLE_WAIT_S)
        except TimeoutError:
            # The store is slow or unavailable. Poll the worker anyway: its lease
            # must be renewed, and more runs may have ended.
            return

    async def _poll(self, *, may_wait: bool = True) -> bool:
        worker, context = self._worker, self._context
        lease_s = leases.choose_lease_s(worker, lease_s=self._core.lease_s)
        sent_at = context.clock.read_monotonic()
        deadline_s = None
        grant = 0
        if context.may_renew and leases.needs_renewal(
            worker, now=sent_at, lease_s=lease_s
        ):
            deadline_s = leases.choose_deadline(worker, now=sent_at, lease_s=lease_s)
        if deadline_s is not None and worker.may_send_lease:
            grant = leases.record_grant_sent(worker, now=sent_at, lease_s=lease_s)
        else:
            # A lease sent into a partition may arrive late, which would leave the
            # end of the worker's lease unknown. A worker that does not answer is
            # only polled, and gets its lease once it answers.
            deadline_s = None
        acknowledged = worker.find_last_durable_end()
        wait_s = self._choose_wait() if may_wait and deadline_s is None else 0.0
        if wait_s:
            self._waiting_poll_open = True
        answer = await context.calls.poll(
            worker.worker_id,
            worker.entry.address,
            acknowledged=acknowledged,
            deadline_s=deadline_s,
            wait_s=wait_s,
            timeout_s=self._choose_poll_timeout(wait_s),
        )
        now = context.clock.read_monotonic()
        if wait_s:
            self._waiting_poll_open = False
        if isinstance(answer, WorkerReport):
            if grant:
                leases.record_grant_answered(
                    worker, grant, sent_at=sent_at, now=now, lease_s=lease_s
                )
            worker.drop_acknowledged_ends(acknowledged)
            self._core.handle_report(worker, answer, sent_at=sent_at, now=now)
            context.request_pass()
            return True
        if grant and isinstance(answer, NotSent | WorkerRefused | OrderRejected):
            leases.record_grant_dropped(worker, grant)
        self._handle_failure(answer, now)
        return False

    def _choose_wait(self) -> float:
        """Return how long a poll may wait for a run to end, in seconds."""
        worker = self._worker
        if not (worker.claimed and worker.reachable and worker.placements):
            return 0.0
        if worker.awaits_proof:
            # This poll proves that a run is absent, so that its task can be planned
            # again. Where nothing runs, waiting for an end only delays that.
            return 0.0
        return DRAINING_POLL_WAIT_S if worker.entry.draining else POLL_WAIT_S

    def _choose_poll_timeout(self, wait_s: float) -> float:
        usual_s = self._context.timeout_estimator.timeout_s
        return wait_s + max(
            MIN_WAITING_POLL_MARGIN_S if wait_s else MIN_POLL_TIMEOUT_S, usual_s
        )

    async def _await_answer(
        self, call: Coroutine[Any, Any, float | OrderFailure], timeout_s: float
    ) -> float | OrderFailure:
        """Return the answer to an order, or ``SentUnanswered`` after the timeout.

        The call itself continues, so that a late answer still adapts the timeout of
        the next orders.
        """
        context = self._context
        sent_at = context.clock.read_monotonic()
        task = context.spawn(call, name=f"order-{self._worker.worker_id}")
        task.add_done_callback(lambda _: self._time_answer(task, sent_at))
        await asyncio.wait((task,), timeout=timeout_s + NOT_SENT_MARGIN_S)
        if task.done():
            return task.result()
        return SentUnanswered(reason="timed out before the answer")

    def _time_answer(
        self, task: "asyncio.Task[float | OrderFailure]", sent_at: float
    ) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), float | OrderRejected):
            took_s = self._context.clock.read_monotonic() - sent_at
            self._context.timeout_estimator.record_answer(took_s)

    async def _poll_without_wait(self) -> None:
        """Poll at once if a waiting poll is open that may not return soon."""
        worker = self._worker
        if self._waiting_poll_open and (worker.awaits_proof or not worker.reachable):
            await self._poll(may_wait=False)

    def _handle_failure(self, answer: OrderFailure, now: float) -> None:
        worker = self._worker
        if isinstance(answer, FencedOff):
            self._context.step_down("a worker knows a higher fencing token")
        elif isinstance(answer, WorkerReplaced):
            self._core.lose_worker(worker.worker_id, answer.reason)
        else:
            if worker.reachable:
                logger.info(
                    "worker unreachable",
                    extra={"worker": worker.worker_id, "reason": answer.reason},
                )
            self._core.mark_unreachable(worker, now)
        self._context.request_pass()

    async def send_orders(self) -> None:
        """Send the queued orders until the worker is removed.

        One order is sent at a time, or the starts of several members of a gang.
        """
        while not self._removed:
            orders = await self._orders.take()
            await asyncio.gather(*map(self._send, orders))
            if not self._orders or not self._worker.reachable:
                await self._poll_without_wait()
            self.wake()
            self._context.request_pass()

    async def _send(self, order: Order) -> None:
        if order.start:
            await self._start(order)
            return
        await self._stop(order)
        self._orders.mark_stop_answered(order)

    async def _start(self, order: Order) -> None:
        worker, context, placement = self._worker, self._context, order.placement
        await self._await_reachable()
        self._orders.mark_start_sent(order)
        if placement.phase is not Phase.SENT:
            self._core.drop_unsent(placement)
            return
        if self._removed:
            return
        lease_s = self._core.lease_s
        sent_at = context.clock.read_monotonic()
        deadline_s = leases.choose_deadline(worker, now=sent_at, lease_s=lease_s)
        if deadline_s is None or not worker.may_send_lease:
            # A lease sent into a partition might arrive late and unnoticed.
            dropped = NotSent(reason="the worker is unreachable")
            self._core.handle_start_answer(placement, dropped, sent_at)
            return
        grant = leases.record_grant_sent(worker, now=sent_at, lease_s=lease_s)
        for _ in range(MAX_START_ATTEMPTS):
            answer = await self._send_start(order, deadline_s)
            if not isinstance(answer, SentUnanswered):
                break
            placement.may_start_late = True
            if placement.phase is not Phase.SENT or self._removed:
                break
        now = context.clock.read_monotonic()
        seen_running = isinstance(answer, SentUnanswered) and placement.is_active
        if seen_running or isinstance(answer, float | OrderRejected):
            # A rejected start may still have extended the lease. All attempts carry
            # the same deadline, so a late one cannot extend it further.
            leases.record_grant_answered(
                worker, grant, sent_at=sent_at, now=now, lease_s=lease_s
            )
        elif not placement.may_start_late and not isinstance(answer, SentUnanswered):
            leases.record_grant_dropped(worker, grant)
        if isinstance(answer, FencedOff):
            context.step_down("a worker knows a higher fencing token")
            return
        if not seen_running:
            self._core.handle_start_answer(placement, answer, now)

    async def _await_reachable(self) -> None:
        """Wait until a lease may be granted, if a call failed only recently.

        If starts were dropped at once, one lost order would end all runs planned on
        this worker, and the gangs that they belong to.
        """
        worker, clock = self._worker, self._context.clock
        until = worker.unreachable_at + self._context.timeout_estimator.timeout_s
        while not (worker.may_send_lease or self._removed):
            left_s = until - clock.read_monotonic()
            if left_s <= 0:
                return
            self._may_send_lease.clear()
            event = asyncio.ensure_future(self._may_send_lease.wait())
            await asyncio.wait((event,), timeout=left_s)
            event.cancel()

    async def _send_start(
        self, order: Order, deadline_s: float
    ) -> float | OrderFailure:
        sent_at = self._context.clock.read_monotonic()
        timeout_s = self._context.timeout_estimator.timeout_s
        call = self._context.calls.start(
            self._core.describe_start(order.placement),
            deadline_s=deadline_s,
            send_within_s=timeout_s,
            timeout_s=MAX_TIMEOUT_S,
        )
        answer = await self._await_answer(call, timeout_s)
        now = self._context.clock.read_monotonic()
        self._record_answer(order, answer, sent_at=sent_at, now=now)
        return answer

    async def _stop(self, order: Order) -> None:
        context, placement = self._context, order.placement
        stop = self._core.describe_stop(placement)
        if stop is None or placement.key not in self._worker.placements:
            return
        if placement.stop_answered:
            return
        sent_at = context.clock.read_monotonic()
        timeout_s = context.timeout_estimator.timeout_s
        call = context.calls.stop(
            stop, send_within_s=timeout_s, timeout_s=MAX_TIMEOUT_S
        )
        answer = await self._await_answer(call, timeout_s)
        now = context.clock.read_monotonic()
        self._record_answer(order, answer, sent_at=sent_at, now=now)
        if isinstance(answer, FencedOff):
            context.step_down("a worker knows a higher fencing token")
            return
        self._core.handle_stop_answer(placement, answer, now)

    def _record_answer(
        self, order: Order, answer: float | OrderFailure, *, sent_at: float, now: float
    ) -> None:
        waited_s, took_s = sent_at - order.queued_at, now - sent_at
        answered = not isinstance(answer, SentUnanswered | NotSent)
        self._context.record_order(order.kind, waited_s, took_s, answered=answered)
        late = waited_s >= LATE_ORDER_WAIT_S
        if isinstance(answer, float) and not late:
            return
        logger.info(
            "order taken late" if isinstance(answer, float) else "order not taken",
            extra={
                PRIORITY_ATTRIBUTE: late,
                "kind": order.kind,
                "job": order.placement.task.job_id,
                "index": order.placement.task.index,
                "worker": self._worker.worker_id,
                "run": order.placement.run,
                "waited_s": round(waited_s, 3),
                "took_s": round(took_s, 3),
                "queued": self.queued_orders,
                "reason": "" if isinstance(answer, float) else answer.reason,
            },
        )
