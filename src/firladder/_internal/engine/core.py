"""The scheduling core: events in, orders out, everything else passed in.

The core keeps four promises by itself, whatever its orders meet on the way:

- nothing is sent to a worker before the run it belongs to is durable, so that a
  successor knows every run that may exist;
- a task is not started again before its last run is proved to be over: listed
  as ended, absent from a look that left after its last order was answered, gone
  with its incarnation, or ended for want of renewal on any clock;
- what may still run, or may still start late, holds its room;
- an end is acknowledged to its worker, and shown to callers, only when durable.
"""

import math
from collections.abc import Callable, Iterable, Mapping

from ..exceptions import (
    FencedOff,
    NotSent,
    OrderRejected,
    SentUnanswered,
    WorkerRefused,
    WorkerReplaced,
)
from ..models.order import (
    EndedTask,
    Ending,
    StartOrder,
    StopOrder,
    TaskId,
    WorkerReport,
)
from ..models.workload import AcceptedJob, QueueConfiguration, WorkerEntry
from .health import blame_worker, clear_blame, is_stalled, note_percent
from .leases import LATE_ORDER_S, estimate_inherited_lapse, read_recorded_lapse
from .progress import JobProgress, restore_job
from .state import (
    TERMINAL,
    Job,
    JobState,
    Phase,
    Placement,
    Unit,
    UnitState,
    Worker,
    build_job,
)

STOP_AGAIN_S = 1.2
"""Seconds until a stop without an answer is sent again; longer than the time
for which its answer is awaited."""

FULL_S = 1.0
"""Seconds without new work for a worker that said it has no room."""

StartFailure = (
    FencedOff
    | OrderRejected
    | WorkerRefused
    | WorkerReplaced
    | NotSent
    | SentUnanswered
)

Note = Callable[..., None]
"""Takes a decision's name and its inputs, for the log."""


def _drop_note(_what: str, **_inputs: object) -> None:
    """Take a note and do nothing with it."""


