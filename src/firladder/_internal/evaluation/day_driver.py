"""Drive the scheduling core through a day, without a network or a clock.

Workers do what they are told after a fixed delay; what is measured is what the
decisions make of the day: who is in time, what delayed the others, what was lost.
"""

import dataclasses
import heapq
import itertools
import statistics
from collections import defaultdict
from collections.abc import Callable

from ..engine import leases
from ..engine.core import Core
from ..engine.planning import Planner
from ..engine.preemption import ACCELERATOR_CORES
from ..engine.state import JobState, Phase, Placement, Unit
from ..models.order import EndedTask, Ending, RunningTask, TaskId, WorkerReport
from .day_loads import DAY_S, FILLED_AT_S, Day, DayJob

HOLD_S = 6.0

RECLAIM_S = 3.4
"""Seconds within which guaranteed work must begin."""

START_S = 0.06
"""Seconds from a plan to the task at work: a write to the store and an order."""

STOP_S = 0.2
"""Seconds from a stop to its end as the leader reads it."""

RESTORE_S = 0.1
"""Seconds for which a task that goes on from a checkpoint is restored."""

REPORT_S = 0.5
"""Seconds between two looks at all workers, for their progress."""

PASS_S = 0.01
AFTER_S = 60.0
"""Seconds after the last arrival for which a day goes on."""

FAR_FACTOR = 3.0
"""How many times as long a gang takes that wants one rack and has several."""

LATE_FACTOR = 3.0
"""Times its objective until which a late job is worth something."""

WINDOW_S = 2.0
WORST_WINDOWS = 2
"""Arrivals are put into windows of so many seconds; the worst few are counted."""

START_AT = 100.0
"""The core's clock when the first job arrives; it must be above zero."""


@dataclasses.dataclass(slots=True)
class Account:
    """What became of a job; all times in seconds.

    ``first_at`` is when the last of its units began for the first time, ``last_at``
    when a unit last began, ``far_s`` what that run took longer than near its data.
    """

    job: DayJob
    first_at: float | None = None
    last_at: float = 0.0
    ended_at: float | None = None
    far_s: float = 0.0

    @property
    def took_s(self) -> float:
        """Return the time from arrival to end."""
        if self.ended_at is None:
            return float("inf")
        return self.ended_at - self.job.accepted.accepted_at_s

    @property
    def earned(self) -> float:
        """Return what the job was worth to its caller."""
        if self.took_s <= self.job.objective_s:
            return self.owed
        if self.took_s <= LATE_FACTOR * self.job.objective_s:
            return self.job.kind.late_worth * self.job.weight
        return 0.0

    @property
    def owed(self) -> float:
        """Return what the job is worth in time."""
        return self.job.kind.worth * self.job.weight

    def find_cause(self) -> str:
        """Return what delayed the job most."""
        if self.first_at is None:
            return "never begun"
        delays = {
            "waited for room": self.first_at - self.job.accepted.accepted_at_s,
            "evicted or lost": self.last_at - self.first_at,
            "spread over racks": self.far_s,
        }
        return max(delays, key=lambda name: delays[name])


