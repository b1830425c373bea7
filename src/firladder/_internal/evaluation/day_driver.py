"""Simulate a day of jobs on the scheduling core, without a network or a clock.

Workers carry out orders after a fixed delay, so that the outcome depends on the
planner's decisions alone: which jobs were in time, what delayed the others, and how
much work was lost.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
from collections import defaultdict
from collections.abc import Callable, Mapping

from ..engine import leases
from ..engine.core import Core
from ..engine.planning import Planner
from ..engine.preemption import ACCELERATOR_CORES
from ..engine.state import JobState, Phase, Placement, Unit
from ..models.order import EndedTask, Ending, RunningTask, TaskId, WorkerReport
from .day_loads import DAY_S, INITIAL_JOBS_AT_S, Day, DayJob

LEASE_S = 6.0

RECLAIM_S = 3.4
"""Seconds within which guaranteed work must start."""

START_DELAY_S = 0.06
"""Seconds from a plan to the running task: a write to the store and an order."""

STOP_DELAY_S = 0.2
"""Seconds from a stop order until the leader reads the end of the task."""

RESTORE_S = 0.1
"""Seconds that restoring a task from a checkpoint takes."""

REPORT_INTERVAL_S = 0.5
"""Seconds between two polls of all workers for their progress."""

PASS_DELAY_S = 0.01

TAIL_S = 60.0
"""Seconds for which the simulation goes on after the end of the arrivals."""

CROSS_RACK_SLOWDOWN = 3.0
"""Factor on the run time of a gang that requests one rack and runs on several."""

MAX_LATENESS_FACTOR = 3.0
"""A late job has some worth up to this many times its objective."""

WINDOW_S = 2.0
WORST_WINDOW_COUNT = 2
"""Arrivals are grouped by windows of ``WINDOW_S``; the worst few are averaged."""

START_AT_S = 100.0
"""The core's clock at the start of the day; the core needs a time above zero."""


@dataclasses.dataclass(slots=True)
class JobOutcome:
    """The outcome of a job; all times in seconds.

    ``first_started_at`` is when the last of its units started for the first time,
    ``last_started_at`` when a unit last started, and ``cross_rack_s`` the time that
    this run takes longer because it spans several racks.
    """

    job: DayJob
    first_started_at: float | None = None
    last_started_at: float = 0.0
    ended_at: float | None = None
    cross_rack_s: float = 0.0

    @property
    def took_s(self) -> float:
        """Return the time from arrival to end."""
        if self.ended_at is None:
            return float("inf")
        return self.ended_at - self.job.accepted.accepted_at_s

    @property
    def earned(self) -> float:
        """Return the job's worth to its caller, given when it ended."""
        if self.took_s <= self.job.objective_s:
            return self.full_worth
        if self.took_s <= MAX_LATENESS_FACTOR * self.job.objective_s:
            return self.job.kind.late_worth * self.job.weight
        return 0.0

    @property
    def full_worth(self) -> float:
        """Return the worth of the job if it ends in time."""
        return self.job.kind.worth * self.job.weight

    def find_main_delay(self) -> str:
        """Return the main cause of the job's delay."""
        if self.first_started_at is None:
            return "never started"
        delays = {
            "waited for capacity": self.first_started_at
            - self.job.accepted.accepted_at_s,
            "preempted or lost": self.last_started_at - self.first_started_at,
            "spread over racks": self.cross_rack_s,
        }
        return max(delays, key=lambda name: delays[name])


