"""Apply the reports of workers, and expire or abort runs when none come."""

import dataclasses
import operator

from ..models.order import EndedTask, Ending, TaskId, WorkerReport
from ..models.workload import WorkerEntry
from .answers import Answers
from .health import (
    DONE_PERCENT,
    STALL_TIMEOUT_S,
    choose_stall_timeout,
    clear_failures,
    is_stalled,
    record_failure,
    record_progress,
    waits_for_members,
)
from .run_descriptions import describe_listed
from .state import Job, Phase, Placement, Unit, UnitState, Worker, find_unit


class Reports(Answers):
    """Compares the runs that workers report with their placements."""

    def register_worker(self, entry: WorkerEntry, *, now: float) -> Worker:
        """Add a worker, or update it with its newest entry; return it."""
        self.profiles.bind(entry)
        worker = self.workers.get(entry.worker_id)
        if worker is not None and not entry.born:
            # Otherwise the next incarnation would be taken for this one.
            entry = dataclasses.replace(entry, born=worker.entry.born)
        if worker is not None and entry.born in worker.former_lives:
            # An answer has shown the next incarnation before its entry came.
            return worker
        if worker is not None and worker.is_next_life(entry.born):
            worker = self._begin_next_life(worker, entry, now)
        if worker is None:
            worker = self.workers[entry.worker_id] = Worker(entry)
        else:
            if entry.draining and not worker.entry.draining:
                worker.drain_noticed = True
                # The records say which workers leave.
                self._mark_jobs_changed(worker)
            self.unregistered.discard(worker)
            worker.entry = entry
            worker.registered = True
            self.withdraw_excess(worker)
        worker.entry_seen_at = now
        for other in self.unregistered.list_at(entry.address):
            self.lose_worker(
                other.worker_id, "address taken by another worker", now=now
            )
        self._replace_holder(entry, now)
        return worker

    def _replace_holder(self, entry: WorkerEntry, now: float) -> None:
        """Record the crash of an idle worker, of which nothing else tells."""
        former = self.restarts.replace_holder(entry)
        if former is None or former.draining:
            return
        worker = self.workers.get(former.worker_id)
        if worker is None or not (worker.placements or worker.lapsed):
            self.restarts.record(entry.address, (), now)

    def unregister_worker(self, worker_id: str) -> None:
        """Mark a worker whose entry is gone; its runs may still be active."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.registered = False
        self.unregistered.add(worker)
        self._remove_if_unused(worker)

    def abort_stalled_runs(self, now: float) -> None:
        """Abort stalled runs, so that their units run again on other workers."""
        for worker in list(self.workers.values()):
            # Runs whose ends are not listed yet show no progress.
            if not (worker.reachable and worker.ends_complete):
                continue
            for placement in list(worker.placements.values()):
                unit = placement.unit
                if unit is None or placement.phase is not Phase.ACTIVE:
                    continue
                if not is_stalled(placement, now, longer_than=STALL_TIMEOUT_S):
                    continue
                if unit.step.lasting or not unit.all_active:
                    continue
                if waits_for_members(unit, placement):
                    continue
                # Recorded even while the run is given more time: nothing else should
                # start on this worker.
                quarantined = record_failure(worker, unit.job.accepted.job_id, now)
                self.profiles.record_stall(unit, placement, now)
                stall_timeout_s = choose_stall_timeout(unit, placement)
                if not is_stalled(placement, now, longer_than=stall_timeout_s):
                    continue
                unit.avoided.add(worker.worker_id)
                self.note(
                    "run stands still",
                    job=unit.job.accepted.job_id,
                    worker=worker.worker_id,
                    quarantined=quarantined,
                )
                self._abort_run(unit)

    def _mark_reachable(self, worker: Worker) -> None:
        worker.exempt = False
        worker.closed_at = None
        worker.lapsed.clear()
        if not worker.reachable:
            worker.reachable = True
            worker.barrier = [(j, j.version) for j in self._mark_jobs_changed(worker)]

    def handle_report(
        self, worker: Worker, report: WorkerReport, *, sent_at: float, now: float
    ) -> None:
        """Apply a worker's report on its runs, polled at ``sent_at``.

        A late report of a former incarnation changes nothing.
        """
        if self.workers.get(worker.worker_id) is not worker:
            return
        if report.born and not worker.entry.born:
            worker.entry = dataclasses.replace(worker.entry, born=report.born)
        self._mark_reachable(worker)
        worker.answered_at = now
        worker.claimed = True
        worker.ends_complete = report.complete
        worker.clock_offset_s = report.clock_s - now
        for end in sorted(report.ended, key=operator.attrgetter("number")):
            if end.number > worker.last_end_read:
                worker.last_end_read = end.number
                if end.task.job_id in self.set_aside:
                    worker.keep_ends_from(end.number)
                self._read_end(worker, end, now)
            elif (end.task, end.run) in worker.placements:
                self._note_skipped_end(worker, end)
        worker.release_kept_ends()
        reported_runs = {(row.task, row.run) for row in report.running}
        for row in report.running:
            placement = worker.placements.get((row.task, row.run))
            if placement is None:
                placement = self._adopt_orphan(worker, row.task, row.run)
            self._read_running(placement, row.checkpoint, row.percent, now)
        if not report.complete:
            # A run that is in neither list may have ended as done.
            return
        for placement in list(worker.placements.values()):
            if (
                placement.key not in reported_runs
                and placement.last_answer_at < sent_at
            ):
                self._resolve_absent(worker, placement)

    def _read_running(
        self, placement: Placement, checkpoint: str, percent: float, now: float
    ) -> None:
        unit = placement.unit
        placement.reported = True
        placement.listed_at = now
        if placement.phase is Phase.SENT:
            self._activate(placement, now)
        elif placement.phase is Phase.RECOVERED and unit is not None:
            # If its time counted from now, a run that a former leader started would
            # look new, and be preempted first although it may be almost done.
            worked_s = self.estimate_run(unit) * percent / DONE_PERCENT
            self.record_recovered_member(placement, now)
            # Its gang has most likely been at work: any progress proves that.
            placement.first_percent = 0.0
            self._activate(placement, now, worked_s=worked_s)
        if placement.first_percent is None and unit is not None and unit.checkpoint:
            placement.first_percent = percent
        record_progress(placement, percent, now)
        if unit is not None:
            self.speeds.learn_from_progress(unit, placement, now)
        if unit is not None and checkpoint and unit.state is UnitState.BUSY:
            unit.checkpoint = checkpoint

    def _adopt_orphan(self, worker: Worker, task: TaskId, run: int) -> Placement:
        """Add a placement for a run that the core does not know, and stop it.

        A start order may be carried out after its run was aborted. That orphan would
        otherwise run beside the next run of its task, and its capacity would be
        assigned twice.
        """
        job = self.jobs.get(task.job_id)
        step = None
        if job is not None and task.step < len(job.accepted.workload.steps):
            step = job.accepted.workload.steps[task.step]
        need = step.need if step is not None else worker.entry.capacity
        placement = Placement(None, task, run, worker.worker_id, need, Phase.STOPPING)
        worker.placements[placement.key] = placement
        unit = find_unit(job, task) if job is not None else None
        self.note("stray run stopped", **describe_listed(worker, task, run, unit))
        self.stops.append(placement)
        return placement

    def _note_skipped_end(self, worker: Worker, end: EndedTask) -> None:
        """Log an end that counts as read although its run is not known to be over."""
        job = self.jobs.get(end.task.job_id)
        unit = find_unit(job, end.task) if job is not None else None
        listed = describe_listed(worker, end.task, end.run, unit)
        self.note("end skipped", how=end.ending, number=end.number, **listed)

    def _resolve_absent(self, worker: Worker, placement: Placement) -> None:
        if placement.phase is Phase.ACTIVE:
            listed = describe_listed(
                worker, placement.task, placement.run, placement.unit
            )
            self.note("active run not listed", **listed)
            # It was active and the report lists no end: order a stop, and let the
            # next poll decide.
            placement.reported = False
            self._abort_run_of(placement)
            return
        self._resolve(worker, placement, None)

    def _read_end(self, worker: Worker, end: EndedTask, now: float) -> None:
        placement = worker.placements.get((end.task, end.run))
        job = self.jobs.get(end.task.job_id)
        if job is not None and end.ending == "failed":
            self._count_failure(find_unit(job, end.task), end.run)
        if placement is None or placement.unit is None:
            if placement is not None:
                del worker.placements[placement.key]
            if end.ending == "done" and job is not None:
                self._accept_late_done(worker, job, end)
            # The end may have been read before, with its record not yet durable.
            version = job.version if job is not None else 0
            worker.unacknowledged_ends.append((end.number, job, version))
            return
        unit = placement.unit
        if end.checkpoint and unit.state is UnitState.BUSY:
            unit.checkpoint = end.checkpoint
        self._record_outcome(worker, placement, end.ending, now)
        self._resolve(worker, placement, end.ending)
        version = job.version if job is not None else 0
        worker.unacknowledged_ends.append((end.number, job, version))

    def _accept_late_done(self, worker: Worker, job: Job, end: EndedTask) -> None:
        """Take a task for done although its run counted as over.

        Once this end is acknowledged, nothing else tells that the task must not start
        again.
        """
        unit = find_unit(job, end.task)
        if unit is None or unit.state is UnitState.DONE:
            return
        listed = describe_listed(worker, end.task, end.run, unit)
        self.note("done without a run", number=end.number, **listed)
        if not (job.terminal or unit.step.lasting):
            self._complete_by_former_run(unit)

    def _record_outcome(
        self, worker: Worker, placement: Placement, ending: Ending, now: float
    ) -> None:
        unit = placement.unit
        if unit is None:
            return
        if ending == "done":
            clear_failures(worker)
            self._learn_run_time(unit, placement, now)
            self.speeds.learn_from_end(unit, placement, now)
            self.profiles.record_success(unit, placement)
        if ending != "failed":
            return
        unit.avoided.add(worker.worker_id)
        self.profiles.record_failure(unit, placement, now)
        if record_failure(worker, unit.job.accepted.job_id, now):
            self.note("worker quarantined", worker=worker.worker_id, cause="failures")

    def _learn_run_time(self, unit: Unit, placement: Placement, now: float) -> None:
        if not placement.ran_from_start:
            return
        key = (unit.job.accepted.queue, unit.step_index)
        run_time_s = now - placement.active_at
        former = self.run_times.get(key, run_time_s)
        unit.work_s = unit.work_s or run_time_s / self._find_slowest(unit)
        self.run_times[key] = former + 0.2 * (run_time_s - former)