@dataclasses.dataclass(frozen=True, slots=True)
class DayOutcome:
    """A day's account: worth earned of worth owed, by kind and by cause.

    ``lost_core_s`` is work thrown away, in core-seconds; an accelerator counts as
    eight cores; ``worst`` the share earned by what came in the worst windows.
    """

    earned: float
    owed: float
    by_kind: dict[str, float]
    missed_by: dict[str, float]
    lost_core_s: float
    preemptions: int
    worst: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A run of a unit; ``saved_s`` is the work that earlier runs had saved."""

    began_at: float
    takes_s: float
    pace: float
    saved_s: float


class DayDriver:
    """Plays one day under one planner."""

    def __init__(self, day: Day, planner: type[Planner]) -> None:
        """Prepare; all workers are known and empty."""
        self.now = START_AT + FILLED_AT_S
        self.core = Core(lease_s=HOLD_S, note=self._note)
        self.core.configuration = day.configuration
        self.planner = planner(
            self.core, reclaim_s=RECLAIM_S, restart_s=STOP_S + RESTORE_S
        )
        self._paces = day.paces
        self.job_outcomes = {j.accepted.job_id: Account(j) for j in day.jobs}
        self.lost_core_s = 0.0
        self.preemptions = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._numbers: defaultdict[str, itertools.count[int]] = defaultdict(
            lambda: itertools.count(1)
        )
        self._running: defaultdict[str, dict[tuple[TaskId, int], Placement]]
        self._running = defaultdict(dict)
        self._begun: set[int] = set()
        self._saved: dict[int, float] = {}
        self._progress: dict[tuple[int, int], _Run] = {}
        self._pass_due = False
        for entry in day.workers:
            self.core.register_worker(entry, now=self.now)
            self._report(entry.worker_id)
        for job in day.jobs:
            self._at(START_AT + job.accepted.accepted_at_s, self._make_arrival(job))
        for at, worker_id in day.lost:
            self._at(START_AT + at, self._make_loss(worker_id))
        self._at(self.now, self._tick)

    def run(self) -> DayOutcome:
        """Play the day to its end."""
        end = START_AT + DAY_S + AFTER_S
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if all(a.ended_at is not None for a in self.job_outcomes.values()):
                break
        return self._sum_up()

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _note(self, what: str, **inputs: object) -> None:
        self.preemptions += what == "room made"

    def _make_arrival(self, job: DayJob) -> Callable[[], None]:
        def arrive() -> None:
            accepted = job.accepted
            at = START_AT + accepted.accepted_at_s
            self.core.add_job(dataclasses.replace(accepted, accepted_at_s=at), None)
            self._want_pass()

        return arrive

    def _make_loss(self, worker_id: str) -> Callable[[], None]:
        def lose() -> None:
            for placement in self._running.pop(worker_id, {}).values():
                self._count_loss(placement)
            self.core.lose_worker(worker_id, "gone")
            self._want_pass()

        return lose

    def _tick(self) -> None:
        for worker_id in list(self.core.workers):
            self._report(worker_id)
        self._want_pass()
        self._at(self.now + REPORT_S, self._tick)

    def _want_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            self._at(self.now + PASS_S, self._plan)

    def _plan(self) -> None:
        self._pass_due = False
        self.planner.run_pass(now=self.now, wall=self.now)
        for job_id, job in list(self.core.dirty.items()):
            self.core.mark_durable(job_id, job.version)
        for placement in self.core.take_starts():
            self._at(self.now + START_S, self._make_start(placement))
        for placement in self.core.take_stops(self.now):
            self._at(self.now + STOP_S, self._make_stop(placement))

    def _make_start(self, placement: Placement) -> Callable[[], None]:
        def start() -> None:
            worker = self.core.workers.get(placement.worker_id)
            if worker is None or placement.phase is not Phase.SENT:
                return
            self._running[placement.worker_id][placement.key] = placement
            self.core.handle_start_answer(placement, self.now, self.now)
            unit = placement.unit
            if unit is not None and unit.all_active:
                self._begin(unit)

        return start

    def _begin(self, unit: Unit) -> None:
        account = self.job_outcomes[unit.job.accepted.job_id]
        at = self.now - START_AT
        if id(unit) not in self._begun:
            self._begun.add(id(unit))
            account.first_at = at
        account.last_at = at
        racks = {self.core.workers[p.worker_id].rack for p in unit.placements.values()}
        saved_s = self._saved.get(id(unit), 0.0)
        left_s = account.job.runs_s - saved_s
        far = unit.step.one_rack and len(unit.indices) > 1 and len(racks) > 1
        slow = max(self._paces.get(p.worker_id, 1) for p in unit.placements.values())
        pace = FAR_FACTOR * slow if far else slow
        account.far_s = left_s * slow * (FAR_FACTOR - 1) if far else 0.0
        run = _Run(self.now, left_s * pace, pace, saved_s)
        self._progress[id(unit), unit.run] = run
        self._at(self.now + run.takes_s, self._make_finish(unit, unit.run))

    def _make_finish(self, unit: Unit, run: int) -> Callable[[], None]:
        def finish() -> None:
            if unit.run != run or not unit.all_active:
                return
            for placement in list(unit.placements.values()):
                self._end(placement, "done")
            self._want_pass()

        return finish

    def _make_stop(self, placement: Placement) -> Callable[[], None]:
        def stop() -> None:
            if placement.key in self._running[placement.worker_id]:
                self._count_loss(placement)
                self._end(placement, "stopped")
            else:
                self.core.handle_stop_answer(placement, self.now, self.now)
                self._report(placement.worker_id)
            self._want_pass()

        return stop

    def _count_loss(self, placement: Placement) -> None:
        unit = placement.unit
        if unit is None:
            return
        run = self._progress.get((id(unit), placement.run))
        if run is None:
            return
        worked = self.now - run.began_at
        if unit.step.checkpoints:
            self._saved[id(unit)] = run.saved_s + worked / run.pace
            return
        need = placement.need
        cores = need.cpu_milli / 1000 + need.accelerators * ACCELERATOR_CORES
        self.lost_core_s += cores * worked

    def _end(self, placement: Placement, how: Ending) -> None:
        worker_id = placement.worker_id
        self._running[worker_id].pop(placement.key, None)
        number = next(self._numbers[worker_id])
        end = EndedTask(number, placement.task, placement.run, how, "")
        self._report(worker_id, (end,))
        account = self.job_outcomes[placement.task.job_id]
        job = self.core.jobs[placement.task.job_id]
        if job.state is JobState.COMPLETED and account.ended_at is None:
            account.ended_at = self.now - START_AT

    def _report(self, worker_id: str, ended: tuple[EndedTask, ...] = ()) -> None:
        worker = self.core.workers.get(worker_id)
        if worker is None:
            return
        grant = leases.record_grant_sent(worker, now=self.now, lease_s=HOLD_S)
        leases.record_grant_answered(
            worker, grant, sent_at=self.now, now=self.now, lease_s=HOLD_S
        )
        rows = tuple(
            RunningTask(p.task, p.run, "", self._find_percent(p))
            for p in self._running[worker_id].values()
        )
        report = WorkerReport(self.now, rows, ended)
        self.core.handle_report(worker, report, sent_at=self.now, now=self.now)

    def _find_percent(self, placement: Placement) -> int:
        run = self._progress.get((id(placement.unit), placement.run))
        if run is None:
            return 0
        return min(99, int(100 * (self.now - run.began_at) / run.takes_s))

    def _sum_up(self) -> DayOutcome:
        owed: defaultdict[str, float] = defaultdict(float)
        earned: defaultdict[str, float] = defaultdict(float)
        missed: defaultdict[str, float] = defaultdict(float)
        for account in self.job_outcomes.values():
            kind = account.job.kind
            owed[kind.name] += account.owed
            earned[kind.name] += account.earned
            if account.earned < account.owed:
                missed[account.find_cause()] += account.owed - account.earned
        return DayOutcome(
            sum(earned.values()),
            sum(owed.values()),
            {name: earned[name] / owed[name] for name in owed},
            dict(missed),
            self.lost_core_s,
            self.preemptions,
            self._find_worst(),
        )

    def _find_worst(self) -> float:
        """Return the share of its worth that the worst windows' work earned."""
        windows: defaultdict[int, list[Account]] = defaultdict(list)
        for account in self.job_outcomes.values():
            at = account.job.accepted.accepted_at_s
            if at >= 0:
                windows[int(at / WINDOW_S)].append(account)
        shares = sorted(
            sum(a.earned for a in rows) / sum(a.owed for a in rows)
            for rows in windows.values()
        )
        return statistics.mean(shares[:WORST_WINDOWS]) if shares else 1.0
