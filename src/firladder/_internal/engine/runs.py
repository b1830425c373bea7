"""Runs of units: planned, made durable, sent, and ended.

Runs keep four invariants, even when orders or their answers are lost or late:

- no order is sent to a worker before the run it belongs to is durable, so that a new
  leader knows every run that may exist;
- a task is not started again before its last run is proved to have ended: listed as
  ended, absent from a poll that was sent after its last order was answered, gone with
  its worker's incarnation, or ended because its lease expired on every clock;
- a task that may still run, or may still start late, holds its capacity;
- an end is acknowledged to its worker, and shown to callers, only when it is durable.
"""

import math
from collections.abc import Callable, Iterable

from ..models.order import Ending
from ..models.workload import QueueConfiguration, Resources
from .advice import Advice
from .crashes import uses_up_crashes
from .profiles import Profiles
from .restarts import Restarts
from .run_descriptions import (
    Inputs,
    describe_alone,
    describe_begin,
    describe_done,
    describe_end,
    describe_job_end,
    describe_size,
    describe_spread,
)
from .state import Job, JobState, Phase, Placement, Unit, UnitState, Worker
from .unregistered import UnregisteredWorkers

NOTED_START_SPREAD_S = 1.0
"""Seconds between the starts of a gang's members from which they are logged."""

NOTED_WAIT_S = 0.1
"""Seconds from which the wait of a single task is logged. A line for each of the small
tasks of a day would come near the number of lines that a node may write."""

START_WINDOW_SHARE = 0.5
"""Share of the time for which members wait for each other within which all members of
a gang must have started. The rest is left for the stops: a member that is not stopped
in time has held its worker for nothing."""

SUCCESSOR_WINDOW_SHARE = 0.15
"""The same for a gang that a successor finds without progress: its members have waited
since before the former leader was gone."""

DEFAULT_MEMBER_WAIT_S = 3.0
"""Seconds that a gang's member waits for the others, unless the platform says more."""

WITHDRAWABLE = (Phase.PLANNED, Phase.SENT)
"""Phases of a placement whose start may not have been sent yet."""

DecisionLogger = Callable[..., None]
"""Logs a decision by its name and its inputs."""


def _discard_decision(_what: str, **_inputs: object) -> None:
    """Discard a decision instead of logging it."""


def _get_priority(placement: Placement) -> int:
    """Return the priority of a placement's job; 0 is the most urgent."""
    unit = placement.unit
    return 0 if unit is None else unit.job.accepted.priority