class Core:
    """All that a leader decides during its term."""

    def __init__(self, *, hold_s: float, note: Note = _drop_note) -> None:
        """Grant leases of ``hold_s`` seconds."""
        self.hold_s = hold_s
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.configuration = QueueConfiguration(0)
        self.note = note
        self.dirty: dict[str, Job] = {}
        self.starts: list[Placement] = []
        self.stops: list[Placement] = []
        self.runtimes: dict[tuple[str, int], float] = {}
        self.early_cancels: set[str] = set()
        self._planned: list[Placement] = []

    # -- jobs ---------------------------------------------------------------

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
                    worker = Worker(entry, listed=False)
                    self.workers[placement.worker_id] = worker
                worker.placements[placement.key] = placement
        if job.terminal:
            self._stop_all(job)

    def inherit_lapses(
        self, recorded: Mapping[str, JobProgress], *, now: float, wall: float
    ) -> None:
        """Take over until when the runs of each worker may last.

        After an earlier leader's end a worker may be gone for good. Where the
        records say when its last lease ends, that is waited for; otherwise the
        longest that the earlier leader can have granted, which may keep a task
        waiting for a long while with all workers idle.
        """
        unknown = estimate_inherited_lapse(now=now, hold_s=self.hold_s)
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
                read_recorded_lapse(max(lapses), now=now, wall=wall),
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
        if job.terminal and job.durable >= job.version:
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

    def _end_job(self, job: Job, state: JobState) -> None:
        job.state = state
        self._touch(job)
        self.note("job ended", job=job.accepted.job_id, outcome=state.value)
        self._stop_all(job)

    def _stop_all(self, job: Job) -> None:
        for unit in job.units:
            self._give_up_run(unit)

    def _touch(self, job: Job) -> None:
        job.touch()
        self.dirty[job.accepted.job_id] = job

    def mark_durable(self, job_id: str, version: int) -> None:
        """Note that a job is stored as it was at ``version``."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.durable = max(job.durable, version)
        if job.durable >= job.version and self.dirty.get(job_id) is job:
            del self.dirty[job_id]
        waiting, self._planned = self._planned, []
        for placement in waiting:
            unit = placement.unit
            if placement.phase is not Phase.PLANNED or unit is None:
                continue
            if unit.job is job and job.durable >= unit.planned_version:
                placement.phase = Phase.SENT
                self.starts.append(placement)
            else:
                self._planned.append(placement)

    # -- workers ------------------------------------------------------------

    def see_worker(self, entry: WorkerEntry, *, now: float) -> Worker:
        """Take a worker's newest entry."""
        worker = self.workers.get(entry.worker_id)
        if worker is None:
            worker = self.workers[entry.worker_id] = Worker(entry)
        else:
            worker.entry = entry
            worker.listed = True
        worker.entry_seen_at = now
        for other in list(self.workers.values()):
            reborn = other.entry.address == entry.address
            if reborn and other is not worker and not other.listed:
                self.lose_worker(other.worker_id, "address taken by another worker")
        return worker

    def unlist_worker(self, worker_id: str) -> None:
        """Note that a worker's entry is gone; what runs there may still run."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.listed = False
        if not worker.placements:
            del self.workers[worker_id]

    def lose_worker(self, worker_id: str, reason: str) -> None:
        """Note that nothing runs on a worker any more and nothing ever will."""
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        self.note(
            "worker lost", worker=worker_id, reason=reason, runs=len(worker.placements)
        )
        for placement in list(worker.placements.values()):
            self._resolve(worker, placement, None)

    def check_lapses(self, now: float) -> None:
        """Give up runs whose leases have ended while nobody could reach them."""
        for worker in list(self.workers.values()):
            if worker.reachable or not worker.placements or now < worker.lapses_at:
                continue
            self.note(
                "runs lapsed",
                worker=worker.worker_id,
                runs=len(worker.placements),
                unreachable_s=round(now - worker.unreachable_at, 2),
            )
            for placement in list(worker.placements.values()):
                self._resolve(worker, placement, None)
            if not worker.listed:
                self.workers.pop(worker.worker_id, None)

    def note_unreachable(self, worker: Worker, now: float) -> None:
        """Note that a call to a worker got no answer."""
        if worker.reachable:
            worker.reachable = False
            worker.unreachable_at = now
            self._touch_jobs(worker)

    def _note_reachable(self, worker: Worker) -> None:
        if not worker.reachable:
            worker.reachable = True
            worker.barrier = [(j, j.version) for j in self._touch_jobs(worker)]

    def _touch_jobs(self, worker: Worker) -> list[Job]:
        jobs = {
            p.unit.job.accepted.job_id: p.unit.job
            for p in worker.placements.values()
            if p.unit is not None
        }
        for job in jobs.values():
            self._touch(job)
        return list(jobs.values())

    def read_report(
        self, worker: Worker, report: WorkerReport, *, sent_at: float, now: float
    ) -> None:
        """Take what a worker says of its runs; the look left at ``sent_at``."""
        self._note_reachable(worker)
        worker.claimed = True
        worker.clock_ahead_s = report.clock_s - now
        for end in report.ended:
            if end.number > worker.last_read:
                worker.last_read = end.number
                self._read_end(worker, end, now)
        listed = {(row.task, row.run) for row in report.running}
        for row in report.running:
            placement = worker.placements.get((row.task, row.run))
            if placement is None:
                placement = self._adopt_stray(worker, row.task, row.run)
            self._read_running(placement, row.checkpoint, row.percent, now)
        for placement in list(worker.placements.values()):
            if placement.key not in listed and placement.settled_at < sent_at:
                self._resolve_absent(worker, placement)

    def _read_running(
        self, placement: Placement, checkpoint: str, percent: float, now: float
    ) -> None:
        if placement.phase in (Phase.SENT, Phase.RECOVERED):
            self._activate(placement, now)
        note_percent(placement, percent, now)
        unit = placement.unit
        if unit is not None and checkpoint and unit.state is UnitState.BUSY:
            unit.checkpoint = checkpoint

    def _adopt_stray(self, worker: Worker, task: TaskId, run: int) -> Placement:
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
            self._order_stop(placement)
            return
        self._resolve(worker, placement, None)

    def _read_end(self, worker: Worker, end: EndedTask, now: float) -> None:
        placement = worker.placements.get((end.task, end.run))
        job = self.jobs.get(end.task.job_id)
        if placement is None or placement.unit is None:
            if placement is not None:
                del worker.placements[placement.key]
            worker.unacknowledged.append((end.number, None, 0))
            return
        unit = placement.unit
        if end.checkpoint and unit.state is UnitState.BUSY:
            unit.checkpoint = end.checkpoint
        self._judge_end(worker, placement, end.ending, now)
        self._resolve(worker, placement, end.ending)
        version = job.version if job is not None else 0
        worker.unacknowledged.append((end.number, job, version))

    def _judge_end(
        self, worker: Worker, placement: Placement, ending: Ending, now: float
    ) -> None:
        unit = placement.unit
        if unit is None:
            return
        if ending == "done":
            clear_blame(worker)
            self._learn_runtime(unit, placement, now)
        if ending != "failed":
            return
        unit.avoided.add(worker.worker_id)
        if blame_worker(worker, unit.job.accepted.job_id, now):
            self.note("worker quarantined", worker=worker.worker_id, cause="failures")

    def _learn_runtime(self, unit: Unit, placement: Placement, now: float) -> None:
        if not placement.active_at:
            return
        key = (unit.job.accepted.queue, unit.step_index)
        spent = now - placement.active_at
        former = self.runtimes.get(key, spent)
        self.runtimes[key] = former + 0.2 * (spent - former)

    # -- runs ---------------------------------------------------------------

    def plan_run(self, unit: Unit, workers: Iterable[str]) -> None:
        """Give a unit's tasks to workers under a new run number."""
        unit.run += 1
        unit.state = UnitState.BUSY
        unit.run_failed = False
        for index, worker_id in zip(unit.indices, workers, strict=True):
            task = unit.name_task(index)
            placement = Placement(
                unit, task, unit.run, worker_id, unit.step.need, Phase.PLANNED
            )
            unit.placements[index] = placement
            self.workers[worker_id].placements[placement.key] = placement
            self._planned.append(placement)
        self._touch(unit.job)
        unit.planned_version = unit.job.version
        self.note(
            "job planned",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            occurrence=unit.occurrence,
            index=unit.indices[0],
            run=unit.run,
            workers=sorted({p.worker_id for p in unit.placements.values()}),
        )

    def evict(self, unit: Unit) -> None:
        """End a unit's run so that its room becomes free; it will run again."""
        self._give_up_run(unit)

    def take_starts(self) -> list[Placement]:
        """Return the starts that are durable and not sent yet."""
        starts, self.starts = self.starts, []
        return [p for p in starts if p.phase is Phase.SENT]

    def take_stops(self, now: float) -> list[Placement]:
        """Return the stops to be sent now, repeated ones included."""
        self.stops.clear()
        due = [
            p
            for w in self.workers.values()
            for p in w.placements.values()
            if p.phase is Phase.STOPPING
            and not p.stop_answered
            and now - p.stop_tried_at > STOP_AGAIN_S
        ]
        for placement in due:
            placement.stop_tried_at = now
        return due

    def describe_start(self, placement: Placement) -> StartOrder:
        """Return the order that begins a placement."""
        unit = placement.unit
        assert unit is not None
        return StartOrder(
            placement.worker_id,
            self.workers[placement.worker_id].entry.address,
            placement.task,
            placement.run,
            unit.job.accepted.workload.payload,
            unit.checkpoint,
        )

    def describe_stop(self, placement: Placement) -> StopOrder | None:
        """Return the order that ends a placement, or None if its worker is gone."""
        worker = self.workers.get(placement.worker_id)
        if worker is None:
            return None
        return StopOrder(
            placement.worker_id, worker.entry.address, placement.task, placement.run
        )

    def read_start(
        self, placement: Placement, answer: float | StartFailure, now: float
    ) -> None:
        """Take the answer to a start."""
        worker = self.workers.get(placement.worker_id)
        if worker is None or placement.key not in worker.placements:
            return
        if isinstance(answer, float):
            if placement.settled_at == math.inf:
                placement.settled_at = now
            if placement.phase is Phase.SENT:
                self._activate(placement, now)
            return
        if isinstance(answer, WorkerReplaced):
            self.lose_worker(worker.worker_id, answer.reason)
            return
        if isinstance(answer, SentUnanswered | FencedOff):
            self.note_unreachable(worker, now)
            if placement.phase is Phase.SENT:
                self._order_stop(placement)
            return
        self._judge_refusal(worker, placement, answer, now)
        self._resolve(worker, placement, None)

    def _judge_refusal(
        self,
        worker: Worker,
        placement: Placement,
        answer: OrderRejected | WorkerRefused | NotSent,
        now: float,
    ) -> None:
        unit = placement.unit
        if isinstance(answer, OrderRejected) and answer.rejection == "no_room":
            worker.full_until = now + FULL_S
        elif isinstance(answer, NotSent):
            self.note_unreachable(worker, now)
        elif isinstance(answer, WorkerRefused) and unit is not None:
            worker.full_until = now + FULL_S
            blame_worker(worker, unit.job.accepted.job_id, now)

    def read_stop(
        self, placement: Placement, answer: float | StartFailure, now: float
    ) -> None:
        """Take the answer to a stop."""
        worker = self.workers.get(placement.worker_id)
        if worker is None:
            return
        if isinstance(answer, float):
            placement.stop_answered = True
            placement.settled_at = now
        elif isinstance(answer, WorkerReplaced):
            self.lose_worker(worker.worker_id, answer.reason)
        elif isinstance(answer, OrderRejected):
            placement.stop_answered = True
            placement.settled_at = now
        else:
            self.note_unreachable(worker, now)

    def give_up_stalled(self, now: float) -> None:
        """End runs that stand still, so that they go on elsewhere."""
        for worker in list(self.workers.values()):
            for placement in list(worker.placements.values()):
                unit = placement.unit
                if unit is None or placement.phase is not Phase.ACTIVE:
                    continue
                if not worker.reachable or not is_stalled(placement, now):
                    continue
                if unit.step.lasting or not unit.working:
                    continue
                unit.avoided.add(worker.worker_id)
                quarantined = blame_worker(worker, unit.job.accepted.job_id, now)
                self.note(
                    "run stands still",
                    job=unit.job.accepted.job_id,
                    worker=worker.worker_id,
                    quarantined=quarantined,
                )
                self._give_up_run(unit)

    def _activate(self, placement: Placement, now: float) -> None:
        placement.phase = Phase.ACTIVE
        placement.active_at = now
        placement.moved_at = now
        if placement.settled_at in (math.inf, -math.inf):
            placement.settled_at = now
        unit = placement.unit
        if unit is not None and unit.job.state is JobState.QUEUED:
            unit.job.state = JobState.RUNNING

    def _order_stop(self, placement: Placement) -> None:
        placement.phase = Phase.STOPPING
        placement.settled_at = math.inf
        placement.stop_answered = False
        self.stops.append(placement)

    def _give_up_run(self, unit: Unit) -> None:
        if unit.state is UnitState.DONE:
            return
        for placement in list(unit.placements.values()):
            if placement.phase is Phase.PLANNED:
                placement.phase = Phase.STOPPING
                self._drop(self.workers.get(placement.worker_id), placement)
            elif placement.phase is not Phase.STOPPING:
                self._order_stop(placement)
        self._settle(unit)

    def _drop(self, worker: Worker | None, placement: Placement) -> None:
        if worker is not None:
            worker.placements.pop(placement.key, None)
            if not worker.listed and not worker.placements:
                self.workers.pop(worker.worker_id, None)
        unit = placement.unit
        if unit is not None:
            unit.placements.pop(placement.task.index, None)

    def _resolve(
        self, worker: Worker, placement: Placement, ending: Ending | None
    ) -> None:
        """Free a placement whose end is proved; None says how is not known."""
        placement.phase = Phase.STOPPING
        self._drop(worker, placement)
        unit = placement.unit
        if unit is None:
            return
        self._touch(unit.job)
        if unit.state is not UnitState.BUSY:
            return
        if ending == "done":
            unit.state = UnitState.DONE
            self._check_completed(unit.job)
            return
        if ending == "failed":
            unit.run_failed = True
        self.note(
            "run ended",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            index=placement.task.index,
            run=placement.run,
            worker=worker.worker_id,
            how=ending or "not there",
        )
        self._give_up_run(unit)

    def _settle(self, unit: Unit) -> None:
        """Let a unit whose run is over wait for its next one, or fail."""
        if unit.placements or unit.state is not UnitState.BUSY:
            return
        unit.state = UnitState.WAITING
        job = unit.job
        if not unit.run_failed:
            return
        unit.run_failed = False
        unit.failures += 1
        if unit.step.lasting or job.terminal:
            return
        if unit.failures >= job.accepted.max_attempts:
            unit.state = UnitState.FAILED
            self._end_job(job, JobState.FAILED)

    def _check_completed(self, job: Job) -> None:
        if job.terminal:
            return
        if all(unit.state is UnitState.DONE for unit in job.units):
            self._end_job(job, JobState.COMPLETED)

    # -- questions ----------------------------------------------------------

    def read_state(self, job_id: str) -> JobState | None:
        """Return what callers may be told of a job, or None if it is unknown."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state is JobState.CANCELLED:
            # The cancellation itself is durable before the leader hears of it.
            return job.state
        if job.state in TERMINAL and job.durable < job.version:
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
