"""Workers that are silent or gone, and what their loss says of the tasks there."""

import dataclasses
import itertools
import math

from ..exceptions import ConnectionClosed, ConnectionRefused, OrderFailure
from ..models.workload import WorkerEntry
from .crashes import (
    clear_crash,
    is_late,
    is_prompt,
    is_unproven,
    may_be_charged,
    uses_up_crashes,
    weigh_crashes,
)
from .due_orders import DueOrders
from .state import Crash, JobState, Placement, Unit, UnitState, Worker, find_unit

MAX_NOTED_TASKS = 8
"""Tasks of a lost worker that are named in the log."""

MAX_SILENCE_S = 3.0
"""Seconds for which a worker may be silent before its loss is no crash any more. Where
something runs a poll is open, so that a crash shows at once, or with the next polls if
some are lost; after a longer silence the worker may have been behind a partition."""

LAPSED_MEMORY_S = 12.0
"""Seconds for which the lapsed runs of a worker that refuses connections are kept. They
are charged with its crash if its next incarnation shows by then."""


class Losses(DueOrders):
    """Ends the runs of lost workers, and charges crashes to the tasks there."""

    def lose_worker(
        self,
        worker_id: str,
        reason: str,
        *,
        now: float,
        next_life: Worker | None = None,
    ) -> None:
        """Remove a worker on which nothing runs any more.

        Nothing ever will, unless it has a ``next_life`` under the same id.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is None:
            return
        if next_life is not None:
            self.workers[worker_id] = next_life
        self.unregistered.discard(worker)
        self.speeds.forget_worker(worker_id)
        self._note_loss(worker, reason, now)
        self.restarts.forget_holder(worker.entry)
        self._exempt_if_silent(worker, now)
        crashed_at = now if worker.closed_at is None else worker.closed_at
        if not worker.loss_is_explained or self._left_early(worker, crashed_at):
            self._charge_crash(worker, crashed_at, now)
        for placement in list(worker.placements.values()):
            if next_life is not None and placement.may_start_in_next_life:
                self._carry_over(placement, next_life)
            else:
                self._resolve(worker, placement, None)

    def record_restart(self, worker: Worker, born: int, now: float) -> None:
        """Record that an answer shows a later incarnation under a worker's id.

        The answer decides, whatever its entry had said before.
        """
        if born == worker.entry.born:
            return
        entry = dataclasses.replace(
            worker.entry, born=born, draining=False, leaves_in_s=None
        )
        self._begin_next_life(worker, entry, now)

    def _begin_next_life(
        self, worker: Worker, entry: WorkerEntry, now: float
    ) -> Worker:
        """Replace a worker by its next incarnation under the same id; return that.

        The next one knows no runs and no fencing token, and counts its ends anew. Calls
        that were meant for the former one may still reach it, with their leases. As
        long as one of them may acknowledge ends there unread, nothing starts there.
        """
        next_life = Worker(
            entry,
            former_lives=(worker.former_lives | {worker.entry.born}) - {entry.born},
            registered=worker.registered,
            granted_until=worker.granted_until,
            grants_sent=worker.grants_sent,
            open_grants=dict(worker.open_grants),
            open_acknowledgements=dict(worker.open_acknowledgements),
            full_until=worker.acknowledgements_arrive_until,
        )
        worker_id, reason = worker.worker_id, "started again under its id"
        self.lose_worker(worker_id, reason, now=now, next_life=next_life)
        if not next_life.registered:
            self.unregistered.add(next_life)
        self.advice.forget_worker(worker_id)
        self.profiles.bind(entry)
        return next_life

    def _carry_over(self, placement: Placement, next_life: Worker) -> None:
        """Stop a run that the next incarnation of its worker may yet start."""
        next_life.placements[placement.key] = placement
        placement.reported = False
        placement.stop_sent_at = -math.inf
        self._abort_run_of(placement)

    def _note_loss(self, worker: Worker, reason: str, now: float) -> None:
        """Log how a worker went, and what ran there since when."""
        silent_s = 0.0 if worker.reachable else now - worker.unreachable_at
        closed_at = None if worker.reachable else worker.closed_at
        self.note(
            "worker lost",
            worker=worker.worker_id,
            reason=reason,
            draining=worker.entry.draining,
            unreachable_s=round(silent_s, 3),
            closed_s=None if closed_at is None else round(now - closed_at, 3),
            runs=len(worker.placements),
            tasks=[
                f"{p.task.job_id}.{p.task.occurrence}.{p.task.step}.{p.task.index}"
                f" run {p.run} {p.phase.value}"
                f" {round(now - p.active_at, 3) if p.active_at else None}"
                for p in itertools.islice(worker.placements.values(), MAX_NOTED_TASKS)
            ],
        )

    def mark_unreachable(
        self, worker: Worker, now: float, *, closed: bool = False
    ) -> None:
        """Mark a worker unreachable after a call got no answer.

        ``closed``: the worker closed or refused the connection.
        """
        if worker.reachable:
            worker.reachable = False
            worker.unreachable_at = now
            worker.closed_at = None
            self._mark_jobs_changed(worker)
        self._exempt_if_silent(worker, now)
        if closed and worker.closed_at is None:
            worker.closed_at = now

    def _exempt_if_silent(self, worker: Worker, now: float) -> None:
        """Note in the records that a worker has been silent for long."""
        if worker.reachable or worker.closed_at is not None or worker.exempt:
            return
        if now - worker.unreachable_at > MAX_SILENCE_S:
            worker.exempt = True
            self._mark_jobs_changed(worker)

    def record_no_answer(
        self, worker: Worker, failure: OrderFailure, now: float
    ) -> None:
        """Mark a worker unreachable after a call failed."""
        closed = isinstance(failure, ConnectionClosed | ConnectionRefused)
        self.mark_unreachable(worker, now, closed=closed)

    def expire_runs(self, now: float) -> None:
        """End the runs of unreachable workers whose leases have expired."""
        for worker in list(self.workers.values()):
            if now >= worker.lapsed_until:
                worker.lapsed.clear()
            self._exempt_if_silent(worker, now)
            self._remove_if_unused(worker)
            if worker.reachable or not worker.placements or now < worker.runs_expire_at:
                continue
            self.note(
                "runs lapsed",
                worker=worker.worker_id,
                runs=len(worker.placements),
                unreachable_s=round(now - worker.unreachable_at, 2),
            )
            if not worker.loss_is_explained:
                worker.lapsed = [
                    p for p in worker.placements.values() if p.may_have_run
                ]
                worker.lapsed_until = now + LAPSED_MEMORY_S
            for placement in list(worker.placements.values()):
                self._resolve(worker, placement, None)
            self._remove_if_unused(worker)

    def _left_early(self, worker: Worker, at: float) -> bool:
        """Return whether a draining worker crashed before it was to leave."""
        return not worker.exempt and worker.leaves_early(at)

    def _charge_crash(self, worker: Worker, crashed_at: float, now: float) -> None:
        """Charge a worker's crash to the tasks that may have caused it."""
        ran = [p for p in worker.placements.values() if p.may_have_run]
        ran += worker.lapsed
        jobs = {p.task.job_id for p in ran}
        address = worker.entry.address
        unstable = {
            job_id
            for job_id in jobs
            if self.restarts.is_unstable(address, now, without=job_id)
        }
        # A worker on which none may have begun was idle, as far as is known.
        proven = {p.task.job_id for p in ran if not is_unproven(p, worker)}
        self.restarts.record(address, proven, now)
        charged: dict[int, Unit] = {}
        for placement in ran:
            unit = self._find_unit_of(placement)
            if unit is None or unit.job.terminal or unit.state is UnitState.DONE:
                continue
            crash = Crash(
                placement.run,
                placement.task.index,
                worker.worker_id,
                sole=len(jobs) == 1,
                prompt=is_prompt(placement, unit, crashed_at),
                late=is_late(placement, unit),
                unstable=placement.task.job_id in unstable,
                unproven=is_unproven(placement, worker),
            )
            if may_be_charged(unit, crash):
                self._record_crash(unit, crash)
                charged[id(unit)] = unit
        # The likeliest cause first: the others may be cleared when it is given up.
        for unit in sorted(charged.values(), key=weigh_crashes, reverse=True):
            self._give_up_if_due(unit)

    def _find_unit_of(self, placement: Placement) -> Unit | None:
        job = self.jobs.get(placement.task.job_id)
        if placement.unit is not None or job is None:
            return placement.unit
        return find_unit(job, placement.task)

    def _record_crash(self, unit: Unit, crash: Crash) -> None:
        unit.crashes.add(crash)
        self.charged = True
        self._mark_changed(unit.job)
        self.note(
            "crash charged",
            job=unit.job.accepted.job_id,
            step=unit.step_index,
            index=crash.index,
            run=crash.run,
            worker=crash.worker_id,
            sole=crash.sole,
            prompt=crash.prompt,
            late=crash.late,
            unstable=crash.unstable,
            unproven=crash.unproven,
            crashes=sum(c.index == crash.index for c in unit.crashes),
        )

    def _give_up_if_due(self, unit: Unit) -> None:
        if unit.job.terminal or not uses_up_crashes(unit):
            return
        if unit.state is UnitState.BUSY and not any(
            c.run == unit.run for c in unit.crashes
        ):
            # A newer run is at work, and the crash was only known now.
            return
        # The rest of a gang may take a while to stop, but the outcome is certain.
        unit.state = UnitState.FAILED
        self._end_job(unit.job, JobState.FAILED)
        self._clear_others(unit)

    def _clear_others(self, cause: Unit) -> None:
        """Withdraw the charges for crashes that a given-up unit has caused."""
        self.restarts.forget_job(cause.job.accepted.job_id)
        workers = {c.worker_id for c in cause.crashes if not c.explained}
        for job in self.jobs.values():
            for unit in job.units:
                cleared = {c for c in unit.crashes if c.worker_id in workers}
                if cleared and job is not cause.job:
                    unit.crashes -= cleared
                    unit.crashes |= {clear_crash(c) for c in cleared}
                    self._mark_changed(job)
