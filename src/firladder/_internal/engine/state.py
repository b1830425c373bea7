"""The state of jobs, their runs, and workers as the core knows it."""

import dataclasses
import enum
import itertools
import math
from typing import TYPE_CHECKING

import msgspec

from ..models.order import TaskId
from ..models.workload import AcceptedJob, Resources, Step, WorkerEntry

if TYPE_CHECKING:
    from .speed_links import Sample

MAX_ENTRY_DELAY_S = 0.5
"""Seconds that a worker's entry takes to its leader at most."""

MAX_KEPT_ENDS = 250
"""Ends that a worker is left to list for jobs whose records cannot be read, with those
behind them: half of a report, so that it still lists all new ones."""


class Phase(enum.Enum):
    """The phase of a placement's orders.

    PLANNED is not durable yet, so no order was sent. SENT is durable: its start order
    is due or was sent. RECOVERED comes from the record of a former leader: the worker
    has not been polled yet.
    """

    PLANNED = "planned"
    SENT = "sent"
    ACTIVE = "active"
    STOPPING = "stopping"
    RECOVERED = "recovered"


class UnitState(enum.Enum):
    """The state of a unit; BUSY while its run is planned, active or being stopped."""

    WAITING = "waiting"
    BUSY = "busy"
    DONE = "done"
    FAILED = "failed"


