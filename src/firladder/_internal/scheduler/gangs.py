"""Start, watch and end one gang: all of its members run, or none.

A job goes back to "queued" in the store only when no member of the attempt can
still run: each has confirmed its end, or its lease has certainly lapsed. So a
successor may start whatever is queued, and needs to know nothing else.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Literal

import msgspec

from ..charts.interpreter import Chart, ChartInstance
from ..etcd.workers import WorkerClient
from ..exceptions import Failure, FencedOff, StoreConflict, WorkerUnreachable
from ..models.job import JobRecord, Member
from ..models.request import Outcome
from ..models.task import ENDED, RenewTasks, ReserveTask, StopTask, TaskStatus
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from .books import Books, GangState
from .changes import adopt_attempt, begin_attempt, confirm_start, finish, queue_again
from .gang_messages import GangMessage, GangTimes, MemberEnded, MemberLost, StopGang
from .leadership import Leadership
from .ledger import Ledger
from .recovery import name_task

LAPSE_MARGIN_S = 0.5
"""Added to a lease before its end is taken for granted."""

STOP_PAUSE_S = 0.2

AVOID_S = 60.0
"""Seconds for which a job keeps off a worker on which a member of it failed. A
worker at fault is in quarantine by then. For ever would be too long: on a site
of two workers a gang that needs both would wait without end after one failure."""


class GangRunner:
    """One gang's task: owns its state and hears of the world by messages."""

    def __init__(
        self,
        *,
        gang: GangState,
        books: Books,
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
        """Prepare for one term of office; ``start`` or ``adopt`` does the rest."""
        self._gang = gang
        self._members = gang.members
        self._books = books
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
        self._touched_at = clock.read_monotonic()
        self.inbox: asyncio.Queue[GangMessage] = asyncio.Queue()

    @property
    def settled(self) -> bool:
        """Tell whether the gang is past its start, or over."""
        return self._chart.state in ("running", "ended")

    @property
    def running(self) -> bool:
        """Tell whether all members are taken to run."""
        return self._chart.state == "running"

    async def start(self) -> None:
        """Claim the job, reserve on all workers, start all, and see it through."""
        if not await self._claim():
            self._leave()
            return
        self._chart.fire("claim")
        started = await self._reserve_all() and await self._start_all()
        if not started:
            await self._abort()
            return
        await self._watch()

    async def undo_claim(self) -> None:
        """Queue a job again whose claim was written, though its answer was lost."""
        await self._requeue("the answer to the claim was lost")

    async def adopt(self) -> None:
        """See a gang through that a former leader started.

        Writes the own epoch into the job first: an outcome that the former
        leader still has on its way would else land beside this one's.
        """
        self._chart.fire("adopt")
        self._ran, self._lease_s = True, self._times.task_ttl_s
        self._record(Event.GANG_STARTED, adopted=True)
        record = self._gang.record
        if not self._leadership.isolated:
            written = await self._ledger.write(
                self._job, lambda job: adopt_attempt(job, record)
            )
            if isinstance(written, StoreConflict):
                await self._stop_all(polite=False)
                self._leave()
                return
        await self._watch()

    async def _claim(self) -> bool:
        """Write the attempt down before anything starts.

        Without it a leader that dies in mid-start leaves no trace, and its
        successor would run a job a second time that must run once.
        """
        members = self._members
        if self._leadership.isolated:
            record = self._gang.record
            # Under a new attempt, as workers still know the names of the last.
            self._gang.record = msgspec.structs.replace(
                record, attempt=record.attempt + 1, members=members
            )
            return record.spec.idempotent
        cell = self._gang.cell
        result = await self._ledger.write(
            self._job, lambda job: begin_attempt(job, members, cell=cell)
        )
        if not isinstance(result, JobRecord):
            return False
        self._gang.record = result
        return True

    def _record(self, event: Event, **details: Any) -> None:
        self._timeline.record(
            event,
            job=self._job,
            epoch=self._epoch,
            attempt=self._gang.record.attempt,
            **details,
        )

    def _address(self, member: Member) -> str:
        return self._books.workers[member.worker].machine.address

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
                self._blame(member.worker)
                return False
        return await self._confirm_all()

    async def _confirm_all(self) -> bool:
        """Give the long leases, now that the whole gang runs.

        Until then each member has only the short lease of its start: should
        this leader die here, the members that did start end by themselves
        within seconds instead of running on as part of a gang.
        """
        self._lease_s = self._times.start_ttl_s + self._times.task_ttl_s
        by_worker: dict[str, list[Member]] = {}
        for member in self._members:
            by_worker.setdefault(member.worker, []).append(member)
        results = await asyncio.gather(
            *(
                self._command(
                    members[0],
                    lambda m: self._workers.renew(
                        self._address(m),
                        RenewTasks(
                            self._epoch,
                            self._times.task_ttl_s,
                            tuple(map(self._name_task, by_worker[m.worker])),
                        ),
                    ),
                )
                for members in by_worker.values()
            )
        )
        if any(isinstance(r, Failure) for r in results):
            return False
        self._chart.fire("confirm")
        self._gang.started_at = self._clock.read_wall()
        self._record(Event.GANG_STARTED)
        await self._write_running()
        return True

    async def _write_running(self) -> None:
        if self._leadership.isolated:
            return
        result = await self._ledger.write(self._job, confirm_start)
        if isinstance(result, JobRecord) and result.cancel_requested:
            self.inbox.put_nowait(StopGang("cancelled"))

    async def _command(self, member: Member, send: Callable[[Member], Any]) -> Any:
        if not self._leadership.may_act(self._epoch):
            return FencedOff(reason="the lease may have ended")
        if member.worker not in self._books.workers:
            return WorkerUnreachable(reason="the worker left the VM list")
        result = await send(member)
        self._touched_at = self._clock.read_monotonic()
        if isinstance(result, FencedOff):
            self._leadership.step_down("a worker obeys a higher epoch")
        return result

    def _name_task(self, member: Member) -> str:
        return name_task(member, self._gang.record.attempt)

    async def _watch(self) -> None:
        """Wait until all members are done, or one reason ends them all."""
        awaited = {self._name_task(m) for m in self._members}
        while awaited:
            message = await self.inbox.get()
            if isinstance(message, MemberEnded):
                if message.status.task not in awaited:
                    continue
                if message.status.state == "done":
                    awaited.discard(message.status.task)
                    # Free for others at once: writing the outcome may have to
                    # wait for the store to come back.
                    self._gang.members = tuple(
                        m for m in self._members if self._name_task(m) in awaited
                    )
                    continue
            await self._end_by(message)
            return
        await self._finish("done", None)

    async def _end_by(self, message: GangMessage) -> None:
        await self._stop_all(polite=isinstance(message, StopGang))
        if isinstance(message, StopGang):
            await self._end_stopped(message)
        elif isinstance(message, MemberLost):
            await self._retry(f"worker {message.worker} was lost")
        else:
            worker = next(
                m.worker
                for m in self._members
                if self._name_task(m) == message.status.task
            )
            if message.status.state == "failed":
                self._blame(worker)
            await self._retry(f"member ended: {message.status.state} on {worker}")

    async def _end_stopped(self, message: StopGang) -> None:
        if message.cause == "cancelled":
            await self._finish("failed", "cancelled while running")
            return
        self._record(Event.GANG_EVICTED)
        if self._gang.record.spec.idempotent:
            await self._requeue("evicted")
        else:
            await self._finish("failed", "evicted, and must not run twice")

    def _blame(self, worker: str) -> None:
        """Count a failure against the worker, and try the job elsewhere."""
        self._on_worker_failure(worker, self._job)
        avoid = self._books.avoid
        avoid[self._job] = avoid.get(self._job, frozenset()) | {worker}
        asyncio.get_running_loop().call_later(AVOID_S, self._allow, worker)

    def _allow(self, worker: str) -> None:
        avoid = self._books.avoid
        avoid[self._job] = avoid.get(self._job, frozenset()) - {worker}

    def _has_lapsed(self, worker: str) -> bool:
        """Tell whether a task lease on a worker out of reach has surely ended."""
        state = self._books.workers.get(worker)
        touched_at = self._touched_at
        if state is not None:
            if state.claimed:
                # Within reach, so its tasks are renewed and must be stopped.
                return False
            touched_at = max(touched_at, state.renewed_at)
        return self._clock.read_monotonic() >= (
            touched_at + self._lease_s + LAPSE_MARGIN_S
        )

    async def _stop_all(self, *, polite: bool) -> None:
        """End every member, or wait until its lease has lapsed.

        By force once the polite time is over. Returning earlier would let the
        job start again beside a member that a cut-off worker still runs.
        """
        self._chart.fire("stop")
        self._gang.evicting = True
        began = self._clock.read_monotonic()
        grace_s = self._times.stop_grace_s if polite else 0.0
        left = list(self._members)
        if polite and self._gang.record.spec.checkpointable:
            await asyncio.gather(*(self._save(m) for m in left))
        while left and self._leadership.serves(self._epoch):
            now = self._clock.read_monotonic()
            mode: Literal["polite", "force"] = (
                "polite" if now < began + grace_s else "force"
            )
            ended = await asyncio.gather(*(self._stop(m, mode) for m in left))
            left = [m for m, gone in zip(left, ended, strict=True) if not gone]
            # What has ended is free for others while the rest lapses.
            self._gang.members = tuple(left)
            if left:
                await asyncio.sleep(STOP_PAUSE_S)

    async def _save(self, member: Member) -> None:
        await self._command(
            member,
            lambda m: self._workers.checkpoint(
                self._address(m), self._name_task(m), self._epoch
            ),
        )

    async def _stop(self, member: Member, mode: Literal["polite", "force"]) -> bool:
        state = self._books.workers.get(member.worker)
        if state is None or not state.claimed:
            return self._has_lapsed(member.worker)
        touched_at = self._touched_at
        result = await self._command(
            member,
            lambda m: self._workers.stop(
                self._address(m), self._name_task(m), StopTask(self._epoch, mode)
            ),
        )
        # A stop does not lengthen a lease.
        self._touched_at = touched_at
        if isinstance(result, TaskStatus):
            return result.state in ENDED
        return isinstance(result, Failure) and "404" in result.reason

    async def _abort(self) -> None:
        """Undo a start that did not come about whole."""
        await self._stop_all(polite=False)
        self._record(Event.GANG_ABORTED)
        if self._ran:
            await self._retry("a member did not start")
        else:
            await self._requeue("not every member could be reserved")

    async def _retry(self, reason: str) -> None:
        spec = self._gang.record.spec
        if not spec.idempotent:
            await self._finish("unknown", reason)
        elif self._gang.record.failures + 1 >= spec.max_attempts:
            await self._finish("failed", reason)
        else:
            await self._requeue(reason, failed=True)

    async def _requeue(self, reason: str, *, failed: bool = False) -> None:
        known = self._gang.record
        never_ran = not self._ran and known.attempt <= 1
        if not self._may_write():
            return
        await self._ledger.write_until_done(
            self._job,
            lambda job: queue_again(
                job,
                attempt=known.attempt,
                reason=reason,
                failed=failed,
                never_ran=never_ran,
                wall=self._clock.read_wall(),
            ),
        )
        self._record(Event.GANG_ENDED, reason=reason)
        self._leave()

    async def _finish(self, outcome: Outcome, reason: str | None) -> None:
        if not self._may_write():
            return
        self._record(Event.GANG_ENDED, outcome=outcome, reason=reason)
        result = await self._ledger.write_until_done(
            self._job,
            lambda job: finish(job, outcome, reason, self._clock.read_wall()),
        )
        if not isinstance(result, StoreConflict):
            self._record(Event.JOB_ENDED, outcome=outcome)
        self._leave()

    def _may_write(self) -> bool:
        # A job whose members this leader could not end or outwait, because it
        # lost its term over it, is its successor's to judge. That the term is
        # not over elsewhere, each write lets the store compare.
        return self._leadership.serves(self._epoch)

    def _leave(self) -> None:
        self._chart.fire("end")
        self._books.gangs.pop(self._job, None)
        self._ledger.changed.set()
