"""Manage one worker: poll its state and renew its lease."""

import asyncio
import contextlib
import functools
import logging
from typing import TypeVar

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
    WorkerRestarted,
)
from ..models.order import WorkerReport
from .answer_timer import AnswerTimer
from .order_sender import OrderSender
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

MAX_CLAIMS_IN_FLIGHT = 64
"""Maximum polls in flight to workers that are not claimed or not reachable. If those of
thousands of workers left at once, none would be answered within its timeout."""

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
        self._answers = AnswerTimer(context, name=f"poll-{worker.worker_id}")
        self._sender = OrderSender(
            context,
            worker,
            poll_now=self._poll_without_wait,
            confirm_worker=functools.partial(self._poll, may_wait=False),
            wake_session=self.wake,
        )
        self._waiting_poll_open = False
        self._idle = False

    def wake(self) -> None:
        """Let the loops check again whether the worker must be polled.

        All sessions are woken several times a second, and most have nothing to do.
        """
        if self._idle and not (self._needs_poll or self._removed):
            return
        self._wake.set()
        self._sender.wake()

    def order(self, placement: Placement, *, start: bool) -> None:
        """Queue a start or a stop."""
        self._sender.add(placement, start=start)

    async def send_orders(self) -> None:
        """Send the queued orders until the worker is removed."""
        await self._sender.run()

    @property
    def queued_orders(self) -> int:
        """Return the number of orders waiting to be sent."""
        return len(self._sender)

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
                self._idle = True
                await self._wake.wait()
                self._idle = False
                continue
            await self._await_durable_ends()
            await self._await_renewal()
            if self._removed:
                return
            if await self._poll_in_turn():
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
        # If the store is slow or unavailable, the worker is polled anyway: its lease
        # must be renewed, and more runs may have ended.
        await self._await_durable()

    async def _await_renewal(self) -> None:
        """Wait until a lease may be sent to a worker that was reached again.

        Without it the next poll would wait for an end, and the lease might expire.
        """
        worker, now = self._worker, self._context.clock.read_monotonic()
        if not worker.reachable or worker.may_send_lease:
            return
        if leases.needs_renewal(worker, now=now, lease_s=self._core.lease_s):
            await self._await_durable()

    async def _await_durable(self) -> None:
        """Wait until records have become durable, for a limited time."""
        self._wake.clear()
        self._context.durability_waiters.add(self)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), DURABLE_WAIT_S)
        self._context.durability_waiters.discard(self)

    async def _poll_in_turn(self) -> bool:
        """Poll the worker; if it may not answer, only a few of them at a time.

        The turn ends when the answer is overdue, so that silent workers do not hold up
        the others.
        """
        if self._worker.claimed and self._worker.reachable:
            return await self._poll()
        context = self._context
        async with context.claim_window:
            poll = context.spawn(self._poll(), name=f"claim-{self._worker.worker_id}")
            overdue_s = context.timeout_estimator.overdue_s
            await asyncio.wait((poll,), timeout=overdue_s)
        return await poll

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
        acknowledged = worker.choose_acknowledgement()
        if acknowledged:
            leases.record_acknowledgement_sent(worker, now=sent_at)
        wait_s = self._choose_wait() if may_wait and deadline_s is None else 0.0
        if wait_s:
            self._waiting_poll_open = True
        timeout_s = self._choose_poll_timeout(wait_s)
        call = context.calls.poll(
            worker.worker_id,
            worker.entry.address,
            born=worker.entry.born,
            acknowledged=acknowledged,
            deadline_s=deadline_s,
            wait_s=wait_s,
            send_within_s=timeout_s,
            timeout_s=timeout_s if wait_s else MAX_TIMEOUT_S,
        )
        # How long a waiting poll takes says nothing of the link.
        answer = await (call if wait_s else self._answers.await_answer(call, timeout_s))
        now = context.clock.read_monotonic()
        if wait_s:
            self._waiting_poll_open = False
        if not isinstance(answer, SentUnanswered):
            leases.record_acknowledgement_settled(worker, sent_at=sent_at)
        if isinstance(answer, WorkerReport):
            if grant:
                leases.record_grant_answered(
                    worker, grant, sent_at=sent_at, now=now, lease_s=lease_s
                )
            worker.drop_acknowledged_ends(acknowledged)
            was_reachable = worker.reachable
            self._core.handle_report(worker, answer, sent_at=sent_at, now=now)
            if not was_reachable:
                self._sender.promote_turn()
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
        if worker.entry.draining:
            return DRAINING_POLL_WAIT_S
        now = self._context.clock.read_monotonic()
        return self._core.choose_poll_wait(worker, POLL_WAIT_S, now=now)

    def _choose_poll_timeout(self, wait_s: float) -> float:
        usual_s = self._context.timeout_estimator.timeout_s
        return wait_s + max(
            MIN_WAITING_POLL_MARGIN_S if wait_s else MIN_POLL_TIMEOUT_S, usual_s
        )

    async def _poll_without_wait(self) -> None:
        """Poll at once if a waiting poll is open that may not return soon."""
        worker = self._worker
        if self._waiting_poll_open and (worker.awaits_proof or not worker.reachable):
            await self._poll(may_wait=False)

    def _handle_failure(self, answer: OrderFailure, now: float) -> None:
        worker = self._worker
        if isinstance(answer, FencedOff):
            self._context.step_down("a worker knows a higher fencing token")
        elif self._removed:
            return
        elif isinstance(answer, WorkerReplaced):
            self._core.lose_worker(worker.worker_id, answer.reason, now=now)
        elif isinstance(answer, WorkerRestarted):
            self._core.record_restart(worker, answer.born, now)
        else:
            if worker.reachable:
                logger.info(
                    "worker unreachable",
                    extra={"worker": worker.worker_id, "reason": answer.reason},
                )
            self._core.record_no_answer(worker, answer, now)
        self._context.request_pass()