class Runs:
    """The runs of all units on all workers, and the orders that are due."""

    def __init__(
        self,
        *,
        lease_s: float,
        member_wait_s: float = DEFAULT_MEMBER_WAIT_S,
        note: DecisionLogger = _discard_decision,
    ) -> None:
        """Grant leases of ``lease_s`` seconds.

        A gang's member that has waited ``member_wait_s`` for the others ends by itself.
        """
        self.lease_s = lease_s
        self._start_window_s = START_WINDOW_SHARE * member_wait_s
        self._successor_window_s = SUCCESSOR_WINDOW_SHARE * member_wait_s
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.unregistered = UnregisteredWorkers()
        self.configuration = QueueConfiguration(0)
        self.note = note
        self.dirty: dict[str, Job] = {}
        self.starts: list[Placement] = []
        self.stops: list[Placement] = []
        self.run_times: dict[tuple[str, int], float] = {}
        self.profiles = Profiles(note)
        self.speeds = self.profiles.speeds
        self.restarts = Restarts()
        self.advice = Advice(lambda: self.configuration)
        self.charged = False
        """Whether some unit was charged with a crash, which is rare."""
        self.early_cancels: set[str] = set()
        self.set_aside: set[str] = set()
        """Jobs whose records cannot be read."""
        self.forgotten: dict[str, float] = {}
        """When each deleted job was accepted, in Unix time."""
        self.evacuated: frozenset[str] = frozenset()
        self._planned: list[Placement] = []

    def _mark_jobs_changed(self, worker: Worker) -> list[Job]:
        jobs = {
            p.unit.job.accepted.job_id: p.unit.job
            for p in worker.placements.values()
            if p.unit is not None
        }
        for job in jobs.values():
            self._mark_changed(job)
        return list(jobs.values())

    def plan_run(self, unit: Unit, workers: Iterable[str]) -> None:
        """Assign a unit's tasks to workers under a new run number."""
        unit.run += 1
        unit.state = UnitState.BUSY
        unit.first_start_at = None
        unit.durable_at = None
        unit.waiting_since = -1.0
        for index, worker_id in zip(unit.indices, workers, strict=True):
            task = unit.name_task(index)
            placement = Placement(
                unit, task, unit.run, worker_id, unit.step.need, Phase.PLANNED
            )
            unit.placements[index] = placement
            self.workers[worker_id].placements[placement.key] = placement
            self._planned.append(placement)
        self._mark_changed(unit.job)
        unit.planned_version = unit.job.version
        self.note(
            "job planned",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            occurrence=unit.occurrence,
            index=unit.indices[0],
            run=unit.run,
            workers=sorted({p.worker_id for p in unit.placements.values()}),
            slowness=round(self._find_slowest(unit), 2),
            usual_s=round(self.estimate_run(unit), 3),
            **describe_size(unit, self.workers),
        )

    def preempt(self, unit: Unit) -> None:
        """Stop a unit's run to free its capacity; the unit will run again."""
        self._abort_run(unit)

    def evacuate_domains(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose workers get no new work from now on.

        Runs there that are not known to be active are withdrawn: a delayed start order
        could otherwise be sent long after the operators were told that no more work
        starts there. Active runs continue to their end.
        """
        added, self.evacuated = domains - self.evacuated, domains
        withdrawn = [
            placement
            for worker in self.workers.values()
            if worker.entry.failure_domain in added
            for placement in worker.placements.values()
            if placement.phase in WITHDRAWABLE
        ]
        for placement in withdrawn:
            if placement.unit is not None:
                self.preempt(placement.unit)

    def withdraw_excess(self, worker: Worker) -> None:
        """Withdraw runs from a worker that has become too small for its tasks.

        Only those are withdrawn that are not known to be active, the least urgent and
        newest first: their start orders could otherwise exceed the capacity.
        """
        free = worker.free
        newest_first = reversed(worker.placements.values())
        pending = [p for p in newest_first if p.phase in WITHDRAWABLE]
        pending.sort(key=_get_priority, reverse=True)
        for placement in pending:
            if free.covers(Resources()):
                return
            free += placement.need
            if placement.unit is not None:
                self.preempt(placement.unit)

    def is_evacuated(self, worker: Worker) -> bool:
        """Return whether a worker gets no new work because of its failure domain."""
        return worker.entry.failure_domain in self.evacuated

    def mark_durable(self, job_id: str, version: int) -> None:
        """Record that a job's ``version`` is durable; release its durable starts."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.durable_version = max(job.durable_version, version)
        if job.durable_version >= job.version and self.dirty.get(job_id) is job:
            del self.dirty[job_id]
        waiting, self._planned = self._planned, []
        for placement in waiting:
            unit = placement.unit
            if placement.phase is not Phase.PLANNED or unit is None:
                continue
            if unit.job is job and job.durable_version >= unit.planned_version:
                placement.phase = Phase.SENT
                self.starts.append(placement)
            else:
                self._planned.append(placement)

    def _end_job(self, job: Job, state: JobState) -> None:
        job.state = state
        self._mark_changed(job)
        job.outcome_version = job.version
        self.note("job ended", **describe_job_end(job, self.run_times))
        self._stop_all(job)

    def _stop_all(self, job: Job) -> None:
        for unit in job.units:
            self._abort_run(unit)

    def _mark_changed(self, job: Job) -> None:
        job.mark_changed()
        self.dirty[job.accepted.job_id] = job

    def estimate_run(self, unit: Unit) -> float:
        """Return the expected duration of a run, in seconds.

        The declared time serves only until a run time is learned: it is far off.
        """
        key = (unit.job.accepted.queue, unit.step_index)
        return self.run_times.get(key, unit.step.estimate_s)

    def _activate(
        self, placement: Placement, now: float, *, worked_s: float = 0.0
    ) -> None:
        unit = placement.unit
        fresh = unit is not None and not unit.checkpoint
        placement.ran_from_start = placement.phase is Phase.SENT and fresh
        placement.phase = Phase.ACTIVE
        placement.active_at = now - worked_s
        placement.progressed_at = now
        if placement.last_answer_at in (math.inf, -math.inf):
            placement.last_answer_at = now
        if unit is not None and unit.job.state is JobState.QUEUED:
            unit.job.state = JobState.RUNNING
        if unit is not None and placement.ran_from_start:
            self._note_spread(unit, placement)
        if unit is not None and unit.all_active:
            self._note_begin(unit, now)

    def _note_begin(self, unit: Unit, now: float) -> None:
        """Log that a unit is at work, except a single task that began soon."""
        if unit.job.accepted.priority == 0:
            self.note("urgent work began", **describe_begin(unit, now))
        elif len(unit.indices) > 1 or 0 <= unit.ready_at <= now - NOTED_WAIT_S:
            self.note("work began", **describe_begin(unit, now))

    def _find_slowest(self, unit: Unit) -> float:
        profiles = self.profiles
        return max(
            (
                profiles.find_lasting(p.worker_id).slowness
                for p in unit.placements.values()
            ),
            default=1.0,
        )

    def _note_spread(self, unit: Unit, last: Placement) -> None:
        """Log a gang whose members started far apart: the first ones waited."""
        spread_s = unit.measure_start_spread()
        if spread_s is not None and spread_s >= NOTED_START_SPREAD_S:
            self.note("gang apart", **describe_spread(unit, last, spread_s))

    def _order_stop(self, placement: Placement) -> None:
        placement.phase = Phase.STOPPING
        placement.last_answer_at = math.inf
        placement.stop_answered = False
        self.stops.append(placement)

    def _abort_run_of(self, placement: Placement) -> None:
        """Stop a placement that cannot complete, and abort its unit's run.

        The other members of a gang would otherwise wait for it and hold their workers
        until they end by themselves.
        """
        self._order_stop(placement)
        if placement.unit is not None:
            self._abort_run(placement.unit)

    def _abort_run(self, unit: Unit) -> None:
        if unit.state is UnitState.DONE:
            return
        self._stop_placements(unit)
        self._retry_or_fail(unit)

    def _stop_placements(self, unit: Unit) -> None:
        """Stop all tasks of a unit's run; free those whose start was never due."""
        for placement in list(unit.placements.values()):
            if placement.phase is Phase.PLANNED:
                placement.phase = Phase.STOPPING
                self._drop(self.workers.get(placement.worker_id), placement)
            elif placement.phase is not Phase.STOPPING:
                self._order_stop(placement)

    def _remove_if_unused(self, worker: Worker) -> None:
        """Remove a worker that is not registered and has no state left to keep.

        Ends that were read and are not durable yet must be kept: if they were removed
        with their worker, they would be acknowledged without being stored when it
        registers again. Lapsed runs are kept until it is known whether it had crashed.
        """
        if worker.registered or worker.placements or worker.unacknowledged_ends:
            return
        if worker.lapsed:
            return
        if self.workers.get(worker.worker_id) is worker:
            del self.workers[worker.worker_id]
            self.unregistered.discard(worker)
            self.speeds.forget_worker(worker.worker_id)

    def _drop(self, worker: Worker | None, placement: Placement) -> None:
        if worker is not None:
            worker.placements.pop(placement.key, None)
            self._remove_if_unused(worker)
        self.speeds.settle(placement)
        unit = placement.unit
        if unit is not None:
            unit.placements.pop(placement.task.index, None)

    def _resolve(
        self, worker: Worker, placement: Placement, ending: Ending | None
    ) -> None:
        """Free a placement whose end is proved; ``ending`` is None if unknown."""
        placement.phase = Phase.STOPPING
        self._drop(worker, placement)
        unit = placement.unit
        if unit is None:
            return
        self._mark_changed(unit.job)
        if unit.state is not UnitState.BUSY:
            return
        if ending == "done" and not unit.step.lasting:
            self._mark_done(unit)
            if unit.job.accepted.priority == 0:
                self.note("urgent work ended", **self._describe_done(unit, placement))
            self._check_completed(unit.job)
            return
        if ending == "alone":
            self.note("member ended alone", **describe_alone(unit, placement))
        self.note("run ended", **describe_end(unit, placement, ending))
        self._abort_run(unit)

    def _describe_done(self, unit: Unit, last: Placement) -> Inputs:
        members = (last, *unit.placements.values())
        slowness = {
            p.worker_id: self.profiles.find_lasting(p.worker_id).slowness
            for p in members
        }
        return describe_done(unit, last, slowness)

    def _retry_or_fail(self, unit: Unit) -> None:
        """Return a unit whose run is over to waiting, or fail its job."""
        if unit.placements or unit.state is not UnitState.BUSY:
            return
        unit.state = UnitState.WAITING
        self._check_attempts(unit)

    def _count_failure(self, unit: Unit | None, run: int) -> None:
        """Count the failure of a run, even if the run was aborted before.

        A worker that becomes reachable again lists ends that happened meanwhile, and a
        new leader reads ends that the former one knew. If only failures of existing
        placements counted, these would be missed, and the task would be started more
        often than its maximum number of attempts.
        """
        if unit is None or unit.step.lasting or unit.state is UnitState.DONE:
            return
        if run in unit.failed_runs:
            return
        unit.failed_runs.add(run)
        self._mark_changed(unit.job)
        self._check_attempts(unit)

    def _check_attempts(self, unit: Unit) -> None:
        job = unit.job
        if unit.state is not UnitState.WAITING or job.terminal:
            return
        if unit.failures >= job.accepted.max_attempts or uses_up_crashes(unit):
            unit.state = UnitState.FAILED
            self._end_job(job, JobState.FAILED)

    def _mark_done(self, unit: Unit) -> None:
        unit.state = UnitState.DONE
        if unit.job.state is JobState.QUEUED:
            unit.job.state = JobState.RUNNING

    def _complete_by_former_run(self, unit: Unit) -> None:
        """Record that a unit was done by a run that counted as over.

        What has been started of it since then is stopped.
        """
        self._mark_done(unit)
        self._stop_placements(unit)
        self._mark_changed(unit.job)
        self._check_completed(unit.job)

    def _check_completed(self, job: Job) -> None:
        if job.terminal:
            return
        if all(unit.state is UnitState.DONE for unit in job.units):
            self._end_job(job, JobState.COMPLETED)
