"""Manage one worker: poll its state, renew its lease and send its orders."""

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import Coroutine
from typing import Any, TypeVar

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
from ..models.order import StopOrder, WorkerReport
from ..utils.logs import PRIORITY_ATTRIBUTE
from .order_window import Turn
from .orders import Order, OrderQueue, Rank
from .session_context import SessionContext
from .timeout_estimator import MAX_TIMEOUT_S

logger = logging.getLogger(__name__)

T = TypeVar("T")

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

MAX_STOP_ATTEMPTS = 3
"""Attempts in a row to stop a member of a gang that has not started whole. Other stops
are sent once, and repeated by the engine."""

ORDER_HEADER_BYTES = 350
"""Bytes of an order besides the job's payload."""

MAX_ORDERS_IN_FLIGHT = 4
"""Maximum orders of one worker whose answers are awaited: stops, starts of one gang,
and overdue starts."""

LATE_ORDER_WAIT_S = 1.0
"""Seconds in the queue from which an order is logged, whatever its answer."""

DURABLE_WAIT_S = 0.25
"""Maximum seconds that a poll is delayed until the ended runs it would acknowledge are
durable. A worker answers at once while it has unacknowledged ends."""


def estimate_size(order: Order) -> int:
    """Return the bytes of an order on the link, without those of its packets."""
    unit = order.placement.unit
    if not order.start or unit is None:
        return ORDER_HEADER_BYTES
    return ORDER_HEADER_BYTES + len(unit.job.accepted.workload.payload)


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
        self._orders = OrderQueue(context.order_window.numbers)
        self._turn: Turn | None = None
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
            if self._turn is not None and self._orders.next_is_unwanted:
                self._context.order_window.skip(self._turn)
            self._context.request_pass()
        else:
            self._orders.add_stop(placement, now)
        # The new order may be of a higher rank than the one that waits.
        self._promote_turn()

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
            or not worker.reachable
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
            await self._await_renewal()
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

    async def _await_renewal(self) -> None:
        """Wait until a lease may be sent to a worker that was reached again.

        Without it the next poll would wait for an end, and the lease might expire.
        """
        worker, now = self._worker, self._context.clock.read_monotonic()
        if not worker.reachable or worker.may_send_lease:
            return
        if leases.needs_renewal(worker, now=now, lease_s=self._core.lease_s):
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), DURABLE_WAIT_S)

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
        timeout_s = self._choose_poll_timeout(wait_s)
        call = context.calls.poll(
            worker.worker_id,
            worker.entry.address,
            acknowledged=acknowledged,
            deadline_s=deadline_s,
            wait_s=wait_s,
            send_within_s=timeout_s,
            timeout_s=timeout_s if wait_s else MAX_TIMEOUT_S,
        )
        # How long a waiting poll takes says nothing of the link.
        answer = await (call if wait_s else self._await_answer(call, timeout_s))
        now = context.clock.read_monotonic()
        if wait_s:
            self._waiting_poll_open = False
        if isinstance(answer, WorkerReport):
            if grant:
                leases.record_grant_answered(
                    worker, grant, sent_at=sent_at, now=now, lease_s=lease_s
                )
            worker.drop_acknowledged_ends(acknowledged)
            was_reachable = worker.reachable
            self._core.handle_report(worker, answer, sent_at=sent_at, now=now)
            if not was_reachable:
                self._promote_turn()
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
        self, call: Coroutine[Any, Any, T | OrderFailure], timeout_s: float
    ) -> T | OrderFailure:
        """Return the answer to a call, or ``SentUnanswered`` after the timeout.

        The call itself continues, so that a late answer still adapts the timeout of
        the next ones: a leader behind a slow link could otherwise claim no worker.
        """
        context = self._context
        sent_at = context.clock.read_monotonic()
        task = context.spawn(call, name=f"order-{self._worker.worker_id}")
        task.add_done_callback(lambda _: self._time_answer(task, sent_at))
        await asyncio.wait((task,), timeout=timeout_s + NOT_SENT_MARGIN_S)
        if task.done():
            return task.result()
        return SentUnanswered(reason="timed out before the answer")

    def _time_answer(self, task: "asyncio.Task[Any]", sent_at: float) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if isinstance(task.result(), float | WorkerReport | OrderRejected):
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

        One start is in flight at a time, which limits the load of a slow link or
        processor. An overdue one no longer holds up the others: while orders are lost,
        starts and stops would wait in the queue for longer than a gang's members wait
        for each other. Stops do not wait for each other, as urgent work waits for them,
        and neither do the starts of one gang, whose members wait for each other.
        """
        in_flight: set[asyncio.Task[None]] = set()
        while not self._removed:
            await self._orders.wait()
            await self._await_turn()
            order = self._orders.take()
            task = self._spawn(self._execute(order))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
            settled = self._spawn(self._end_turn(task))
            if not self._orders.next_joins(order):
                await asyncio.wait((settled,))
            while len(in_flight) >= MAX_ORDERS_IN_FLIGHT:
                await asyncio.wait(in_flight, return_when=asyncio.FIRST_COMPLETED)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return self._context.spawn(work, name=f"order-{self._worker.worker_id}")

    async def _await_turn(self) -> None:
        """Wait until the next order may be sent; it may be another one by then."""
        window, order = self._context.order_window, self._find_next()
        self._turn = window.request(order, size=estimate_size(order))
        if self._orders.next_is_unwanted:
            window.skip(self._turn)
        await self._turn
        self._turn = None

    def _promote_turn(self) -> None:
        if self._turn is not None and self._orders:
            order = self._find_next()
            size = estimate_size(order)
            self._context.order_window.promote(self._turn, order, size=size)

    def _find_next(self) -> Order:
        """Return the next order, ranked for its turn.

        Stops to a silent worker are repeated until its lease has ended. If they went
        before starts, those of a few dozen silent workers would take all turns.
        """
        order = self._orders.find_next()
        if order.start or self._worker.reachable:
            return order
        return dataclasses.replace(order, rank=Rank.SILENT_STOP)

    async def _end_turn(self, task: asyncio.Task[None]) -> None:
        """End the turn of an order that was answered or is overdue."""
        overdue_s = self._context.timeout_estimator.overdue_s
        await asyncio.wait((task,), timeout=overdue_s)
        self._context.order_window.release()

    async def _execute(self, order: Order) -> None:
        if order.start:
            await self._start(order)
        else:
            await self._stop(order)
        if not self._orders or not self._worker.reachable:
            await self._poll_without_wait()
        self.wake()
        self._context.request_pass()

    async def _start(self, order: Order) -> None:
        worker, context, placement = self._worker, self._context, order.placement
        await self._await_reachable()
        self._orders.mark_start_sent(order)
        if placement.unit is not None:
            self._core.abort_late_gang(placement.unit, context.clock.read_monotonic())
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
        self._core.record_start_sent(placement, sent_at)
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
        await self._send_stop(order)
        self._orders.mark_stop_answered(order)

    async def _send_stop(self, order: Order) -> None:
        context, placement = self._context, order.placement
        stop = self._core.describe_stop(placement)
        if stop is None or placement.key not in self._worker.placements:
            return
        if placement.stop_answered:
            return
        unit = placement.unit
        is_urgent = unit is not None and unit.may_have_waiting_members
        for _ in range(MAX_STOP_ATTEMPTS if is_urgent else 1):
            answer = await self._try_stop(order, stop)
            if not isinstance(answer, SentUnanswered) or self._removed:
                break
        if isinstance(answer, FencedOff):
            context.step_down("a worker knows a higher fencing token")
            return
        now = context.clock.read_monotonic()
        self._core.handle_stop_answer(placement, answer, now)

    async def _try_stop(self, order: Order, stop: StopOrder) -> float | OrderFailure:
        context = self._context
        sent_at = context.clock.read_monotonic()
        timeout_s = context.timeout_estimator.timeout_s
        call = context.calls.stop(
            stop, send_within_s=timeout_s, timeout_s=MAX_TIMEOUT_S
        )
        answer = await self._await_answer(call, timeout_s)
        now = context.clock.read_monotonic()
        self._record_answer(order, answer, sent_at=sent_at, now=now)
        return answer

    def _record_answer(
        self, order: Order, answer: float | OrderFailure, *, sent_at: float, now: float
    ) -> None:
        waited_s, took_s = sent_at - order.queued_at, now - sent_at
        answered = not isinstance(answer, SentUnanswered | NotSent)
        self._context.record_order(
            order.kind,
            waited_s,
            took_s,
            answered=answered,
            urgent_start=order.rank is Rank.URGENT_START,
        )
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