@dataclasses.dataclass(frozen=True, slots=True)
class DayOutcome:
    """The outcome of a day: worth earned, and worth missed by cause.

    ``by_kind`` is the share of the full worth that each kind earned. ``lost_core_s``
    is discarded work in core-seconds; an accelerator counts as eight cores.
    ``worst_window_share`` is the share earned by the arrivals of the worst windows.
    """

    earned: float
    full_worth: float
    by_kind: dict[str, float]
    missed_by: dict[str, float]
    lost_core_s: float
    preemptions: int
    worst_window_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A run of a unit; ``progress_s`` is the work that earlier runs saved.

    ``slowdown`` is the run's time over that of the same work on usual workers. Members
    that are done before ``duration_s`` wait for the others.
    """

    started_at: float
    duration_s: float
    slowdown: float
    progress_s: float
    member_durations_s: Mapping[int, float]


class DayDriver:
    """Simulates one day under one planner."""

    def __init__(self, day: Day, planner: type[Planner]) -> None:
        """Register all workers, idle, and schedule arrivals and losses."""
        self.now = START_AT_S + INITIAL_JOBS_AT_S
        self.core = Core(lease_s=LEASE_S, note=self._count_preemption)
        self.core.configuration = day.configuration
        self.planner = planner(
            self.core, reclaim_s=RECLAIM_S, restart_s=STOP_DELAY_S + RESTORE_S
        )
        self._slowdowns = day.slowdowns
        self._rng = random.Random(len(day.jobs))
        self.job_outcomes = {j.accepted.job_id: JobOutcome(j) for j in day.jobs}
        self.lost_core_s = 0.0
        self.preemptions = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._end_numbers: defaultdict[str, itertools.count[int]] = defaultdict(
            lambda: itertools.count(1)
        )
        self._running: defaultdict[str, dict[tuple[TaskId, int], Placement]]
        self._running = defaultdict(dict)
        self._started: set[int] = set()
        self._progress_s: dict[int, float] = {}
        self._runs: dict[tuple[int, int], _Run] = {}
        self._pass_due = False
        for entry in day.workers:
            self.core.register_worker(entry, now=self.now)
            self._report(entry.worker_id)
        for job in day.jobs:
            self._schedule(
                START_AT_S + job.accepted.accepted_at_s, self._make_arrival(job)
            )
        for at, worker_id in day.lost:
            self._schedule(START_AT_S + at, self._make_loss(worker_id))
        self._schedule(self.now, self._poll_workers)

    def run(self) -> DayOutcome:
        """Simulate the day to its end."""
        end = START_AT_S + DAY_S + TAIL_S
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if all(a.ended_at is not None for a in self.job_outcomes.values()):
                break
        return self._summarize()

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _count_preemption(self, what: str, **inputs: object) -> None:
        self.preemptions += what == "room made"

    def _make_arrival(self, job: DayJob) -> Callable[[], None]:
        def arrive() -> None:
            accepted = job.accepted
            at = START_AT_S + accepted.accepted_at_s
            self.core.add_job(dataclasses.replace(accepted, accepted_at_s=at), None)
            self._schedule_pass()

        return arrive

    def _make_loss(self, worker_id: str) -> Callable[[], None]:
        def lose() -> None:
            for placement in self._running.pop(worker_id, {}).values():
                self._record_lost_work(placement)
            self.core.lose_worker(worker_id, "gone", now=self.now)
            self._schedule_pass()

        return lose

    def _poll_workers(self) -> None:
        for worker_id in list(self.core.workers):
            self._report(worker_id)
        self._schedule_pass()
        self._schedule(self.now + REPORT_INTERVAL_S, self._poll_workers)

    def _schedule_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            self._schedule(self.now + PASS_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._pass_due = False
        self.planner.run_pass(now=self.now, wall=self.now)
        for job_id, job in list(self.core.dirty.items()):
            self.core.mark_durable(job_id, job.version)
        for placement in self.core.take_starts():
            self._schedule(self.now + START_DELAY_S, self._make_start(placement))
        for placement in self.core.take_stops(self.now):
            self._schedule(self.now + STOP_DELAY_S, self._make_stop(placement))

    def _make_start(self, placement: Placement) -> Callable[[], None]:
        def start() -> None:
            worker = self.core.workers.get(placement.worker_id)
            if worker is None or placement.phase is not Phase.SENT:
                return
            self._running[placement.worker_id][placement.key] = placement
            self.core.handle_start_answer(placement, self.now, self.now)
            unit = placement.unit
            if unit is not None and unit.all_active:
                self._start_unit(unit)

        return start

    def _start_unit(self, unit: Unit) -> None:
        outcome = self.job_outcomes[unit.job.accepted.job_id]
        at = self.now - START_AT_S
        if id(unit) not in self._started:
            self._started.add(id(unit))
            outcome.first_started_at = at
        outcome.last_started_at = at
        racks = {self.core.workers[p.worker_id].rack for p in unit.placements.values()}
        progress_s = self._progress_s.get(id(unit), 0.0)
        remaining_s = outcome.job.run_duration_s - progress_s
        crosses_racks = unit.step.one_rack and len(unit.indices) > 1 and len(racks) > 1
        rack_factor = CROSS_RACK_SLOWDOWN if crosses_racks else 1.0
        durations_s = {
            index: remaining_s
            * outcome.job.find_task_factor(index)
            * self._slowdowns.get(placement.worker_id, 1)
            * rack_factor
            for index, placement in unit.placements.items()
        }
        duration_s = max(durations_s.values())
        outcome.cross_rack_s = duration_s * (1 - 1 / rack_factor)
        run = _Run(
            self.now, duration_s, duration_s / remaining_s, progress_s, durations_s
        )
        self._runs[id(unit), unit.run] = run
        failed_share = outcome.job.kind.failed_share
        if failed_share and self._rng.random() < failed_share:
            fails_at = self.now + duration_s * self._rng.random()
            self._schedule(fails_at, self._make_failure(unit, unit.run))
        else:
            self._schedule(self.now + duration_s, self._make_finish(unit, unit.run))

    def _make_failure(self, unit: Unit, run: int) -> Callable[[], None]:
        def fail() -> None:
            if unit.run != run or not unit.all_active:
                return
            placements = list(unit.placements.values())
            failing = self._rng.choice(placements)
            for placement in placements:
                self._record_lost_work(placement)
            for placement in placements:
                how: Ending = "failed" if placement is failing else "broken"
                self._end_task(placement, how)
            self._schedule_pass()

        return fail

    def _make_finish(self, unit: Unit, run: int) -> Callable[[], None]:
        def finish() -> None:
            if unit.run != run or not unit.all_active:
                return
            for placement in list(unit.placements.values()):
                self._end_task(placement, "done")
            self._schedule_pass()

        return finish

    def _make_stop(self, placement: Placement) -> Callable[[], None]:
        def stop() -> None:
            if placement.key in self._running[placement.worker_id]:
                self._record_lost_work(placement)
                self._end_task(placement, "stopped")
            else:
                self.core.handle_stop_answer(placement, self.now, self.now)
                self._report(placement.worker_id)
            self._schedule_pass()

        return stop

    def _record_lost_work(self, placement: Placement) -> None:
        unit = placement.unit
        if unit is None:
            return
        run = self._runs.get((id(unit), placement.run))
        if run is None:
            return
        elapsed_s = self.now - run.started_at
        if unit.step.checkpoints:
            self._progress_s[id(unit)] = run.progress_s + elapsed_s / run.slowdown
            return
        need = placement.need
        cores = need.cpu_milli / 1000 + need.accelerators * ACCELERATOR_CORES
        self.lost_core_s += cores * elapsed_s

    def _end_task(self, placement: Placement, how: Ending) -> None:
        worker_id = placement.worker_id
        self._running[worker_id].pop(placement.key, None)
        number = next(self._end_numbers[worker_id])
        end = EndedTask(number, placement.task, placement.run, how, "")
        self._report(worker_id, (end,))
        outcome = self.job_outcomes[placement.task.job_id]
        job = self.core.jobs[placement.task.job_id]
        if job.state is JobState.COMPLETED and outcome.ended_at is None:
            outcome.ended_at = self.now - START_AT_S

    def _report(self, worker_id: str, ended: tuple[EndedTask, ...] = ()) -> None:
        worker = self.core.workers.get(worker_id)
        if worker is None:
            return
        grant = leases.record_grant_sent(worker, now=self.now, lease_s=LEASE_S)
        leases.record_grant_answered(
            worker, grant, sent_at=self.now, now=self.now, lease_s=LEASE_S
        )
        rows = tuple(
            RunningTask(p.task, p.run, "", self._compute_percent(p))
            for p in self._running[worker_id].values()
        )
        report = WorkerReport(self.now, rows, ended)
        self.core.handle_report(worker, report, sent_at=self.now, now=self.now)

    def _compute_percent(self, placement: Placement) -> int:
        run = self._runs.get((id(placement.unit), placement.run))
        if run is None:
            return 0
        elapsed_s = self.now - run.started_at
        if elapsed_s >= run.duration_s:
            return 99
        duration_s = run.member_durations_s.get(placement.task.index, run.duration_s)
        return min(100, int(100 * elapsed_s / duration_s))

    def _summarize(self) -> DayOutcome:
        full_worth: defaultdict[str, float] = defaultdict(float)
        earned: defaultdict[str, float] = defaultdict(float)
        missed: defaultdict[str, float] = defaultdict(float)
        for outcome in self.job_outcomes.values():
            kind = outcome.job.kind
            full_worth[kind.name] += outcome.full_worth
            earned[kind.name] += outcome.earned
            if outcome.earned < outcome.full_worth:
                missed[outcome.find_main_delay()] += outcome.full_worth - outcome.earned
        return DayOutcome(
            sum(earned.values()),
            sum(full_worth.values()),
            {name: earned[name] / full_worth[name] for name in full_worth},
            dict(missed),
            self.lost_core_s,
            self.preemptions,
            self._compute_worst_window_share(),
        )

    def _compute_worst_window_share(self) -> float:
        """Return the mean share of worth that the worst windows earned."""
        windows: defaultdict[int, list[JobOutcome]] = defaultdict(list)
        for outcome in self.job_outcomes.values():
            at = outcome.job.accepted.accepted_at_s
            if at >= 0:
                windows[int(at / WINDOW_S)].append(outcome)
        shares = sorted(
            sum(a.earned for a in rows) / sum(a.full_worth for a in rows)
            for rows in windows.values()
        )
        return statistics.mean(shares[:WORST_WINDOW_COUNT]) if shares else 1.0
