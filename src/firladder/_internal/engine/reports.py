"""What workers say, and what follows when they say nothing."""

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
from .state import Phase, Placement, Unit, UnitState, Worker, find_unit


class Reports(Answers):
    """Compares what workers report with the runs that they were given."""

    def register_worker(self, entry: WorkerEntry, *, now: float) -> Worker:
        """Take a worker's newest entry."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            worker = self.workers[entry.worker_id] = Worker(entry)
        else:
            worker.entry = entry
            worker.registered = True
        worker.entry_seen_at = now
        for other in list(self.workers.values()):
            reborn = other.entry.address == entry.address
            if reborn and other is not worker and not other.registered:
                self.lose_worker(other.worker_id, "address taken by another worker")
        return worker

    def unregister_worker(self, worker_id: str) -> None:
        """Note that a worker's entry is gone; what runs there may still run."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.registered = False
        self._forget_if_over(worker)

    def expire_runs(self, now: float) -> None:
        """Give up runs whose leases have ended while nobody could reach them."""
        for worker in list(self.workers.values()):
            self._forget_if_over(worker)
            if worker.reachable or not worker.placements or now < worker.runs_expire_at:
                continue
            self.note(
                "runs lapsed",
                worker=worker.worker_id,
                runs=len(worker.placements),
                unreachable_s=round(now - worker.unreachable_at, 2),
            )
            for placement in list(worker.placements.values()):
                self._resolve(worker, placement, None)
            self._forget_if_over(worker)

    def abort_stalled_runs(self, now: float) -> None:
        """End runs that stand still, so that they go on elsewhere."""
        for worker in list(self.workers.values()):
            for placement in list(worker.placements.values()):
                unit = placement.unit
                if unit is None or placement.phase is not Phase.ACTIVE:
                    continue
                if not worker.reachable:
                    continue
                if not is_stalled(placement, now, longer_than=STALL_TIMEOUT_S):
                    continue
                if unit.step.lasting or not unit.all_active:
                    continue
                if waits_for_members(unit, placement):
                    continue
                # Also while the run may still go on: nothing else shall begin there.
                quarantined = record_failure(worker, unit.job.accepted.job_id, now)
                patience_s = choose_stall_timeout(unit, placement)
                if not is_stalled(placement, now, longer_than=patience_s):
                    continue
                unit.avoided.add(worker.worker_id)
                self.note(
                    "run stands still",
                    job=unit.job.accepted.job_id,
                    worker=worker.worker_id,
                    quarantined=quarantined,
                )
                self._abort_run(unit)

    def _note_reachable(self, worker: Worker) -> None:
        if not worker.reachable:
            worker.reachable = True
            worker.barrier = [(j, j.version) for j in self._mark_jobs_changed(worker)]

    def handle_report(
        self, worker: Worker, report: WorkerReport, *, sent_at: float, now: float
    ) -> None:
        """Take what a worker says of its runs; the look left at ``sent_at``."""
        self._note_reachable(worker)
        worker.claimed = True
        worker.clock_offset_s = report.clock_s - now
        for end in report.ended:
            if end.number > worker.last_end_read:
                worker.last_end_read = end.number
                self._read_end(worker, end, now)
        registered = {(row.task, row.run) for row in report.running}
        for row in report.running:
            placement = worker.placements.get((row.task, row.run))
            if placement is None:
                placement = self._adopt_orphan(worker, row.task, row.run)
            self._read_running(placement, row.checkpoint, row.percent, now)
        for placement in list(worker.placements.values()):
            if placement.key not in registered and placement.last_answer_at < sent_at:
                self._resolve_absent(worker, placement)

    def _read_running(
        self, placement: Placement, checkpoint: str, percent: float, now: float
    ) -> None:
        unit = placement.unit
        placement.reported = True
        if placement.phase is Phase.SENT:
            self._activate(placement, now)
        elif placement.phase is Phase.RECOVERED and unit is not None:
            # Counted from now, work that an earlier leader began would look as if it
            # had just begun: the first to be stopped, though it is nearly done.
            worked_s = self.estimate_run(unit) * percent / DONE_PERCENT
            self._activate(placement, now, worked_s=worked_s)
        record_progress(placement, percent, now)
        if unit is not None:
            self.speeds.learn_from_progress(unit, placement, now)
        if unit is not None and checkpoint and unit.state is UnitState.BUSY:
            unit.checkpoint = checkpoint

    def _adopt_orphan(self, worker: Worker, task: TaskId, run: int) -> Placement:
        """Give room to a run that is not ours to have, and end it.

        A start that was carried out after it was given up would otherwise run
        on beside its successor, and its room would be given away twice.
        """
        job = self.jobs.get(task.job_id)
        step = None
        if job is not None and task.step < len(job.accepted.workload.steps):
            step = job.accepted.workload.steps[task.step]
        need = step.need if step is not None else worker.entry.capacity
        placement = Placement(None, task, run, worker.worker_id, need, Phase.STOPPING)
        worker.placements[placement.key] = placement
        self.note("stray run stopped", worker=worker.worker_id, job=task.job_id)
        self.stops.append(placement)
        return placement

    def _resolve_absent(self, worker: Worker, placement: Placement) -> None:
        if placement.phase is Phase.ACTIVE:
            # It was there and no end is listed: make sure that it cannot be,
            # then let the next look decide.
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
            # It may have been read before, and be on its way to the records.
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

    def _record_outcome(
        self, worker: Worker, placement: Placement, ending: Ending, now: float
    ) -> None:
        unit = placement.unit
        if unit is None:
            return
        if ending == "done":
            clear_failures(worker)
            self._learn_runtime(unit, placement, now)
            self.speeds.learn_from_end(unit, placement, now)
        if ending != "failed":
            return
        unit.avoided.add(worker.worker_id)
        if record_failure(worker, unit.job.accepted.job_id, now):
            self.note("worker quarantined", worker=worker.worker_id, cause="failures")

    def _learn_runtime(self, unit: Unit, placement: Placement, now: float) -> None:
        if not placement.ran_from_start:
            return
        key = (unit.job.accepted.queue, unit.step_index)
        spent = now - placement.active_at
        former = self.runtimes.get(key, spent)
        self.runtimes[key] = former + 0.2 * (spent - former)
