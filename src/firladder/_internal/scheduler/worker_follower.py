"""Claim the workers of a failure domain, poll their changes, renew their leases."""

import asyncio
from collections.abc import Callable

from ..charts.interpreter import load_chart
from ..etcd.workers import WorkerClient
from ..exceptions import FencedOff
from ..fleet.configuration import ConfigurationHolder
from ..models.machine import Machine
from ..models.task import ENDED, RenewTasks, StopTask, TaskReport, TaskStatus
from ..policies.placement import (
    PlacementPolicy,
)
from ..utils.clocks import Clock
from ..utils.events import Event, Timeline
from ..utils.tasks import TaskSet
from .accounting import Accounting, WorkerState
from .gang_messages import GangTimes, MemberEnded, MemberLost
from .gangs import GangRunner
from .guarantees import GuaranteeWatch
from .leadership import Leadership
from .ledger import Ledger
from .recovery import name_task

RENEW_POLL_S = 0.25
"""Pause before checking again whether a worker's leases may be renewed."""

LONG_POLL_S = 5.0
"""How long a worker may delay its answer to a poll that has no changes yet."""

LOST_LEASE_SHARE = 0.5
"""Share of a task lease after which a worker that does not answer counts as lost."""


class WorkerFollower:
    """Keep a leader's accounting of its workers up to date in one term."""

    def __init__(
        self,
        *,
        failure_domain: str,
        leadership: Leadership,
        ledger: Ledger,
        workers: WorkerClient,
        configuration: ConfigurationHolder,
        list_machines: Callable[[], list[Machine]],
        policy: PlacementPolicy,
        times: GangTimes,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        """Prepare a term; ``run`` of the subclass leads in it."""
        self._leadership = leadership
        self._epoch = leadership.epoch
        self._ledger = ledger
        self._workers = workers
        self._configuration = configuration
        self._list_machines = list_machines
        self._policy = policy
        self._times = times
        self._clock = clock
        self._timeline = timeline
        self._tasks = TaskSet()
        self._gang_chart = load_chart("gang")
        self._followed: set[str] = set()
        self._runners: dict[str, GangRunner] = {}
        self.accounting = Accounting(failure_domain)
        self._guarantees = GuaranteeWatch(timeline)
        self.placing = True

    async def _claim(self, state: WorkerState) -> bool:
        """Fence former leaders off a worker and read what runs there.

        Return whether the worker now obeys this epoch.
        """
        if not self._leadership.may_act(self._epoch):
            return False
        report = await self._workers.claim(state.machine.address, self._epoch)
        if isinstance(report, FencedOff):
            self._leadership.step_down("a worker obeys a higher epoch")
        if not isinstance(report, TaskReport):
            return False
        state.tasks.clear()
        state.ended.clear()
        state.sequence = 0
        self.accounting.apply_report(
            state.machine.name, report, self._clock.read_monotonic()
        )
        return True

    async def _admit(self, state: WorkerState) -> None:
        """End the orphan tasks of a claimed worker, then put it to use.

        While partitioned, a worker goes on running members of gangs that were
        ended meanwhile. All leases of a worker are renewed together, so that a
        renewal before this would keep those members running.
        """
        orphans = [t for t in state.list_unfinished() if not self._is_member(t)]
        ended = await asyncio.gather(*(self._stop_orphan(state, t) for t in orphans))
        if not all(ended):
            return
        state.claimed = True
        state.renewed_at = self._clock.read_monotonic()
        self._check_members(state)
        self._timeline.record(
            Event.WORKER_CLAIMED, worker=state.machine.name, epoch=self._epoch
        )

    def _is_member(self, task: TaskStatus) -> bool:
        gang = self.accounting.gangs.get(task.job)
        return gang is not None and gang.record.attempt == task.attempt

    async def _stop_orphan(self, state: WorkerState, task: TaskStatus) -> bool:
        if not self._leadership.may_act(self._epoch):
            return False
        result = await self._workers.stop(
            state.machine.address, task.task, StopTask(self._epoch, "force")
        )
        return isinstance(result, TaskStatus) and result.state in ENDED

    def _check_members(self, state: WorkerState) -> None:
        """Notify running gangs of members that have ended or that the worker lost."""
        name = state.machine.name
        for job, gang in self.accounting.gangs.items():
            runner = self._runners.get(job)
            if runner is None or not runner.running:
                continue
            for member in gang.members:
                if member.worker != name:
                    continue
                task = name_task(member, gang.record.attempt)
                if task in state.ended:
                    runner.inbox.put_nowait(MemberEnded(state.ended[task]))
                elif task not in state.tasks:
                    runner.inbox.put_nowait(MemberLost(name))

    def _record_worker_failure(self, worker: str, job: str) -> None:
        state = self.accounting.workers.get(worker)
        if state is None:
            return
        if state.health.record_failure(job, self._clock.read_monotonic()):
            self._timeline.record(
                Event.WORKER_QUARANTINED,
                worker=worker,
                jobs=sorted(state.health.failed_jobs),
            )

    def _record_worker_success(self, worker: str, job: str) -> None:
        state = self.accounting.workers[worker]
        if state.quarantined:
            self._timeline.record(Event.QUARANTINE_ENDED, worker=worker, job=job)
        state.health.record_success()
        self.accounting.record_run(
            job, self._configuration.current, self._clock.read_wall()
        )

    def _follow_new_workers(self) -> None:
        self.accounting.update_machines(self._list_machines())
        for name in set(self.accounting.workers) - self._followed:
            self._followed.add(name)
            self._tasks.spawn(self._follow(name), name=f"follow-{name}")
            self._tasks.spawn(self._renew(name), name=f"renew-{name}")

    async def _follow(self, name: str) -> None:
        """Poll a worker for changes, and claim it again after it was lost."""
        while (state := self.accounting.workers.get(name)) is not None:
            if not state.claimed:
                if await self._claim(state):
                    await self._admit(state)
                if not state.claimed:
                    self._check_silence(state)
                    await asyncio.sleep(0.5)
                    continue
            report = await self._workers.follow(
                state.machine.address, since=state.sequence, wait_s=LONG_POLL_S
            )
            if isinstance(report, TaskReport):
                self._handle_report(name, report)
                continue
            self._check_silence(state)
            await asyncio.sleep(0.3)
        self._followed.discard(name)

    def _handle_report(self, name: str, report: TaskReport) -> None:
        if report.epoch > self._epoch:
            self._timeline.record(Event.WORKER_FENCED, worker=name)
            self._leadership.step_down("a worker obeys a higher epoch")
            return
        state = self.accounting.workers[name]
        if report.epoch < self._epoch or report.sequence < state.sequence:
            # The worker was replaced: it knows neither its tasks nor its epoch,
            # and as its sequence numbers restart, changes would be missed.
            state.claimed = False
            return
        self.accounting.apply_report(name, report, self._clock.read_monotonic())
        for task in report.tasks:
            runner = self._runners.get(task.job)
            if task.state in ENDED and runner is not None:
                runner.inbox.put_nowait(MemberEnded(task))
            if task.state == "done":
                self._record_worker_success(name, task.job)
        if report.tasks:
            self._ledger.changed.set()

    def _check_silence(self, state: WorkerState) -> None:
        silent_s = self._clock.read_monotonic() - state.heard_at
        lost = silent_s > self._times.task_ttl_s * LOST_LEASE_SHARE
        if not lost or not state.reachable:
            return
        name = state.machine.name
        state.reachable = False
        state.claimed = False
        self._timeline.record(Event.WORKER_LOST, worker=name)
        for job, gang in self.accounting.gangs.items():
            if any(m.worker == name for m in gang.members):
                self._runners[job].inbox.put_nowait(MemberLost(name))

    async def _renew(self, name: str) -> None:
        """Renew the leases of all confirmed tasks of a worker, in one call."""
        while (state := self.accounting.workers.get(name)) is not None:
            if not state.claimed or not self._leadership.may_act(self._epoch):
                await asyncio.sleep(RENEW_POLL_S)
                continue
            if not state.list_unfinished():
                # Nothing to renew. A newly confirmed task appears in the worker's
                # next report, long before the lease given with its confirmation
                # expires. The poll for changes shows whether the worker is alive.
                await asyncio.sleep(self._times.task_ttl_s / 4)
                continue
            # Without a pause before the first renewal: a takeover uses up much
            # of the leases that the former leader gave.
            sent_at = self._clock.read_monotonic()
            report = await self._workers.renew(
                state.machine.address,
                RenewTasks(self._epoch, self._times.task_ttl_s),
            )
            if isinstance(report, FencedOff):
                self._leadership.step_down("a worker obeys a higher epoch")
            if isinstance(report, TaskReport):
                state.heard_at = self._clock.read_monotonic()
            else:
                # Notices a loss sooner than the poll for changes, which takes
                # seconds to fail while the worker is partitioned.
                self._check_silence(state)
            # Even without an answer, the worker may have renewed the leases.
            state.renewed_at = sent_at
            await asyncio.sleep(self._times.task_ttl_s / 4)
