"""The scheduling core: events in, orders out, everything else passed in."""

from collections.abc import Mapping

from ..models.workload import AcceptedJob, WorkerEntry
from .leases import LATE_ORDER_S, convert_recorded_expiry, estimate_inherited_expiry
from .progress import JobProgress, restore_job
from .reports import Reports
from .state import Job, JobState, Worker, build_job


class Core(Reports):
    """All that a leader decides during its term: jobs in, outcomes out."""

    def add_job(self, accepted: AcceptedJob, progress: JobProgress | None) -> Job:
        """Take a job into the schedule, at its recorded progress."""
        known = self.jobs.get(accepted.job_id)
        if known is not None:
            return known
        job = self.jobs[accepted.job_id] = build_job(accepted)
        if progress is not None:
            restore_job(job, progress)
            self._adopt_placements(job, progress)
        if accepted.job_id in self.early_cancels:
            self.cancel_job(accepted.job_id)
        return job

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
                    )
                    worker = Worker(entry, registered=False)
                    self.workers[placement.worker_id] = worker
                worker.placements[placement.key] = placement
            if unit.lacks_members:
                # The earlier leader had given the run up: its other members would
                # hold their workers until they end alone.
                self._abort_run(unit)
        if job.terminal:
            self._stop_all(job)

    def restore_expiries(
        self, recorded: Mapping[str, JobProgress], *, now: float, wall: float
    ) -> None:
        """Take over until when the runs of each worker may last.

        After an earlier leader's end a worker may be gone for good. Where the
        records say when its last lease ends, that is waited for; otherwise the
        longest that the earlier leader can have granted, which may keep a task
        waiting for a long while with all workers idle.
        """
        unknown = estimate_inherited_expiry(now=now, lease_s=self.lease_s)
        for worker in self.workers.values():
            jobs = {p.task.job_id for p in worker.placements.values()}
            known = [
                recorded[job_id].lapses.get(worker.worker_id)
                for job_id in jobs
                if job_id in recorded
            ]
            lapses = [lapse for lapse in known if lapse is not None]
            if not jobs:
                continue
            if len(lapses) < len(jobs):
                worker.granted_until = unknown
                continue
            worker.granted_until = min(
                unknown + LATE_ORDER_S,
                convert_recorded_expiry(max(lapses), now=now, wall=wall),
            )
            worker.reachable = False
            worker.unreachable_at = now

    def cancel_job(self, job_id: str) -> None:
        """End a job on its caller's wish; unknown jobs are remembered."""
        job = self.jobs.get(job_id)
        if job is None:
            self.early_cancels.add(job_id)
            return
        if job.cancelled:
            return
        job.cancelled = True
        if job.settled:
            return
        # An outcome that is not durable was shown to nobody. Nodes that cannot
        # ask this leader read the records and show the job as cancelled, so any
        # other outcome would contradict what a caller has seen.
        self._end_job(job, JobState.CANCELLED)

    def forget_job(self, job_id: str) -> None:
        """Drop a job whose time of being remembered is over."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        self.early_cancels.discard(job_id)
        self.speeds.forget_job(job_id)

    def read_state(self, job_id: str) -> JobState | None:
        """Return what callers may be told of a job, or None if it is unknown."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state is JobState.CANCELLED:
            # The cancellation itself is durable before the leader hears of it.
            return job.state
        if job.terminal and not job.settled:
            # An outcome that a successor does not know must not be shown: it
            # would run the job again, or show it as running.
            return JobState.RUNNING
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return the jobs of a queue for which no task has started."""
        return sum(
            job.state is JobState.QUEUED and job.accepted.queue == queue
            for job in self.jobs.values()
        )
