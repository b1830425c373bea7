"""Simulate a day of jobs on the scheduling core, without a network or a clock.

Workers carry out orders after a fixed delay, so that the outcome depends on the
planner's decisions alone: which jobs were in time, what delayed the others, and how
much work was lost.
"""

import dataclasses
import functools
from collections.abc import Callable

from ..engine import leases
from ..engine.core import Core
from ..engine.planning import Planner
from ..engine.state import JobState, Phase, Placement
from ..models.order import WorkerReport
from .day_events import EventQueue
from .day_faults import draw_retry_s
from .day_jobs import DAY_S, INITIAL_JOBS_AT_S, Day, DayJob, Departure, KnowsDay
from .day_outcomes import DayOutcome, JobOutcome, summarize
from .day_records import DayRecords
from .day_workers import SimulatedWorkers

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

START_AT_S = 100.0
"""The core's clock at the start of the day; the core needs a time above zero."""


class DayDriver:
    """Simulates one day under one planner."""

    def __init__(self, day: Day, planner: type[Planner]) -> None:
        """Register all workers, idle, and schedule arrivals and faults."""
        self._events = EventQueue(START_AT_S + INITIAL_JOBS_AT_S)
        self._day = day
        self._make_planner = planner
        self.job_outcomes = {j.accepted.job_id: JobOutcome(j) for j in day.jobs}
        self.preemptions = 0
        self.workers = SimulatedWorkers(
            day,
            self._events,
            start_at=START_AT_S,
            job_outcomes=self.job_outcomes,
            on_end=self._report,
            on_change=self._schedule_pass,
        )
        self._open = set(self.job_outcomes)
        self._cancelled: set[str] = set()
        self._records = DayRecords(keeps_progress=bool(day.takeovers))
        self._has_faults = bool(day.spells or day.departures or day.takeovers)
        self._store_back_at: float | None = None
        self._has_leader = True
        self._term = 0
        self._pass_due = False
        self._lead()
        for worker_id in self.workers.entries:
            self._report(worker_id)
        self._schedule_day(day)

    def _schedule_day(self, day: Day) -> None:
        for job in day.jobs:
            self._schedule_at(job.accepted.accepted_at_s, self._submit, job, 0)
            if job.cancelled_at_s is not None:
                self._schedule_at(job.cancelled_at_s, self._cancel, job)
        for at_s, worker_id in day.lost:
            self._schedule_at(at_s, self._lose_worker, worker_id)
        for departure in day.departures:
            self._schedule_at(departure.at_s, self._drain_worker, departure)
            left_at_s = departure.at_s + departure.notice_s
            self._schedule_at(left_at_s, self._lose_worker, departure.worker_id)
        for from_s, until_s in day.outages:
            self._schedule_at(from_s, self._begin_outage, START_AT_S + until_s)
            self._schedule_at(until_s, self._end_outage)
        for from_s, until_s in day.takeovers:
            self._schedule_at(from_s, self._lose_leader)
            self._schedule_at(until_s, self._take_over)
        self._events.schedule(self._now, self._poll_workers)

    def _schedule_at(
        self, at_s: float, action: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule an action at a time of the day."""
        self._events.schedule(START_AT_S + at_s, functools.partial(action, *arguments))

    @property
    def _now(self) -> float:
        return self._events.now

    def run(self) -> DayOutcome:
        """Simulate the day to its end."""
        end = START_AT_S + DAY_S + TAIL_S
        self._events.run(until=end, is_over=lambda: not self._open)
        for job_id, outcome in self.job_outcomes.items():
            job = self.core.jobs.get(job_id)
            outcome.gave_up = job is not None and job.state is JobState.FAILED
        return summarize(
            self.job_outcomes.values(),
            lost_core_s=self.workers.lost_core_s,
            preemptions=self.preemptions,
        )

    def _lead(self) -> None:
        """Start the term of a leader that knows the workers and nothing else."""
        self.core = Core(lease_s=LEASE_S, note=self._count_preemption)
        self.core.configuration = self._day.configuration
        self.planner = self._make_planner(
            self.core, reclaim_s=RECLAIM_S, restart_s=STOP_DELAY_S + RESTORE_S
        )
        if isinstance(self.planner, KnowsDay):
            self.planner.know_day(self._day)
        for entry in self.workers.entries.values():
            self.core.register_worker(entry, now=self._now)

    def _count_preemption(self, what: str, **inputs: object) -> None:
        self.preemptions += what == "room made"

    # -- callers -------------------------------------------------------------------

    def _submit(self, job: DayJob, retries: int) -> None:
        accepted, outcome = job.accepted, self.job_outcomes[job.accepted.job_id]
        if accepted.job_id in self._cancelled:
            return
        if self._store_back_at is not None:
            after_s = draw_retry_s(self._day, accepted.job_id, retries)
            if after_s is None:
                self._open.discard(accepted.job_id)
                return
            again = functools.partial(self._submit, job, retries + 1)
            self._events.schedule(self._now + after_s, again)
            return
        outcome.accepted_at = accepted.accepted_at_s
        if retries:
            outcome.accepted_at = self._now - START_AT_S
        accepted = dataclasses.replace(
            accepted, accepted_at_s=START_AT_S + outcome.accepted_at
        )
        self._records.add(accepted)
        if self._has_leader:
            self.core.add_job(accepted, None)
            self._schedule_pass()

    def _cancel(self, job: DayJob) -> None:
        if self._store_back_at is not None:
            again = functools.partial(self._cancel, job)
            self._events.schedule(self._store_back_at, again)
            return
        job_id = job.accepted.job_id
        self._cancelled.add(job_id)
        if self._has_leader:
            self.core.cancel_job(job_id)
            self._schedule_pass()

    # -- faults --------------------------------------------------------------------

    def _lose_worker(self, worker_id: str) -> None:
        if worker_id not in self.workers.entries:
            return
        self.workers.lose(worker_id)
        if self._has_leader:
            self.core.lose_worker(worker_id, "gone", now=self._now)
            self._schedule_pass()

    def _drain_worker(self, departure: Departure) -> None:
        entry = self.workers.entries.get(departure.worker_id)
        if entry is None:
            return
        entry = dataclasses.replace(
            entry, draining=True, leaves_in_s=departure.notice_s
        )
        self.workers.entries[departure.worker_id] = entry
        if self._has_leader:
            self.core.register_worker(entry, now=self._now)
            self._schedule_pass()

    def _begin_outage(self, back_at: float) -> None:
        self._store_back_at = back_at

    def _end_outage(self) -> None:
        self._store_back_at = None
        self._schedule_pass()

    def _lose_leader(self) -> None:
        """Lose the leader, with the orders that it has not sent."""
        self._has_leader = False
        self._term += 1

    def _take_over(self) -> None:
        """Lead by the records, while the workers have gone on."""
        former, self._has_leader = self.core, True
        self._lead()
        self._records.restore(self.core, former, self._cancelled, now=self._now)
        self.workers.follow_leader(self.core.jobs)
        for worker_id in self.workers.entries:
            self._report(worker_id)
        for worker_id in set(self.core.workers).difference(self.workers.entries):
            self.core.lose_worker(worker_id, "gone", now=self._now)
        self._schedule_pass()

    # -- the leader ----------------------------------------------------------------

    def _poll_workers(self) -> None:
        if self._has_leader:
            for worker_id, worker in list(self.core.workers.items()):
                # An idle worker reports nothing new.
                if worker.placements or not self.workers.is_unused(worker_id):
                    self._report(worker_id)
            if self._has_faults:
                self._handle_faults()
            self._schedule_pass()
            self._drop_given_up()
        self._events.schedule(self._now + REPORT_INTERVAL_S, self._poll_workers)

    def _handle_faults(self) -> None:
        self.core.expire_runs(self._now)
        self.core.abort_late_gangs(self._now)
        self.core.abort_stalled_runs(self._now)
        self.planner.move_units(self._now)

    def _drop_given_up(self) -> None:
        """Await no more jobs that were given up, once no task of theirs is left."""
        if self.workers.is_idle:
            jobs = self.core.jobs
            self._open -= {i for i in self._open if i in jobs and jobs[i].terminal}

    def _schedule_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            self._events.schedule(self._now + PASS_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._pass_due = False
        if not self._has_leader:
            return
        self.planner.run_pass(now=self._now, wall=self._now)
        if self._store_back_at is None:
            self._records.write(self.core)
        for placement in self.core.take_starts():
            start = functools.partial(self._start, placement, self._term)
            self._events.schedule(self._now + START_DELAY_S, start)
        for placement in self.core.take_stops(self._now):
            stop = functools.partial(self._stop, placement, self._term)
            self._events.schedule(self._now + STOP_DELAY_S, stop)

    def _start(self, placement: Placement, term: int) -> None:
        worker = self.core.workers.get(placement.worker_id)
        if term != self._term or worker is None or placement.phase is not Phase.SENT:
            return
        self.workers.start_task(placement)
        self.core.handle_start_answer(placement, self._now, self._now)
        unit = placement.unit
        if unit is not None and unit.all_active:
            self.workers.start_run(unit)

    def _stop(self, placement: Placement, term: int) -> None:
        if term != self._term:
            return
        worker_id, key = placement.worker_id, placement.key
        if self.workers.runs_task(worker_id, key):
            self.workers.stop_task(worker_id, key)
        else:
            self.core.handle_stop_answer(placement, self._now, self._now)
            self._report(worker_id)
        self._schedule_pass()

    def _report(self, worker_id: str) -> None:
        worker = self.core.workers.get(worker_id)
        if worker is None or not self._has_leader:
            return
        number = worker.find_last_durable_end()
        worker.drop_acknowledged_ends(number)
        self.workers.drop_ends(worker_id, number)
        grant = leases.record_grant_sent(worker, now=self._now, lease_s=LEASE_S)
        leases.record_grant_answered(
            worker, grant, sent_at=self._now, now=self._now, lease_s=LEASE_S
        )
        running = self.workers.list_running(worker_id)
        ends = self.workers.list_ends(worker_id)
        report = WorkerReport(self._now, running, ends)
        self.core.handle_report(worker, report, sent_at=self._now, now=self._now)
        for end in ends:
            self._note_completed(end.task.job_id)

    def _note_completed(self, job_id: str) -> None:
        """Note when callers are shown that a job has completed."""
        outcome, job = self.job_outcomes[job_id], self.core.jobs.get(job_id)
        if job is None or job.state is not JobState.COMPLETED:
            return
        if outcome.ended_at is None:
            shown_at = max(self._now, self._store_back_at or 0.0)
            outcome.shown_late_s = shown_at - self._now
            outcome.ended_at = shown_at - START_AT_S
            self._open.discard(job_id)
