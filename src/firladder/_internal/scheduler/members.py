"""The members of one gang on their workers: reserve, start and stop them."""

import asyncio
from collections.abc import Callable
from typing import Any, Literal

from ..charts.interpreter import Chart, ChartInstance
from ..etcd.workers import WorkerClient
from ..exceptions import Failure, FencedOff, WorkerUnreachable
from ..models.job import Member
from ..models.task import ENDED, ReserveTask, StopTask, TaskStatus
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from .accounting import Accounting, GangState
from .gang_messages import GangMessage, GangTimes
from .leadership import Leadership
from .ledger import Ledger
from .recovery import name_task

EXPIRY_MARGIN_S = 0.5
"""Added to a lease before it counts as expired."""

STOP_RETRY_S = 0.2

AVOID_S = 60.0
"""How long a job avoids a worker on which one of its members failed. A faulty worker
is in quarantine by then. If this never ended, a gang that needs both workers of a
failure domain with two would wait forever after one failure."""


class GangMembers:
    """Send commands to the members of a gang, under the leader's epoch."""

    def __init__(
        self,
        *,
        gang: GangState,
        accounting: Accounting,
        ledger: Ledger,
        workers: WorkerClient,
        leadership: Leadership,
        epoch: int,
        times: GangTimes,
        chart: Chart,
        clock: Clock,
        timeline: Timeline,
        on_worker_failure: Callable[[str, str], None],
    ) -> None:
        """Prepare for one term; ``start`` or ``adopt`` of the subclass runs it."""
        self._gang = gang
        self._members = gang.members
        self._accounting = accounting
        self._ledger = ledger
        self._workers = workers
        self._leadership = leadership
        self._epoch = epoch
        self._times = times
        self._chart = ChartInstance(chart)
        self._clock = clock
        self._timeline = timeline
        self._on_worker_failure = on_worker_failure
        self._job = gang.record.spec.id
        self._ran = False
        self._lease_s = 2 * times.start_ttl_s
        self._last_command_at = clock.read_monotonic()
        self.inbox: asyncio.Queue[GangMessage] = asyncio.Queue()

    def _record(self, event: Event, **details: Any) -> None:
        self._timeline.record(
            event,
            job=self._job,
            epoch=self._epoch,
            attempt=self._gang.record.attempt,
            **details,
        )

    def _address(self, member: Member) -> str:
        return self._accounting.workers[member.worker].machine.address

    async def _reserve_all(self) -> bool:
        spec, record = self._gang.record.spec, self._gang.record
        results = await asyncio.gather(
            *(
                self._command(
                    member,
                    lambda m: self._workers.reserve(
                        self._address(m),
                        ReserveTask(
                            epoch=self._epoch,
                            task=self._name_task(m),
                            job=self._job,
                            attempt=record.attempt,
                            gang_size=spec.members,
                            accelerators=m.accelerators,
                            cpus=spec.cpus,
                            memory_mb=spec.memory_mb,
                            run_time_s=spec.run_time_s,
                            ttl_s=self._times.start_ttl_s,
                            payload=spec.payload,
                        ),
                    ),
                )
                for member in self._members
            )
        )
        if not all(isinstance(r, TaskStatus) and r.state == "held" for r in results):
            return False
        self._chart.fire("reserve")
        self._record(
            Event.GANG_RESERVED, workers=sorted({m.worker for m in self._members})
        )
        return True

    async def _start_all(self) -> bool:
        self._chart.fire("start")
        self._ran = True
        results = await asyncio.gather(
            *(
                self._command(
                    member,
                    lambda m: self._workers.start(
                        self._address(m), self._name_task(m), self._epoch
                    ),
                )
                for member in self._members
            )
        )
        for member, result in zip(self._members, results, strict=True):
            running = isinstance(result, TaskStatus) and result.state in (
                "running",
                "done",
            )
            if not running:
                self._record_failure(member.worker)
                return False
        return True

    async def _command(self, member: Member, send: Callable[[Member], Any]) -> Any:
        if not self._leadership.may_act(self._epoch):
            return FencedOff(reason="the leader's lease may have expired")
        if member.worker not in self._accounting.workers:
            return WorkerUnreachable(reason="the worker left the VM list")
        result = await send(member)
        self._last_command_at = self._clock.read_monotonic()
        if isinstance(result, FencedOff):
            self._leadership.step_down("a worker obeys a higher epoch")
        return result

    def _name_task(self, member: Member) -> str:
        return name_task(member, self._gang.record.attempt)

    def _record_failure(self, worker: str) -> None:
        """Record a failure of the worker, and let the job avoid it for a while."""
        self._on_worker_failure(worker, self._job)
        avoid = self._accounting.avoid
        avoid[self._job] = avoid.get(self._job, frozenset()) | {worker}
        asyncio.get_running_loop().call_later(AVOID_S, self._stop_avoiding, worker)

    def _stop_avoiding(self, worker: str) -> None:
        avoid = self._accounting.avoid
        avoid[self._job] = avoid.get(self._job, frozenset()) - {worker}

    def _has_expired(self, worker: str) -> bool:
        """Return whether a task lease on an unreachable worker has surely expired."""
        state = self._accounting.workers.get(worker)
        last_command_at = self._last_command_at
        if state is not None:
            if state.claimed:
                # Reachable, so its leases are renewed and its tasks must be stopped.
                return False
            last_command_at = max(last_command_at, state.renewed_at)
        return self._clock.read_monotonic() >= (
            last_command_at + self._lease_s + EXPIRY_MARGIN_S
        )

    async def _stop_all(self, *, graceful: bool) -> None:
        """End every member, or wait until its lease has expired.

        A graceful stop turns into one by force after ``stop_grace_s``. Returning
        earlier would let the job start again beside a member that still runs on
        a partitioned worker.
        """
        self._chart.fire("stop")
        self._gang.stopping = True
        began = self._clock.read_monotonic()
        grace_s = self._times.stop_grace_s if graceful else 0.0
        left = list(self._members)
        if graceful and self._gang.record.spec.checkpointable:
            await asyncio.gather(*(self._checkpoint(m) for m in left))
        while left and self._leadership.is_current_term(self._epoch):
            now = self._clock.read_monotonic()
            mode: Literal["polite", "force"] = (
                "polite" if now < began + grace_s else "force"
            )
            ended = await asyncio.gather(*(self._stop(m, mode) for m in left))
            left = [m for m, gone in zip(left, ended, strict=True) if not gone]
            # Free what the ended members held while waiting for the others.
            self._gang.members = tuple(left)
            if left:
                await asyncio.sleep(STOP_RETRY_S)

    async def _checkpoint(self, member: Member) -> None:
        await self._command(
            member,
            lambda m: self._workers.checkpoint(
                self._address(m), self._name_task(m), self._epoch
            ),
        )

    async def _stop(self, member: Member, mode: Literal["polite", "force"]) -> bool:
        state = self._accounting.workers.get(member.worker)
        if state is None or not state.claimed:
            return self._has_expired(member.worker)
        last_command_at = self._last_command_at
        result = await self._command(
            member,
            lambda m: self._workers.stop(
                self._address(m), self._name_task(m), StopTask(self._epoch, mode)
            ),
        )
        # A stop does not extend a lease.
        self._last_command_at = last_command_at
        if isinstance(result, TaskStatus):
            return result.state in ENDED
        return isinstance(result, Failure) and "404" in result.reason