class JobState(enum.Enum):
    """The state of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a worker on which a task ran.

    ``sole``: no other job ran there; ``prompt``: the task had only just begun;
    ``late``: the worker had listed it when it had run for longer; ``unstable``: the
    worker crashes by itself; ``cleared``: another job was given up as the cause;
    ``unproven``: the worker may have been gone before the start reached it.
    """

    run: int
    index: int
    worker_id: str
    sole: bool
    prompt: bool
    late: bool
    unstable: bool
    cleared: bool = False
    unproven: bool = False

    @property
    def explained(self) -> bool:
        """Return whether something else may have caused the crash."""
        return self.unstable or self.cleared or self.unproven

    @property
    def signs(self) -> int:
        """Return how many signs there are that the task caused the crash."""
        return 0 if self.explained else self.sole + self.prompt


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """One task of a run on one worker; it holds capacity until its end is proved.

    ``last_answer_at`` is when the last order for it was answered: a poll that was sent
    later and does not list the task proves that it is not there.

    ``ran_from_start`` says that the task started under this leader and without a
    checkpoint, so that its run time can be learned; ``sample`` is what its progress
    has told of its worker's speed. ``measured_by_poll`` says that a poll was shortened
    for it, and ``stall_recorded`` that its worker is doubted because it stands still.

    ``reported`` says that the worker has listed the run as running, so it will list
    its end too. ``may_start_late`` says that one copy of its start order got no
    answer, so the answer to another copy cannot prove that the task will not start.
    ``sent_at`` is when the first copy was sent.

    ``recovered`` says that it comes from the record of a former leader.
    ``listed_at`` is when the worker last listed it as running.

    ``first_percent`` is what a task that resumed from a checkpoint showed at first.
    """

    unit: "Unit | None"
    task: TaskId
    run: int
    worker_id: str
    need: Resources
    phase: Phase
    last_answer_at: float = math.inf
    active_at: float = 0.0
    percent: float = 0.0
    first_percent: float | None = None
    progressed_at: float = 0.0
    ran_from_start: bool = False
    sample: "Sample | None" = None
    stall_recorded: bool = False
    measured_by_poll: bool = False
    stop_sent_at: float = -math.inf
    stop_answered: bool = False
    reported: bool = False
    may_start_late: bool = False
    sent_at: float = math.inf
    recovered: bool = False
    listed_at: float = -math.inf

    @property
    def may_have_run(self) -> bool:
        """Return whether the task may have begun on its worker."""
        return self.reported or self.may_start_late or self.recovered

    @property
    def may_start_in_next_life(self) -> bool:
        """Return whether a start may yet be carried out by the worker's next life.

        The answer to a start does not say which incarnation has carried it out; only a
        report that lists the run does. The copies of a former leader are not known.
        """
        unlisted = self.sent_at < math.inf and self.listed_at == -math.inf
        return unlisted or self.may_start_late or self.recovered

    @property
    def is_active(self) -> bool:
        """Return whether the task is known to have started and is not being stopped."""
        return self.phase is Phase.ACTIVE

    @property
    def shows_progress(self) -> bool:
        """Return whether the task has made progress in this run."""
        return self.percent > (self.first_percent or 0.0)

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return the task and its run number."""
        return self.task, self.run


@dataclasses.dataclass(slots=True, eq=False)
class Unit:
    """Tasks that start and end together: a whole gang, or one task of another step.

    ``failed_runs`` has the numbers of the runs of which a task failed, not a count: a
    run's failure may be listed by several members, again to a new leader, and long
    after the run was aborted. ``crashes`` has the crashes of workers that one of its
    tasks may have caused. A preempted unit is not planned again before
    ``backoff_until``. ``ready_at`` is when the unit could first be planned, and
    ``waiting_since`` when it could be planned again after its last run; both are
    negative before. ``first_start_at`` is when the first start of the current run was
    sent, or None; ``durable_at`` is when it was queued, once the run was durable.
    ``work_s`` is the run time of the ended unit on usual workers, or 0 if not measured.
    ``lost_core_s`` is the work that preemptions have cost, in
    core-seconds, as far as this leader knows.
    """

    job: "Job"
    occurrence: int
    step_index: int
    indices: tuple[int, ...]
    state: UnitState = UnitState.WAITING
    run: int = 0
    failed_runs: set[int] = dataclasses.field(default_factory=set)
    crashes: set[Crash] = dataclasses.field(default_factory=set)
    checkpoint: str = ""
    checkpoint_at: float = 0.0
    ready_at: float = -1.0
    waiting_since: float = -1.0
    placements: dict[int, Placement] = dataclasses.field(default_factory=dict)
    planned_version: int = 0
    backoff_until: float = 0.0
    avoided: set[str] = dataclasses.field(default_factory=set)
    first_start_at: float | None = None
    durable_at: float | None = None
    work_s: float = 0.0
    lost_core_s: float = 0.0

    @property
    def step(self) -> Step:
        """Return the step that the unit belongs to."""
        return self.job.accepted.workload.steps[self.step_index]

    def name_task(self, index: int) -> TaskId:
        """Return the id of one of the unit's tasks."""
        return TaskId(self.job.accepted.job_id, self.occurrence, self.step_index, index)

    @property
    def failures(self) -> int:
        """Return how many runs have failed."""
        return len(self.failed_runs)

    @property
    def charged(self) -> bool:
        """Return whether a worker has crashed on which the unit may have begun."""
        return any(not crash.unproven for crash in self.crashes)

    @property
    def all_active(self) -> bool:
        """Return whether all tasks of the unit are active."""
        return len(self.placements) == len(self.indices) and all(
            p.phase is Phase.ACTIVE for p in self.placements.values()
        )

    @property
    def lacks_members(self) -> bool:
        """Return whether some members of a run have ended while others may be active.

        A run loses members one by one only if it cannot complete.
        """
        return 0 < len(self.placements) < len(self.indices)

    @property
    def may_have_waiting_members(self) -> bool:
        """Return whether members of a gang's run may wait for others to start.

        They may do so until their stops are carried out, if the run was aborted. A
        member that reports progress proves that all have started.
        """
        return (
            self.state is UnitState.BUSY
            and len(self.indices) > 1
            and self.first_start_at is not None
            and not any(p.shows_progress for p in self.placements.values())
        )

    @property
    def is_starting(self) -> bool:
        """Return whether a gang's run has begun, is not whole, and is not aborted."""
        return (
            self.may_have_waiting_members
            and not self.all_active
            and not any(p.phase is Phase.STOPPING for p in self.placements.values())
        )

    def measure_start_spread(self) -> float | None:
        """Return the seconds between the first and the last start of a whole gang.

        None for a single task, or unless all members are active.
        """
        if len(self.indices) == 1 or not self.all_active:
            return None
        times = [p.active_at for p in self.placements.values()]
        return max(times) - min(times)

    @property
    def active_since(self) -> float:
        """Return when the last of the unit's tasks became active."""
        return max((p.active_at for p in self.placements.values()), default=0.0)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job and its units. ``version`` counts changes that must become durable.

    ``durable_version`` is the newest stored version; ``offered_version`` is the newest
    that was sent to the store and may be stored. ``outcome_version`` is the one
    that set the job's outcome: later changes, such as ends of the last members of a
    gang, do not alter the outcome.
    """

    accepted: AcceptedJob
    units: list[Unit] = dataclasses.field(default_factory=list)
    state: JobState = JobState.QUEUED
    version: int = 0
    durable_version: int = 0
    offered_version: int = 0
    outcome_version: int = 0
    cancelled: bool = False
    ended_at: float = 0.0
    by_step: dict[tuple[int, int], list[Unit]] = dataclasses.field(default_factory=dict)

    @property
    def terminal(self) -> bool:
        """Return whether the job has its outcome, durable or not."""
        return self.state in TERMINAL

    @property
    def settled(self) -> bool:
        """Return whether the job's outcome is durable, and so may be shown."""
        return self.terminal and self.durable_version >= self.outcome_version

    @property
    def may_be_settled(self) -> bool:
        """Return whether the outcome may be durable, so that only the records tell."""
        return self.terminal and self.offered_version >= self.outcome_version

    def mark_changed(self) -> None:
        """Count a change that must become durable."""
        self.version += 1


