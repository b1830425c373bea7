"""Send the orders for one worker by rank and age."""

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from ..engine import leases
from ..engine.crashes import has_answered_lately
from ..engine.state import Phase, Placement, Worker
from ..exceptions import (
    FencedOff,
    NotSent,
    OrderFailure,
    OrderRejected,
    SentUnanswered,
    WorkerRestarted,
)
from ..models.order import StopOrder
from ..utils.logs import PRIORITY_ATTRIBUTE
from .answer_timer import AnswerTimer
from .order_window import Turn
from .orders import Order, OrderQueue, Rank
from .session_context import SessionContext
from .timeout_estimator import MAX_TIMEOUT_S

logger = logging.getLogger(__name__)

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


def estimate_size(order: Order) -> int:
    """Return the bytes of an order on the link, without those of its packets."""
    unit = order.placement.unit
    if not order.start or unit is None:
        return ORDER_HEADER_BYTES
    return ORDER_HEADER_BYTES + len(unit.job.accepted.workload.payload)


class OrderSender:
    """Sends starts and stops to one worker, and applies their answers."""

    def __init__(
        self,
        context: SessionContext,
        worker: Worker,
        *,
        poll_now: Callable[[], Awaitable[None]],
        confirm_worker: Callable[[], Awaitable[bool]],
        wake_session: Callable[[], None],
    ) -> None:
        """Send orders to ``worker`` on behalf of the term ``context``.

        ``poll_now`` polls the worker if that may free capacity; ``confirm_worker``
        polls it in any case and returns whether it has answered; ``wake_session`` is
        called after each order.
        """
        self._context = context
        self._core = context.core
        self._worker = worker
        self._poll_now = poll_now
        self._confirm_worker = confirm_worker
        self._wake_session = wake_session
        self._answers = AnswerTimer(context, name=f"order-{worker.worker_id}")
        self._orders = OrderQueue(context.order_window.numbers)
        self._turn: Turn | None = None
        self._may_send_lease = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of orders waiting to be sent."""
        return len(self._orders)

    def wake(self) -> None:
        """Let starts check again whether a lease may be sent."""
        self._may_send_lease.set()

    def add(self, placement: Placement, *, start: bool) -> None:
        """Queue a start or a stop.

        Stopping a run whose start was not sent yet drops the start instead.
        """
        now = self._context.clock.read_monotonic()
        if start:
            self._core.record_start_due(placement, now)
            self._orders.add_start(placement, now)
        elif self._orders.has_unsent_start(placement):
            self._core.drop_unsent(placement)
            if self._turn is not None and self._orders.next_is_unwanted:
                self._context.order_window.skip(self._turn)
            self._context.request_pass()
        else:
            self._orders.add_stop(placement, now)
        # The new order may be of a higher rank than the one that waits.
        self.promote_turn()

    @property
    def _removed(self) -> bool:
        return self._core.workers.get(self._worker.worker_id) is not self._worker

    async def run(self) -> None:
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
            task = self._send_in(in_flight, order)
            settled = self._spawn(self._end_turn(task))
            if not order.start:
                self._send_joined_stops(in_flight, order)
                await asyncio.wait((settled,))
            elif not self._orders.next_joins(order):
                await asyncio.wait((settled,))
            while len(in_flight) >= MAX_ORDERS_IN_FLIGHT:
                await asyncio.wait(in_flight, return_when=asyncio.FIRST_COMPLETED)

    def _send_in(
        self, in_flight: set[asyncio.Task[None]], order: Order
    ) -> asyncio.Task[None]:
        task = self._spawn(self._execute(order))
        in_flight.add(task)
        task.add_done_callback(in_flight.discard)
        return task

    def _send_joined_stops(
        self, in_flight: set[asyncio.Task[None]], first: Order
    ) -> None:
        """Send further stops in the turn of the first.

        With a turn for each, the stops to workers that have just fallen silent would
        take all turns of the leader.
        """
        while len(in_flight) < MAX_ORDERS_IN_FLIGHT and self._orders.next_joins(first):
            self._send_in(in_flight, self._orders.take())

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

    def promote_turn(self) -> None:
        """Rank the turn that is waited for like the order that is next now."""
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
            await self._poll_now()
        self._wake_session()
        self._context.request_pass()

    async def _start(self, order: Order) -> None:
        worker, context, placement = self._worker, self._context, order.placement
        await self._await_reachable()
        await self._await_confirmation(placement)
        self._orders.mark_start_sent(order)
        if placement.unit is not None:
            now = context.clock.read_monotonic()
            self._core.abort_late_gang(placement.unit, now)
            self._core.abort_without_ticket(placement.unit, now)
        # The lease counts from before this check: the process may stand still after it.
        sent_at = context.clock.read_monotonic()
        if not context.may_renew and placement.unit is not None:
            # A successor that does not reach the worker would count on its old lease.
            self._core.preempt(placement.unit)
        if placement.phase is not Phase.SENT:
            self._core.drop_unsent(placement)
            return
        if self._removed:
            return
        lease_s = self._core.lease_s
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
        if seen_running or isinstance(answer, float | OrderRejected | WorkerRestarted):
            # A rejected start may still have extended the lease, and the next life of
            # the worker has carried out what its former one was sent. All attempts
            # carry the same deadline, so a late one cannot extend it further.
            leases.record_grant_answered(
                worker, grant, sent_at=sent_at, now=now, lease_s=lease_s
            )
        elif not placement.may_start_late and not isinstance(answer, SentUnanswered):
            leases.record_grant_dropped(worker, grant)
        if isinstance(answer, FencedOff):
            context.step_down("a worker knows a higher fencing token")
            return
        if not (seen_running or self._removed):
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
            self._context.durability_waiters.add(self)
            event = asyncio.ensure_future(self._may_send_lease.wait())
            await asyncio.wait((event,), timeout=left_s)
            event.cancel()
            self._context.durability_waiters.discard(self)

    async def _await_confirmation(self, placement: Placement) -> None:
        """Poll the worker first if an earlier one was lost before the start's answer.

        If this one is lost as well, the answer shows whether the task may be the cause.
        """
        worker, unit = self._worker, placement.unit
        if unit is None or not unit.crashes or not worker.may_send_lease:
            return
        if not has_answered_lately(worker, self._context.clock.read_monotonic()):
            await self._confirm_worker()

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
        answer = await self._answers.await_answer(call, timeout_s)
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
        if self._removed:
            # The stop may have to be sent again to the worker's next incarnation.
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
        answer = await self._answers.await_answer(call, timeout_s)
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
                "queued": len(self._orders),
                "reason": "" if isinstance(answer, float) else answer.reason,
            },
        )
