"""Workers of uneven speed under a usual load, without a network."""

import dataclasses
import itertools
import math
import random

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import Phase
from firladder._internal.models.order import EndedTask, RunningTask

STEP_S = 0.1
POLL_WAIT_S = 2.0
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
DECLARED_ERROR = 9.0
KINDS = ((0, 2.1, 4, 0.3), (1, 9.0, 8, 0.15), (2, 5.2, 1, 0.3))
"""Priority, run time in seconds, accelerators and unevenness of the kinds of work."""


@dataclasses.dataclass(eq=False)
class Run:
    placement: object
    work_s: float
    done_s: float = 0.0


class UnevenWorld:
    """Gangs and single tasks on workers that take ``factors`` times as long.

    A worker is polled when a run ends there, or after two seconds, as by its session,
    and sooner if the core wants to measure it.
    """

    def __init__(self, factors, *, seed=1):
        self.rng = random.Random(seed)
        self.engine = EngineWorld(len(factors))
        self.factors = dict(zip(self.engine.core.workers, factors, strict=True))
        self.failing = set()
        self.runs = {}
        self.poll_due_at = dict.fromkeys(self.factors, 0.0)
        self.polls = self.shortened = 0
        self.numbers = {w: itertools.count(1) for w in self.factors}
        self.names = itertools.count()
        self.work = {}

    def run(self, seconds, *, load=0.8, check=lambda: None):
        until = self.engine.now + seconds
        capacity = 8 * len(self.factors)
        while self.engine.now < until:
            busy = sum(r.placement.need.accelerators for r in self.runs.values())
            if busy < load * capacity:
                self.submit(*self.rng.choice(KINDS))
            self.step()
            check()

    def submit(self, priority, run_s, accelerators, unevenness, *, width=None):
        width = width or self.rng.choice((1, 2, 4, 6))
        count = width if priority < 2 else 6 * width
        step = make_step(count, accelerators, gang=priority < 2)
        error = math.log(DECLARED_ERROR)
        declared_s = run_s * math.exp(self.rng.uniform(-error, error))
        step = dataclasses.replace(step, estimate_s=declared_s)
        name = f"job-{next(self.names)}"
        self.work[name] = (run_s * self.rng.uniform(0.7, 1.3), unevenness)
        job = make_job(name, step, priority=priority, at=self.engine.now, attempts=99)
        self.engine.submit(job)
        return name

    def step(self):
        engine = self.engine
        started = engine.start_all()
        engine.accept(started)
        for placement in started:
            worker = engine.core.workers[placement.worker_id]
            if len(worker.placements) == 1:
                wait_s = self.choose_wait(worker)
                self.poll_due_at[worker.worker_id] = engine.now + wait_s
            run_s, unevenness = self.work[placement.task.job_id]
            tail = TAIL_FACTOR if self.rng.random() < TAIL_SHARE else 1.0
            work_s = run_s * self.rng.lognormvariate(0, unevenness) * tail
            self.runs[placement.key] = Run(placement, work_s)
        ended = [
            (r, "stopped")
            for r in self.runs.values()
            if r.placement.phase is Phase.STOPPING
        ]
        engine.now += STEP_S
        for run in self.runs.values():
            run.done_s += STEP_S / self.factors[run.placement.worker_id]
        ended += self._find_ends()
        self._report(dict(ended))

    def _find_ends(self):
        units = {}
        for run in self.runs.values():
            units.setdefault(id(run.placement.unit), []).append(run)
        for members in units.values():
            failed = [m for m in members if m.placement.worker_id in self.failing]
            if failed:
                yield from ((m, "failed" if m in failed else "broken") for m in members)
            elif all(m.done_s >= m.work_s for m in members):
                yield from ((m, "done") for m in members)

    def _report(self, ended):
        engine = self.engine
        by_worker = {}
        for run in self.runs.values():
            by_worker.setdefault(run.placement.worker_id, []).append(run)
        for worker_id, runs in by_worker.items():
            due = engine.now >= self.poll_due_at[worker_id]
            if not due and not any(run in ended for run in runs):
                continue
            self.polls += 1
            rows, ends = [], []
            for run in runs:
                task, number = run.placement.key
                if run in ended:
                    del self.runs[run.placement.key]
                    end = next(self.numbers[worker_id])
                    ends.append(EndedTask(end, task, number, ended[run], ""))
                else:
                    percent = min(100, int(100 * run.done_s / run.work_s))
                    rows.append(RunningTask(task, number, "", percent))
            worker = engine.core.workers[worker_id]
            engine.report(worker, rows, ends)
            wait_s = self.choose_wait(worker)
            self.poll_due_at[worker_id] = engine.now + wait_s

    def choose_wait(self, worker):
        now = self.engine.now
        wait_s = self.engine.core.choose_poll_wait(worker, POLL_WAIT_S, now=now)
        self.shortened += wait_s < POLL_WAIT_S
        return wait_s

    def find(self, worker_id):
        return self.engine.core.profiles.find(worker_id, self.engine.now)

    def count_ranked(self):
        """Return how many slow workers rank above all fast ones, and of how many."""
        slow = [self.find(w).slowness for w, f in self.factors.items() if f > 1]
        fast = [self.find(w).slowness for w, f in self.factors.items() if f < 1]
        return sum(s > max(fast) for s in slow), len(slow)