def build_job(accepted: AcceptedJob) -> Job:
    """Return a job with all its units waiting."""
    job = Job(accepted)
    workload = accepted.workload
    rounds = range(max(1, workload.occurrences))
    for occurrence, (number, step) in itertools.product(
        rounds, enumerate(workload.steps)
    ):
        groups = [tuple(range(step.count))]
        if not step.gang:
            groups = [(index,) for index in range(step.count)]
        made = [Unit(job, occurrence, number, group) for group in groups]
        job.units += made
        job.by_step[occurrence, number] = made
    return job


def find_unit(job: Job, task: TaskId) -> Unit | None:
    """Return the unit that a task belongs to, or None if the job has no such task."""
    units = job.by_step.get((task.occurrence, task.step), [])
    return next((unit for unit in units if task.index in unit.indices), None)


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker as its leader knows it. Times are on the leader's clock.

    ``granted_until`` is when the answered leases have expired at the latest;
    ``open_grants`` has the same for each unanswered lease, by its number.
    ``renewed_until`` is when the newest answered lease expires, without the margin for
    clock drift and delays. ``clock_offset_s`` is the worker's clock minus the
    leader's. ``closed_at`` is when an unreachable worker first closed or refused a
    connection, or None. ``answered_at`` is when it last answered a call. ``exempt``
    says that it was silent for long before it closed one, or that the former leader had
    an explanation for its loss. ``drain_noticed`` says that this leader saw it begin to
    drain. ``lapsed`` has the runs that ended when its leases expired; it is kept until
    ``lapsed_until``. ``first_kept_end`` is the first end that is not acknowledged, as
    its job's records cannot be read. ``open_acknowledgements`` has, for each poll that
    acknowledges ends and got no answer, by when it was sent, until when it may arrive.
    ``ends_complete`` says that its newest report listed all ends that are not
    acknowledged. ``former_lives`` has the starts of its former incarnations.
    """

    entry: WorkerEntry
    registered: bool = True
    claimed: bool = False
    reachable: bool = True
    unreachable_at: float = 0.0
    closed_at: float | None = None
    answered_at: float = -math.inf
    exempt: bool = False
    drain_noticed: bool = False
    lapsed: list[Placement] = dataclasses.field(default_factory=list)
    lapsed_until: float = 0.0
    barrier: list[tuple["Job", int]] = dataclasses.field(default_factory=list)
    granted_until: float = 0.0
    renewed_until: float = 0.0
    grants_sent: int = 0
    open_grants: dict[int, float] = dataclasses.field(default_factory=dict)
    clock_offset_s: float | None = None
    last_end_read: int = 0
    last_end_acknowledged: int = 0
    first_kept_end: float = math.inf
    open_acknowledgements: dict[float, float] = dataclasses.field(default_factory=dict)
    ends_complete: bool = True
    former_lives: frozenset[int] = frozenset()
    unacknowledged_ends: list[tuple[int, "Job | None", int]] = dataclasses.field(
        default_factory=list
    )
    placements: dict[tuple[TaskId, int], Placement] = dataclasses.field(
        default_factory=dict
    )
    failed_jobs: dict[str, float] = dataclasses.field(default_factory=dict)
    entry_seen_at: float = 0.0
    quarantined_until: float = 0.0
    full_until: float = 0.0

    @property
    def worker_id(self) -> str:
        """Return the worker's id, under which it may have had other incarnations."""
        return self.entry.worker_id

    def is_next_life(self, born: int) -> bool:
        """Return whether an incarnation that started at ``born`` is a later one.

        Its start may be the earlier one by its clock, which may have been set back.
        """
        known = born in (0, self.entry.born) or not self.entry.born
        return not known and born not in self.former_lives

    @property
    def loss_is_explained(self) -> bool:
        """Return whether a loss of the worker now would be no crash.

        It has said that it leaves, or was silent for long: a worker behind a partition
        may be restarted for any reason.
        """
        return self.entry.draining or self.exempt

    def leaves_early(self, at: float) -> bool:
        """Return whether a draining worker that is gone at that time had not yet left.

        It announces the minimum time that it stays, to which its entry's way is added.
        """
        left_s = self.measure_time_left(at)
        if left_s is None or not self.drain_noticed:
            return False
        return left_s > MAX_ENTRY_DELAY_S

    @property
    def awaits_proof(self) -> bool:
        """Return whether the worker may list no end for some run that was stopped."""
        return any(p.stop_answered and not p.reported for p in self.placements.values())

    @property
    def rack(self) -> str:
        """Return the rack, or an empty string if it is not known."""
        return self.entry.rack

    @property
    def free(self) -> Resources:
        """Return the capacity that no placement holds."""
        capacity = self.entry.capacity
        # This runs for each worker in each pass: subtracting one placement at a time
        # would build a Resources for each, which took a tenth of a pass on a full pool.
        needs = [placement.need for placement in self.placements.values()]
        return Resources(
            capacity.cpu_milli - sum(need.cpu_milli for need in needs),
            capacity.memory_mb - sum(need.memory_mb for need in needs),
            capacity.accelerators - sum(need.accelerators for need in needs),
        )

    @property
    def runs_expire_at(self) -> float:
        """Return when all runs on the worker have ended if it stays unreachable."""
        return max(self.granted_until, *self.open_grants.values(), 0.0)

    def measure_time_left(self, now: float) -> float | None:
        """Return the minimum seconds until the worker leaves, or None."""
        if not self.entry.draining:
            return None
        return (self.entry.leaves_in_s or 0.0) - (now - self.entry_seen_at)

    @property
    def may_send_lease(self) -> bool:
        """Return whether a lease may be sent.

        While a worker is unreachable, the jobs' records have the expiry of its leases.
        They must be updated before a new lease extends its runs beyond that.
        """
        self.barrier = [(j, v) for j, v in self.barrier if j.durable_version < v]
        return self.reachable and not self.barrier

    def find_last_durable_end(self) -> int:
        """Return the number of the last end up to which all ends are durable."""
        last_durable = self.last_end_acknowledged
        for number, job, version in self.unacknowledged_ends:
            if number >= self.first_kept_end:
                break
            if job is not None and job.durable_version < version:
                break
            last_durable = number
        return last_durable

    def choose_acknowledgement(self) -> int:
        """Return the number of the last end that the next poll acknowledges, or 0.

        It is sent only until a poll with it is answered, and only while the worker
        answers. If the worker has started again under its id, the number acknowledges
        ends of its next incarnation that nobody has read.
        """
        number = self.find_last_durable_end()
        if not self.reachable or number <= self.last_end_acknowledged:
            return 0
        return number

    def keep_ends_from(self, number: int) -> None:
        """Acknowledge no end from ``number`` on: its job's records cannot be read."""
        self.first_kept_end = min(self.first_kept_end, number)

    @property
    def acknowledgements_arrive_until(self) -> float:
        """Return until when a poll without an answer may acknowledge ends."""
        return max(self.open_acknowledgements.values(), default=0.0)

    def release_kept_ends(self) -> None:
        """Acknowledge all ends if a report has little room left beside kept ones."""
        if len(self.unacknowledged_ends) > MAX_KEPT_ENDS:
            self.first_kept_end = math.inf

    def drop_acknowledged_ends(self, number: int) -> None:
        """Drop the ends up to ``number``, which were acknowledged to the worker."""
        self.last_end_acknowledged = max(self.last_end_acknowledged, number)
        self.unacknowledged_ends = [
            row
            for row in self.unacknowledged_ends
            if row[0] > self.last_end_acknowledged
        ]
