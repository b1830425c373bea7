"""The scheduling core: takes events and returns orders; time is passed in."""

import dataclasses
import math
from collections.abc import Mapping

from ..models.order import TaskId
from ..models.workload import AcceptedJob, WorkerEntry
from .leases import LATE_ORDER_S, convert_recorded_expiry, estimate_inherited_expiry
from .measuring import choose_wait
from .progress import JobProgress, find_misfit, restore_job
from .reports import Reports
from .state import Job, JobState, UnitState, Worker, build_job

MAX_FORGOTTEN_KNOWN = 20_000
"""Deleted jobs that a leader remembers: those of more than an hour."""


class Core(Reports):
    """Everything that a leader decides during its term, from job to outcome."""

    def add_job(
        self, accepted: AcceptedJob, progress: JobProgress | None
    ) -> Job | None:
        """Add a job to the schedule, at its recorded progress; return it.

        Return None for a deleted job, of which an old listing or message may tell: it
        has no progress any more, and would run again. The same holds for a job that is
        set aside, and one whose progress does not fit it.
        """
        known = self.jobs.get(accepted.job_id)
        if known is not None:
            return known
        if accepted.accepted_at_s <= self.forgotten.get(accepted.job_id, -math.inf):
            return None
        if accepted.job_id in self.set_aside:
            return None
        job = build_job(accepted)
        misfit = None if progress is None else find_misfit(job, progress)
        if misfit is not None:
            self.set_job_aside(accepted.job_id, misfit.reason)
            return None
        self.jobs[accepted.job_id] = job
        if progress is not None:
            restore_job(job, progress)
            self.charged |= any(unit.crashes for unit in job.units)
            self._adopt_placements(job, progress)
        if accepted.job_id in self.early_cancels:
            self.cancel_job(accepted.job_id)
        return job

    def set_job_aside(self, job_id: str, reason: str) -> None:
        """Leave a job alone whose records cannot be read.

        A leader of another version may be able to read them. Until then no task of the
        job starts, and the ends that workers list of it are not acknowledged.
        """
        if job_id in self.set_aside or job_id in self.jobs:
            return
        self.set_aside.add(job_id)
        self.note("job set aside", job=job_id, reason=reason)

    def _adopt_placements(self, job: Job, progress: JobProgress) -> None:
        for unit in job.units:
            for placement in unit.placements.values():
                worker = self.workers.get(placement.worker_id)
                if worker is None:
                    address = progress.addresses.get(placement.worker_id, "")
                    entry = WorkerEntry(
                        placement.worker_id,
                        address,
                        job.accepted.pool,
                        "",
                        unit.step.need,
                        frozenset(),
                        born=progress.born.get(placement.worker_id, 0),
                    )
                    worker = Worker(entry, registered=False)
                    self.workers[placement.worker_id] = worker
                    self.unregistered.add(worker)
                worker.placements[placement.key] = placement
                worker.exempt |= placement.worker_id in progress.exempt
            if unit.state is UnitState.DONE:
                # A newer run than the one that was done may be at work.
                self._stop_placements(unit)
            elif unit.lacks_members:
                # The former leader had aborted this run. Its remaining members would
                # hold their workers until they end by themselves.
                self._abort_run(unit)
        if job.terminal:
            self._stop_all(job)

    def end_former_lives(
        self, recorded: Mapping[str, JobProgress], *, now: float
    ) -> None:
        """End the incarnations on which former leaders had placed runs.

        A worker may have started again under its id while nobody led. Its entry may
        also be older than a record, if an answer showed the restart.
        """
        for worker in list(self.workers.values()):
            lives = {
                key: recorded[key[0].job_id].born.get(worker.worker_id, 0)
                for key in worker.placements
                if key[0].job_id in recorded
            }
            entry = worker.entry
            newest = max(entry.born, *lives.values(), 0)
            worker.former_lives |= {entry.born} - {0, newest}
            worker.entry = dataclasses.replace(entry, born=newest)
            former = {born for born in lives.values() if 0 < born < newest}
            if former:
                self._end_lives_before(worker, max(former), lives, now)

    def _end_lives_before(
        self,
        worker: Worker,
        former: int,
        lives: Mapping[tuple[TaskId, int], int],
        now: float,
    ) -> None:
        """End the runs that were placed on a worker's life ``former`` or before."""
        entry, placements = worker.entry, worker.placements
        worker.placements = {
            key: p for key, p in placements.items() if 0 < lives.get(key, 0) <= former
        }
        worker.entry = dataclasses.replace(entry, born=former)
        newest_life = self._begin_next_life(worker, entry, now)
        newest_life.placements |= {
            key: p for key, p in placements.items() if key not in worker.placements
        }

    def restore_expiries(
        self, recorded: Mapping[str, JobProgress], *, now: float, wall: float
    ) -> None:
        """Restore when the leases granted by former leaders expire.

        A worker may have disappeared together with the former leader. Its runs count
        as ended at the expiry in the records, or, without one, when the longest lease
        that a former leader can have granted expires. The latter may keep a task
        waiting for long while all workers are idle.
        """
        unknown = estimate_inherited_expiry(now=now, lease_s=self.lease_s)
        for worker in self.workers.values():
            jobs = {p.task.job_id for p in worker.placements.values()}
            known = [
                recorded[job_id].lapses.get(worker.worker_id)
                for job_id in jobs
                if job_id in recorded
            ]
            expiries = [expiry for expiry in known if expiry is not None]
            if not jobs:
                continue
            if len(expiries) < len(jobs):
                worker.granted_until = unknown
                continue
            worker.granted_until = min(
                unknown + LATE_ORDER_S,
                convert_recorded_expiry(max(expiries), now=now, wall=wall),
            )
            worker.reachable = False
            worker.unreachable_at = now

    def cancel_job(self, job_id: str) -> None:
        """End a job at its caller's request; remember the id of an unknown job."""
        job = self.jobs.get(job_id)
        if job is None:
            self.early_cancels.add(job_id)
            return
        if job.cancelled:
            return
        job.cancelled = True
        if not job.may_be_settled:
            self.confirm_cancellation(job_id)

    def confirm_cancellation(self, job_id: str) -> None:
        """End a job whose cancellation is stored, and no outcome before it.

        Nodes that cannot reach this leader read the records and show the job as
        cancelled, so any other outcome would contradict what a caller has seen.
        """
        job = self.jobs.get(job_id)
        if job is None or job.settled or job.state is JobState.CANCELLED:
            return
        job.cancelled = True
        self._end_job(job, JobState.CANCELLED)

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose retention time is over."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            # Nothing of it will be stored that its last ends could wait for.
            job.durable_version = job.version
            self.forgotten[job_id] = job.accepted.accepted_at_s
        if len(self.forgotten) > MAX_FORGOTTEN_KNOWN:
            del self.forgotten[next(iter(self.forgotten))]
        self.dirty.pop(job_id, None)
        self.early_cancels.discard(job_id)
        self.speeds.forget_job(job_id)

    def choose_poll_wait(self, worker: Worker, wait_s: float, *, now: float) -> float:
        """Return how long a poll may wait for a run to end, in seconds.

        It waits for less than ``wait_s`` if a task there is to be measured.
        """
        wait_s, measured = choose_wait(self.profiles, worker, wait_s, now)
        if measured is not None:
            measured.measured_by_poll = True
            self.note(
                "worker measured",
                worker=worker.worker_id,
                job=measured.task.job_id,
                wait_s=round(wait_s, 3),
            )
        return wait_s

    def read_state(self, job_id: str) -> JobState | None:
        """Return the state to show to callers, or None if only the records tell."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state is JobState.CANCELLED:
            # A cancellation is durable before the leader learns of it.
            return job.state
        if job.terminal and not job.settled:
            # An outcome that is not durable must not be shown: a successor would not
            # know it, and would run the job again or show it as running. If it may be
            # durable, or a cancellation is, a node that read the records may have
            # shown that.
            may_be_shown = job.may_be_settled or job.cancelled
            return None if may_be_shown else JobState.RUNNING
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have no started task."""
        return sum(
            job.state is JobState.QUEUED and job.accepted.queue == queue
            for job in self.jobs.values()
        )
