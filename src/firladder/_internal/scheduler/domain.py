"""Lead one failure domain: claim its workers, recover its gangs, place jobs."""

import asyncio
import contextlib
import logging

from ..models.job import JobRecord
from ..models.message import DomainReply
from ..policies.placement import (
    Action,
    Finish,
    Place,
    Preempt,
)
from ..utils.events import Event
from .accounting import GangState
from .gang_messages import MemberLost, StopGang
from .gangs import GangRunner
from .job_changes import finish
from .recovery import TaskIndex, find_unrecorded_attempt, is_intact
from .worker_follower import LOST_LEASE_SHARE, WorkerFollower

logger = logging.getLogger(__name__)

PASS_INTERVAL_S = 0.25
"""Pause before the next placement pass while nothing changes. A change starts the
next pass at once."""

MAX_PASS_SHARE = 0.04
"""Share of the time that passes may take while nothing changes; a pass that took
long is followed by a longer pause."""

MAX_PASS_INTERVAL_S = 2.0
"""Upper bound of the pause after a long pass. A pass has to notice that a lease has
expired, and on a busy machine a pass can seem longer than it is."""

MIN_PASS_INTERVAL_S = 0.05
"""Lower bound of the time between passes, so that a burst of cancellations or
arrivals costs one pass instead of one each."""


