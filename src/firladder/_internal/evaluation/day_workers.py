"""The workers of a simulated day, which go on whether or not there is a leader."""

import functools
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping

from ..engine.preemption import ACCELERATOR_CORES
from ..engine.state import Job, Placement, Unit, find_unit
from ..models.order import EndedTask, Ending, RunningTask, TaskId
from ..models.workload import WorkerEntry
from .day_events import EventQueue
from .day_jobs import Day, Spell
from .day_outcomes import JobOutcome, RestartCause
from .day_runs import SimulatedRun, UnitKey, name_unit

TaskKey = tuple[TaskId, int]
"""A task and the number of its run."""


class SimulatedWorkers:
    """Runs tasks on workers whose speeds are those of the day."""

    def __init__(
        self,
        day: Day,
        events: EventQueue,
        *,
        start_at: float,
        job_outcomes: dict[str, JobOutcome],
        on_end: Callable[[str], None],
        on_change: Callable[[], None],
    ) -> None:
        """Start idle; ``start_at`` is when the day begins.

        ``on_end`` is called with a worker when a task has ended there, ``on_change``
        after all tasks of a run have.
        """
        self.entries: dict[str, WorkerEntry] = {w.worker_id: w for w in day.workers}
        self.lost_core_s = 0.0
        self._events = events
        self._start_at = start_at
        self._outcomes = job_outcomes
        self._on_end = on_end
        self._on_change = on_change
        self._racks = {w.worker_id: w.rack for w in day.workers}
        self._slowdowns = dict(day.slowdowns)
        self._failing: set[str] = set()
        self._rng = random.Random(len(day.jobs))
        self._tasks: defaultdict[str, dict[TaskKey, SimulatedRun]] = defaultdict(dict)
        self._runs: dict[tuple[UnitKey, int], SimulatedRun] = {}
        self._saved_s: dict[UnitKey, float] = {}
        self._last_starts: dict[UnitKey, tuple[float, RestartCause]] = {}
        self._end_numbers: defaultdict[str, itertools.count[int]] = defaultdict(
            lambda: itertools.count(1)
        )
        self._ends: defaultdict[str, list[EndedTask]] = defaultdict(list)
        for spell in day.spells:
            begin = functools.partial(self._begin_spell, spell)
            events.schedule(start_at + spell.from_s, begin)
            end = functools.partial(self._end_spell, spell)
            events.schedule(start_at + spell.until_s, end)

    @property
    def is_idle(self) -> bool:
        """Return whether no task is on any worker."""
        return not any(self._tasks.values())

    def is_unused(self, worker_id: str) -> bool:
        """Return whether a worker has nothing to report."""
        return not self._tasks[worker_id] and not self._ends[worker_id]

    def runs_task(self, worker_id: str, key: TaskKey) -> bool:
        """Return whether a task is on a worker."""
        return key in self._tasks[worker_id]

    def list_running(self, worker_id: str) -> tuple[RunningTask, ...]:
        """Return what a worker lists as running."""
        now = self._events.now
        return tuple(
            RunningTask(task, number, "", run.compute_percent(task.index, now))
            for (task, number), run in self._tasks[worker_id].items()
        )

    def list_ends(self, worker_id: str) -> tuple[EndedTask, ...]:
        """Return the ends on a worker that were not acknowledged."""
        return tuple(self._ends[worker_id])

    def drop_ends(self, worker_id: str, number: int) -> None:
        """Drop the ends on a worker up to the acknowledged ``number``."""
        ends = self._ends[worker_id]
        if ends and ends[0].number <= number:
            self._ends[worker_id] = [end for end in ends if end.number > number]

    def start_task(self, placement: Placement) -> None:
        """Start a task; its run begins when the last member has started."""
        unit = placement.unit
        assert unit is not None
        run_key = (name_unit(unit), placement.run)
        run = self._runs.get(run_key)
        if run is None:
            outcome = self._outcomes[placement.task.job_id]
            run = self._runs[run_key] = SimulatedRun(unit, placement.run, outcome)
        run.waiting[placement.task.index] = placement.worker_id
        self._tasks[placement.worker_id][placement.key] = run

    def start_run(self, unit: Unit) -> None:
        """Start the work of a unit whose members have all started."""
        key, now = name_unit(unit), self._events.now
        run = self._runs[key, unit.run]
        at, outcome = now - self._start_at, run.outcome
        last = self._last_starts.get(key)
        if last is None:
            outcome.first_started_at = at
        else:
            outcome.restart_s[last[1]] += at - last[0]
        self._last_starts[key] = (at, "preempted or lost")
        outcome.last_started_at = at
        run.start(
            now,
            progress_s=self._saved_s.get(key, 0.0),
            slowdowns=self._slowdowns,
            racks=self._racks,
        )
        run.at_fault = tuple(w for w in run.waiting.values() if w in self._failing)
        failed_share = outcome.job.kind.failed_share
        run.fails = bool(run.at_fault) or (
            failed_share > 0 and self._rng.random() < failed_share
        )
        share = self._rng.random() if run.fails else 1.0
        run.ends_at = now + run.duration_s * share
        self._schedule_end(run)

    def _schedule_end(self, run: SimulatedRun) -> None:
        end = functools.partial(self._end_run, run, run.revision)
        self._events.schedule(run.ends_at, end)

    def _end_run(self, run: SimulatedRun, revision: int) -> None:
        if run.revision != revision or not run.goes_on:
            return
        members = list(run.unit.placements.values())
        if run.fails:
            key = name_unit(run.unit)
            self._last_starts[key] = (self._last_starts[key][0], "failed run")
            blamed = [p for p in members if p.worker_id in run.at_fault] or members
            failing = self._rng.choice(blamed)
            for _ in members:
                self._record_lost_work(run)
            for placement in members:
                how: Ending = "failed" if placement is failing else "broken"
                self.end_task(placement.worker_id, placement.key, how)
        else:
            run.outcome.slow_s = run.slow_s
            run.outcome.done_at = self._events.now - self._start_at
            for placement in members:
                self.end_task(placement.worker_id, placement.key, "done")
        self._on_change()

    def stop_task(self, worker_id: str, key: TaskKey) -> None:
        """Stop a task that is on a worker."""
        run = self._tasks[worker_id][key]
        if not run.unit.job.cancelled:
            self._record_lost_work(run)
        self.end_task(worker_id, key, "stopped")

    def end_task(self, worker_id: str, key: TaskKey, how: Ending) -> None:
        """End a task, and report that."""
        self._tasks[worker_id].pop(key, None)
        number = next(self._end_numbers[worker_id])
        self._ends[worker_id].append(EndedTask(number, key[0], key[1], how, ""))
        self._on_end(worker_id)

    def lose(self, worker_id: str) -> None:
        """Lose a worker, and the work of its tasks."""
        del self.entries[worker_id]
        for run in self._tasks.pop(worker_id, {}).values():
            self._record_lost_work(run)
            run.broken = True
        self._ends.pop(worker_id, None)

    def _record_lost_work(self, run: SimulatedRun) -> None:
        """Count the work of one member as lost, unless the run saves its progress."""
        if run.started_at is None:
            return
        step, now = run.unit.step, self._events.now
        if step.checkpoints:
            self._saved_s[name_unit(run.unit)] = run.measure_progress(now)
            return
        need = step.need
        cores = need.cpu_milli / 1000 + need.accelerators * ACCELERATOR_CORES
        self.lost_core_s += cores * (now - run.started_at)

    def _begin_spell(self, spell: Spell) -> None:
        if spell.failing:
            self._failing.add(spell.worker_id)
        self._change_speed(spell.worker_id, spell.slowdown)

    def _end_spell(self, spell: Spell) -> None:
        if spell.failing:
            self._failing.discard(spell.worker_id)
        self._change_speed(spell.worker_id, 1 / spell.slowdown)

    def _change_speed(self, worker_id: str, factor: float) -> None:
        self._slowdowns[worker_id] = self._slowdowns.get(worker_id, 1.0) * factor
        if factor == 1:
            return
        for run in self._list_started(worker_id):
            run.change_speed(worker_id, factor, self._events.now)
            self._schedule_end(run)

    def _list_started(self, worker_id: str) -> Iterator[SimulatedRun]:
        runs = {id(run): run for run in self._tasks[worker_id].values()}
        return (run for run in runs.values() if run.started_at is not None)

    def follow_leader(self, jobs: Mapping[str, Job]) -> None:
        """Relate all runs to the units among a new leader's ``jobs``.

        What the former leader had ordered to stop goes on, as its orders are gone.
        """
        for worker_id in list(self._tasks):
            for (task, _), run in self._tasks[worker_id].items():
                run.unit = find_unit(jobs[task.job_id], task) or run.unit
            for run in self._list_started(worker_id):
                run.revision += 1
                run.ends_at = max(run.ends_at, self._events.now)
                self._schedule_end(run)
