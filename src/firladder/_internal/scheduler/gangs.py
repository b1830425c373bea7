"""Start, watch and end one gang: all of its members run, or none.

A job returns to "queued" in the store only when no member of the attempt can
still run: each has confirmed its end, or its lease has certainly expired. So a
successor may start any queued job without further checks.
"""

import asyncio

import msgspec

from ..exceptions import Failure, StoreConflict
from ..models.job import JobRecord, Member
from ..models.request import Outcome
from ..models.task import RenewTasks
from ..utils.events import Event
from .gang_messages import GangMessage, MemberEnded, MemberLost, StopGang
from .job_changes import (
    adopt_attempt,
    begin_attempt,
    confirm_start,
    finish,
    requeue,
)
from .members import GangMembers


class GangRunner(GangMembers):
    """Run one gang and own its state; messages in ``inbox`` control it."""

    @property
    def settled(self) -> bool:
        """Return whether the gang has started or ended."""
        return self._chart.state in ("running", "ended")

    @property
    def running(self) -> bool:
        """Return whether the gang counts as running."""
        return self._chart.state == "running"

    async def start(self) -> None:
        """Claim the job, reserve and start all members, and watch them to the end."""
        if not await self._claim():
            self._release()
            return
        self._chart.fire("claim")
        started = (
            await self._reserve_all()
            and await self._start_all()
            and await self._confirm_all()
        )
        if not started:
            await self._abort()
            return
        await self._watch()

    async def undo_claim(self) -> None:
        """Queue a job again whose claim was written while the answer was lost."""
        await self._requeue("the answer to the claim was lost")

    async def adopt(self) -> None:
        """Watch a gang to its end that a former leader started.

        First write this leader's epoch into the job. An outcome that the former
        leader has in flight could otherwise be written as well as this one's.
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
                await self._stop_all(graceful=False)
                self._release()
                return
        await self._watch()

    async def _claim(self) -> bool:
        """Write the attempt to the store before anything starts.

        Otherwise a leader that dies during the start leaves no trace, and its
        successor would run a job twice that must run once.
        """
        members = self._members
        if self._leadership.isolated:
            record = self._gang.record
            # A new attempt, because workers still know the task names of the last.
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

    async def _confirm_all(self) -> bool:
        """Give the members long leases, now that all of them run.

        Until then each member has only the short lease of its start. If this
        leader dies, members that did start end by themselves within seconds
        instead of running on as part of an incomplete gang.
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

    async def _watch(self) -> None:
        """Wait until all members are done, or until a message ends the gang."""
        awaited = {self._name_task(m) for m in self._members}
        while awaited:
            message = await self.inbox.get()
            if isinstance(message, MemberEnded):
                if message.status.task not in awaited:
                    continue
                if message.status.state == "done":
                    awaited.discard(message.status.task)
                    # Free the accelerators at once: writing the outcome may have
                    # to wait until the store is available again.
                    self._gang.members = tuple(
                        m for m in self._members if self._name_task(m) in awaited
                    )
                    continue
            await self._end_for(message)
            return
        await self._finish("done", None)

    async def _end_for(self, message: GangMessage) -> None:
        await self._stop_all(graceful=isinstance(message, StopGang))
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
                self._record_failure(worker)
            await self._retry(f"member ended: {message.status.state} on {worker}")

    async def _end_stopped(self, message: StopGang) -> None:
        if message.cause == "cancelled":
            await self._finish("failed", "cancelled while running")
            return
        self._record(Event.GANG_PREEMPTED)
        if self._gang.record.spec.idempotent:
            await self._requeue("evicted")
        else:
            await self._finish("failed", "evicted, and must not run twice")

    async def _abort(self) -> None:
        """Stop all members of a gang that did not start completely."""
        await self._stop_all(graceful=False)
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
            lambda job: requeue(
                job,
                attempt=known.attempt,
                reason=reason,
                failed=failed,
                never_ran=never_ran,
                wall=self._clock.read_wall(),
            ),
        )
        self._record(Event.GANG_ENDED, reason=reason)
        self._release()

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
        self._release()

    def _may_write(self) -> bool:
        # A leader that lost its term before all members had ended or expired
        # leaves the job to its successor. This sees only the local state; each
        # write also lets the store check that the term goes on.
        return self._leadership.is_current_term(self._epoch)

    def _release(self) -> None:
        self._chart.fire("end")
        self._accounting.gangs.pop(self._job, None)
        self._ledger.changed.set()