class DomainLeader(WorkerFollower):
    """Lead in one term: claim workers, recover gangs and place jobs."""

    async def run(self) -> None:
        """Claim the workers, recover the gangs, then place jobs until cancelled."""
        self.accounting.update_machines(self._list_machines())
        states = list(self.accounting.workers.values())
        results = await asyncio.gather(*(self._claim(w) for w in states))
        claimed = [w for w, ok in zip(states, results, strict=True) if ok]
        self._recover({w.machine.name for w in claimed})
        await asyncio.gather(*(self._admit(w) for w in claimed))
        self._leadership.finish_claiming()
        while True:
            self._follow_new_workers()
            began = self._clock.read_monotonic()
            self._place()
            spent_s = self._clock.read_monotonic() - began
            await asyncio.sleep(MIN_PASS_INTERVAL_S)
            # A long queue in a large failure domain makes a pass long. Repeated
            # four times a second, passes would occupy whole cores to no effect.
            pause_s = max(
                PASS_INTERVAL_S, min(spent_s / MAX_PASS_SHARE, MAX_PASS_INTERVAL_S)
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ledger.changed.wait(), pause_s)
            self._ledger.changed.clear()

    def _recover(self, claimed_workers: set[str]) -> None:
        """Take over gangs of which all members run, and end the others."""
        index = TaskIndex(self.accounting.workers.values())
        for job in list(self._ledger.jobs.values()):
            if job.state in ("starting", "running"):
                self._recover_job(job, claimed_workers, index)
            elif job.state == "queued":
                unrecorded = find_unrecorded_attempt(job, claimed_workers, index)
                if unrecorded is not None:
                    self._recover_job(unrecorded, claimed_workers, index)

    def _recover_job(
        self, job: JobRecord, claimed_workers: set[str], index: TaskIndex
    ) -> None:
        wall = self._clock.read_wall()
        gang = GangState(job, job.members, wall, cell=job.cell)
        self.accounting.gangs[job.spec.id] = gang
        runner = self._make_runner(gang)
        if job.state == "starting" and job.epoch == self._epoch:
            # This leader's own claim whose answer was lost: nothing was started.
            self._tasks.spawn(runner.undo_claim(), name=f"undo-{job.spec.id}")
            return
        if not is_intact(job, claimed_workers, index.find(job)):
            runner.inbox.put_nowait(MemberLost("unknown"))
        elif job.cancel_requested:
            gang.stopping = True
            runner.inbox.put_nowait(StopGang("cancelled"))
        for worker in {m.worker for m in job.members} - claimed_workers:
            # One slow answer during a takeover must not end a complete gang.
            self._tasks.spawn(
                self._wait_for_worker(worker, runner), name="wait-for-worker"
            )
        self._tasks.spawn(runner.adopt(), name=f"gang-{job.spec.id}")

    async def _wait_for_worker(self, worker: str, runner: GangRunner) -> None:
        await asyncio.sleep(self._times.task_ttl_s * LOST_LEASE_SHARE)
        state = self.accounting.workers.get(worker)
        if state is None or not state.claimed:
            runner.inbox.put_nowait(MemberLost(worker))

    def _make_runner(self, gang: GangState) -> GangRunner:
        runner = GangRunner(
            gang=gang,
            accounting=self.accounting,
            ledger=self._ledger,
            workers=self._workers,
            leadership=self._leadership,
            epoch=self._epoch,
            times=self._times,
            chart=self._gang_chart,
            clock=self._clock,
            timeline=self._timeline,
            on_worker_failure=self._record_worker_failure,
        )
        self._runners[gang.record.spec.id] = runner
        return runner

    def _place(self) -> None:
        """Run one placement pass and apply its actions."""
        if not self._leadership.may_act(self._epoch) or not self.placing:
            return
        self._runners = {
            j: r for j, r in self._runners.items() if j in self.accounting.gangs
        }
        self._recover_stalled_jobs()
        self._handle_cancellations()
        if not self._leadership.may_start(self._epoch):
            return
        view = self.accounting.view(
            jobs=self._ledger.jobs.values(),
            configuration=self._configuration.current,
            now=self._clock.read_wall(),
            monotonic=self._clock.read_monotonic(),
            idempotent_only=self._leadership.isolated,
        )
        revision = self._configuration.current.revision
        self._guarantees.check(view, revision=revision)
        for action in self._policy(view):
            self._apply_action(action)

    def _recover_stalled_jobs(self) -> None:
        """Recover jobs that the store has as started and that nobody here runs.

        The answer to a claim was lost and could not be read back, or a former
        leader's claim arrived late. Such a job would otherwise never continue.
        """
        stalled = [
            job
            for job in self._ledger.jobs.values()
            if job.state in ("starting", "running")
            and job.epoch <= self._epoch
            and job.spec.id not in self.accounting.gangs
        ]
        if not stalled:
            return
        claimed_workers = {n for n, w in self.accounting.workers.items() if w.claimed}
        index = TaskIndex(self.accounting.workers.values())
        for job in stalled:
            self._recover_job(job, claimed_workers, index)

    def _handle_cancellations(self) -> None:
        for job in list(self._ledger.jobs.values()):
            if not job.cancel_requested or job.state == "finished":
                continue
            runner = self._runners.get(job.spec.id)
            if job.spec.id in self.accounting.gangs and runner is not None:
                gang = self.accounting.gangs[job.spec.id]
                if not gang.stopping:
                    gang.stopping = True
                    runner.inbox.put_nowait(StopGang("cancelled"))
            elif job.state == "queued":
                self._apply_action(
                    Finish(job.spec.id, "not_run", "cancelled before it ran")
                )

    def _apply_action(self, action: Action) -> None:
        if isinstance(action, Place):
            record = self._ledger.jobs[action.job]
            wall = self._clock.read_wall()
            gang = GangState(record, action.members, wall, cell=action.cell)
            self.accounting.gangs[action.job] = gang
            runner = self._make_runner(gang)
            self._tasks.spawn(runner.start(), name=f"gang-{action.job}")
        elif isinstance(action, Preempt):
            gang = self.accounting.gangs[action.job]
            gang.stopping, gang.preempted_for = True, action.beneficiary
            self._timeline.record(
                Event.PREEMPTION_ORDERED,
                job=action.job,
                beneficiary=action.beneficiary,
                reason=action.reason,
                epoch=self._epoch,
            )
            self._runners[action.job].inbox.put_nowait(StopGang("evicted"))
        else:
            self._finish_queued(action)

    def _finish_queued(self, action: Finish) -> None:
        record = self._ledger.jobs[action.job]
        if action.job in self.accounting.gangs:
            return
        if action.outcome == "failed":
            self.accounting.retract_failure(action.job)
        # Listed as a gang without members so that the next pass leaves it alone.
        self.accounting.gangs[action.job] = GangState(
            record, (), self._clock.read_wall()
        )
        self._tasks.spawn(self._write_end(action), name=f"finish-{action.job}")

    async def _write_end(self, action: Finish) -> None:
        wall = self._clock.read_wall()
        ran = self._ledger.jobs[action.job].attempt > 0
        outcome = "failed" if ran and action.outcome == "not_run" else action.outcome
        await self._ledger.write_until_done(
            action.job,
            lambda job: (
                finish(job, outcome, action.reason, wall)
                if job.state == "queued"
                else None
            ),
        )
        self.accounting.gangs.pop(action.job, None)
        self._timeline.record(
            Event.JOB_ENDED,
            job=action.job,
            epoch=self._epoch,
            outcome=outcome,
        )

    def describe(self) -> DomainReply:
        """Return the state of this failure domain for the status."""
        jobs = self._ledger.jobs.values()
        return DomainReply(
            failure_domain=self.accounting.failure_domain,
            epoch=self._leadership.epoch,
            isolated=self._leadership.isolated,
            queued=sum(j.state == "queued" for j in jobs),
            running=sum(j.state in ("starting", "running") for j in jobs),
            workers=self.accounting.summarise_workers(),
            degraded=self._guarantees.degraded,
        )

    async def settle(self) -> None:
        """Stop placing, and wait until no gang is starting."""
        self.placing = False
        while any(
            not self._runners[job].settled
            for job, gang in self.accounting.gangs.items()
            if gang.members
        ):
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End the term by cancelling all of its tasks."""
        await self._tasks.close()
