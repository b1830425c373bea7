"""An engine without a network; its workers and its store are plain objects."""

import itertools
import random

from firladder._internal.engine.core import Core
from firladder._internal.engine.planning import Planner
from firladder._internal.engine.progress import decode_progress, encode_progress
from firladder._internal.engine.state import Phase, Worker
from firladder._internal.models.order import EndedTask, RunningTask, WorkerReport
from firladder._internal.models.workload import (
    AcceptedJob,
    Queue,
    QueueConfiguration,
    Resources,
    Step,
    WorkerEntry,
    Workload,
)

LEASE_S = 10.0
QUEUES = tuple(
    Queue(f"q{priority}", "h", f"/q{priority}/", "pool", priority=priority)
    for priority in range(3)
)


def make_step(count=1, accelerators=8, **fields) -> Step:
    need = Resources(1000 * accelerators, 1000 * accelerators, accelerators)
    return Step(count=count, need=need, estimate_s=5.0, **fields)


def make_job(
    name, *steps, priority=1, attempts=3, at=0.0, payload="text", **fields
) -> AcceptedJob:
    workload = Workload(payload, steps, **fields)
    return AcceptedJob(
        name,
        f"q{priority}",
        "organisation",
        "pool",
        priority,
        attempts,
        3.0,
        1.0,
        at,
        workload,
    )


def make_entry(number, *, per_rack=8, accelerators=8, **fields) -> WorkerEntry:
    return WorkerEntry(
        f"w{number}",
        f"10.0.0.{number}:80",
        "pool",
        "d",
        Resources(32000, 65536, accelerators),
        frozenset(("a",)),
        f"r1-{number // per_rack}",
        **fields,
    )


class EngineWorld:
    """Drives one engine step by step; ``now`` is its clock."""

    def __init__(self, workers: int, *, per_rack: int = 8) -> None:
        self.now = 100.0
        self.core = self.make_core()
        self.planner = Planner(self.core, reclaim_s=2.7, restart_s=0.3)
        self.entries = [make_entry(n, per_rack=per_rack) for n in range(workers)]
        self.stored: dict[str, bytes] = {}
        self.accepted: dict[str, AcceptedJob] = {}
        self.ends: dict[str, itertools.count] = {}
        for entry in self.entries:
            self.claim(self.core.register_worker(entry, now=self.now))

    def make_core(self) -> Core:
        core = Core(lease_s=LEASE_S)
        core.configuration = QueueConfiguration(1, QUEUES)
        return core

    def claim(self, worker: Worker) -> None:
        self.report(worker)

    def report(self, worker: Worker, running=(), ended=(), *, sent_at=None) -> None:
        report = WorkerReport(self.now, tuple(running), tuple(ended))
        sent_at = self.now if sent_at is None else sent_at
        self.core.handle_report(worker, report, sent_at=sent_at, now=self.now)

    def submit(self, job: AcceptedJob) -> None:
        self.accepted[job.job_id] = job
        self.core.add_job(job, None)

    def plan(self) -> int:
        return self.planner.run_pass(now=self.now, wall=self.now)

    def make_durable(self) -> None:
        for job_id, job in list(self.core.dirty.items()):
            self.stored[job_id] = encode_progress(job, self.core.workers, 0.0)
            self.core.mark_durable(job_id, job.version)

    def start_all(self) -> list:
        self.plan()
        self.make_durable()
        return self.core.take_starts()

    def accept(self, placements) -> None:
        for placement in placements:
            self.core.handle_start_answer(placement, self.now, self.now)

    def find_unit(self, job_id: str):
        return self.core.jobs[job_id].units[0]

    def find_placement(self, job_id: str):
        return next(iter(self.find_unit(job_id).placements.values()))

    def end(self, placement, how: str) -> None:
        worker = self.core.workers[placement.worker_id]
        numbers = self.ends.setdefault(worker.worker_id, itertools.count(1))
        end = EndedTask(next(numbers), placement.task, placement.run, how, "")
        others = [
            RunningTask(p.task, p.run, "", 10)
            for p in worker.placements.values()
            if p is not placement and p.phase is Phase.ACTIVE
        ]
        self.now += 0.01
        self.report(worker, others, [end])

    def succeed(self) -> None:
        """Replace the engine by a new leader's, which knows only what is stored."""
        self.core = self.make_core()
        self.planner = Planner(self.core, reclaim_s=2.7, restart_s=0.3)
        for entry in self.entries:
            self.core.register_worker(entry, now=self.now)
        recorded = {i: decode_progress(value) for i, value in self.stored.items()}
        for job_id, accepted in self.accepted.items():
            self.core.add_job(accepted, recorded.get(job_id))
        self.core.restore_expiries(recorded, now=self.now, wall=self.now)
        self.core.end_former_lives(recorded, now=self.now)


class SimulatedWorker:
    """A worker that checks leases, tokens and run numbers, but not its capacity."""

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.token = 0
        self.running: dict = {}
        self.ended: list[EndedTask] = []
        self.highest: dict = {}
        self.lease_until = 0.0
        self.count = itertools.count(1)
        self.unproven: set[int] = set()
        self.acknowledged: list[EndedTask] = []

    def start(self, order, token, until, now):
        self.expire(now)
        if token < self.token:
            return "fenced"
        self.token = token
        key = (order.task, order.run)
        if key in self.running:
            return "ok"
        if order.run <= self.highest.get(order.task, 0):
            return "superseded"
        self.lease_until = max(self.lease_until, min(until, now + LEASE_S))
        self.running[key] = order
        return "started"

    def stop(self, order, token, now):
        self.expire(now)
        if token < self.token:
            return "fenced"
        self.token = token
        self.highest[order.task] = max(order.run, self.highest.get(order.task, 0))
        for key in [k for k in self.running if k[0] == order.task]:
            self.end(key, "stopped")
        return "ok"

    def end(self, key, how):
        del self.running[key]
        task, run = key
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append(EndedTask(next(self.count), task, run, how, ""))

    def expire(self, now):
        """End all tasks if the lease has expired; earlier ends prove nothing then."""
        if now > self.lease_until:
            self.unproven |= {e.number for e in self.ended}
            for key in list(self.running):
                self.end(key, "lapsed")

    def poll(self, token, acknowledged_up_to, until, now):
        self.expire(now)
        if token < self.token:
            return None
        self.token = token
        if until is not None:
            self.lease_until = max(self.lease_until, min(until, now + LEASE_S))
        self.acknowledged += [
            e
            for e in self.ended
            if e.number <= acknowledged_up_to and e.number not in self.unproven
        ]
        self.ended = [e for e in self.ended if e.number > acknowledged_up_to]
        running_tasks = tuple(RunningTask(t, r, "", 50) for t, r in self.running)
        return WorkerReport(now, running_tasks, tuple(self.ended))

    def used(self) -> Resources:
        total = Resources()
        for order in self.running.values():
            total = total + order.need
        return total


def draw_job(rng: random.Random, number: int, now: float) -> AcceptedJob:
    gang = rng.random() < 0.5
    step = make_step(
        rng.randint(1, 4),
        rng.choice([1, 2, 4, 8]),
        gang=gang,
        one_rack=gang and rng.random() < 0.5,
        most_per_worker=0 if gang else rng.choice([0, 0, 1]),
    )
    return make_job(f"{number:016x}", step, priority=rng.randint(0, 2), at=now)
