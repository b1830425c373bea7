"""Random events against an engine and simulated workers, with invariants checked."""

import dataclasses
import itertools
import random

from features.support.engine_world import (
    LEASE_S,
    EngineWorld,
    SimulatedWorker,
    draw_job,
)
from firladder._internal.engine import leases
from firladder._internal.exceptions import (
    NotSent,
    OrderRejected,
    SentUnanswered,
    WorkerReplaced,
)

MAX_DELAY_S = 12.0


@dataclasses.dataclass
class DelayedOrder:
    """An unanswered order that the worker carries out later."""

    due: float
    placement: object
    order: object
    token: int
    until: float
    stop: bool
    sent_at: float


class Chaos:
    """Plays random events; ``problems`` lists the violated invariants."""

    def __init__(
        self,
        rng: random.Random,
        *,
        always_failing: bool = False,
        resizing: bool = False,
    ) -> None:
        """Prepare; with ``always_failing``, every other job fails in each run.

        With ``resizing``, workers shrink and grow.
        """
        self.rng = rng
        self.resizing = resizing
        self.always_failing = always_failing
        self.world = EngineWorld(0)
        self.world.entries = []
        self.sims: dict[str, SimulatedWorker] = {}
        self.partitioned: set[str] = set()
        self.delayed: list[DelayedOrder] = []
        self.done: set = set()
        self.restarted: set = set()
        self.acknowledged: set = set()
        self.runs: dict = {}
        self.gang_runs: dict = {}
        self.failed: dict = {}
        self.resized_at: dict[str, float] = {}
        self.token = 1
        self.problems: list[str] = []
        self.submitted = 0
        self.finished = 0
        fresh = EngineWorld(6, per_rack=3)
        self.world = fresh
        for entry in fresh.entries:
            self.sims[entry.worker_id] = SimulatedWorker(entry)

    def play(self, events: int) -> None:
        moves = [
            (self.submit, 3),
            (self.advance, 8),
            (self.plan, 8),
            (self.poll, 14),
            (self.finish, 5),
            (self.partition_worker, 0.4),
            (self.reconnect_worker, 0.5),
            (self.cancel, 0.5),
            (self.change_leader, 0.3),
            (self.reincarnate, 0.15),
        ]
        if self.resizing:
            moves.append((self.resize, 2))
        actions, weights = zip(*moves, strict=True)
        for _ in range(events):
            self.rng.choices(actions, weights)[0]()
            self.apply_delayed()
            self.check_capacity()

    def submit(self) -> None:
        if len([j for j in self.world.core.jobs.values() if not j.terminal]) > 12:
            return
        self.submitted += 1
        self.world.submit(draw_job(self.rng, self.submitted, self.world.now))

    def advance(self) -> None:
        self.world.now += self.rng.choice([0.02, 0.1, 0.5, 1.0])
        self.world.core.expire_runs(self.world.now)

    def plan(self) -> None:
        world = self.world
        world.plan()
        if self.rng.random() < 0.85:
            world.make_durable()
        for placement in world.core.take_starts():
            self.send_start(placement)
        for placement in world.core.take_stops(world.now):
            self.send_stop(placement)

    def send_start(self, placement) -> None:
        world = self.world
        worker = world.core.workers.get(placement.worker_id)
        if worker is None:
            return
        if not worker.may_send_lease:
            world.core.handle_start_answer(
                placement, NotSent(reason="out of reach"), world.now
            )
            return
        order = world.core.describe_start(placement)
        until = world.now + LEASE_S
        grant = leases.record_grant_sent(worker, now=world.now, lease_s=LEASE_S)
        answer: object = self.deliver(placement, order, until, stop=False)
        while isinstance(answer, SentUnanswered) and self.rng.random() < 0.7:
            placement.may_start_late = True
            answer = self.deliver(placement, order, until, stop=False)
        if isinstance(answer, float | OrderRejected):
            leases.record_grant_answered(
                worker, grant, sent_at=world.now, now=world.now, lease_s=LEASE_S
            )
        elif isinstance(answer, NotSent) and not placement.may_start_late:
            leases.record_grant_dropped(worker, grant)
        world.core.handle_start_answer(placement, answer, world.now)

    def send_stop(self, placement) -> None:
        order = self.world.core.describe_stop(placement)
        if order is not None:
            answer = self.deliver(placement, order, 0.0, stop=True)
            self.world.core.handle_stop_answer(placement, answer, self.world.now)

    def deliver(self, placement, order, until, *, stop):
        name = placement.worker_id
        sim = self.sims.get(name)
        if sim is None:
            return WorkerReplaced(reason="replaced")
        if name in self.partitioned:
            if self.rng.random() < 0.5:
                return NotSent(reason="cut")
            return SentUnanswered(reason="cut")
        if self.rng.random() < 0.08:
            due = self.world.now + self.rng.uniform(0, MAX_DELAY_S)
            self.delayed.append(
                DelayedOrder(
                    due, placement, order, self.token, until, stop, self.world.now
                )
            )
            return SentUnanswered(reason="late")
        answer = self.carry_out(
            sim, placement, order, self.token, until, stop, self.world.now
        )
        if self.rng.random() < 0.05:
            return SentUnanswered(reason="answer lost")
        if answer in ("ok", "started"):
            return self.world.now
        return OrderRejected(reason=answer, rejection=answer)

    def carry_out(self, sim, placement, order, token, until, stop, sent_at) -> str:
        now = self.world.now
        if stop:
            return sim.stop(order, token, now)
        answer = sim.start(order, token, until, now)
        if answer == "started":
            sim.running[order.task, order.run] = placement
            self.check_start(placement, token)
            self.check_room(sim, sent_at)
        return answer

    def check_room(self, sim, sent_at) -> None:
        """Compare the tasks on a worker with the capacity when a start was sent."""
        if self.resized_at.get(sim.entry.worker_id, 0.0) > sent_at:
            return
        if not sim.entry.capacity.covers(sim.used()):
            self.problems.append(f"{sim.entry.worker_id} is over its capacity")

    def check_start(self, placement, token) -> None:
        task = placement.task
        self.restarted |= {end for end in self.done if end[0] == task}
        for end in self.acknowledged & self.restarted:
            self.problems.append(f"started after done: {end}")
        holders = [
            name
            for name, sim in self.sims.items()
            for (other, _) in sim.running
            if other == task
        ]
        if len(holders) > 1:
            self.problems.append(f"runs twice: {task} on {holders}")
        if placement.run <= self.runs.get(task, 0):
            self.problems.append(f"run number used again: {task} {placement.run}")
        self.runs[task] = placement.run
        self.check_gang(placement)
        self.check_attempts(placement)

    def check_attempts(self, placement) -> None:
        """Compare a start with the failures that were acknowledged to workers."""
        failed = self.failed.get(placement.task, set())
        job = self.world.accepted[placement.task.job_id]
        if len(failed) >= job.max_attempts:
            self.problems.append(f"attempts used up: {placement.task} {failed}")

    def check_gang(self, placement) -> None:
        """Compare a member's run with the runs of the other members of its gang.

        Members of different runs do not find each other: each waits for members that
        never come, and the gang's capacity is wasted until they time out.
        """
        unit, task = placement.unit, placement.task
        if unit is None or not unit.step.gang:
            return
        gang = (task.job_id, task.step, task.occurrence)
        newest = max(self.gang_runs.get(gang, 0), placement.run)
        if placement.run < newest:
            self.problems.append(f"a gang's member of run {placement.run}: {task}")
        self.gang_runs[gang] = newest

    def apply_delayed(self) -> None:
        due = [delayed for delayed in self.delayed if delayed.due <= self.world.now]
        for delayed in due:
            self.delayed.remove(delayed)
            sim = self.sims.get(delayed.placement.worker_id)
            if sim is not None:
                self.carry_out(
                    sim,
                    delayed.placement,
                    delayed.order,
                    delayed.token,
                    delayed.until,
                    delayed.stop,
                    delayed.sent_at,
                )

    def poll(self) -> None:
        world = self.world
        for worker in list(world.core.workers.values()):
            if self.rng.random() < 0.4:
                self.poll_worker(worker)

    def poll_worker(self, worker) -> None:
        world = self.world
        sim = self.sims.get(worker.worker_id)
        if sim is None:
            world.core.lose_worker(worker.worker_id, "replaced", now=world.now)
            return
        if worker.worker_id in self.partitioned:
            world.core.mark_unreachable(worker, world.now)
            return
        until = None
        if worker.may_send_lease and leases.needs_renewal(
            worker, now=world.now, lease_s=LEASE_S
        ):
            until = world.now + LEASE_S
            grant = leases.record_grant_sent(worker, now=world.now, lease_s=LEASE_S)
            leases.record_grant_answered(
                worker, grant, sent_at=world.now, now=world.now, lease_s=LEASE_S
            )
        acknowledged_up_to = worker.choose_acknowledgement()
        report = sim.poll(self.token, acknowledged_up_to, until, world.now)
        sent_at = world.now
        world.now += 0.001
        if report is None:
            self.problems.append("the leader was fenced off")
            return
        self.check_acknowledged(sim)
        worker.drop_acknowledged_ends(acknowledged_up_to)
        world.core.handle_report(worker, report, sent_at=sent_at, now=world.now)

    def check_acknowledged(self, sim) -> None:
        """Compare the acknowledged ends with the tasks that were started again.

        An end does not count if the worker's lease expired before the end was
        acknowledged: the leader may then start the task elsewhere.
        """
        for end in sim.acknowledged:
            if end.ending == "done":
                self.acknowledged |= self.list_ended_with(end.task, end.run)
        for end in sim.acknowledged:
            if end.ending == "failed":
                self.failed.setdefault(end.task, set()).add(end.run)
        sim.acknowledged.clear()
        for task, run in self.acknowledged & self.restarted:
            self.problems.append(f"started after done: {task} {run}")

    def list_ended_with(self, task, run) -> set:
        """Return what the end of a run stands for: with a gang's member, the gang."""
        step = self.world.accepted[task.job_id].workload.steps[task.step]
        if not step.gang:
            return {(task, run)}
        members = {dataclasses.replace(task, index=i) for i in range(step.count)}
        return self.done & set(itertools.product(members, (run,)))

    def finish(self) -> None:
        sims = [s for s in self.sims.values() if s.running]
        if not sims:
            return
        sim = self.rng.choice(sims)
        sim.expire(self.world.now)
        if not sim.running:
            return
        task, run = self.rng.choice(list(sim.running))
        how = self.rng.choices(["done", "failed"], [6, 1])[0]
        if self.always_failing and int(task.job_id, 16) % 2:
            how = "failed"
        for other in self.sims.values():
            for key in list(other.running):
                same = key[0] == task or self.is_gang_mate(other.running[key], task)
                if same and key[1] == run:
                    other.end(key, how if key[0] == task or how == "done" else "broken")
                    if how == "done":
                        self.done.add(key)
                        self.finished += 1

    def is_gang_mate(self, placement, task) -> bool:
        unit = placement.unit
        return (
            unit is not None and unit.step.gang and placement.task.job_id == task.job_id
        )

    def partition_worker(self) -> None:
        if len(self.partitioned) < 2:
            self.partitioned.add(self.rng.choice(list(self.sims)))

    def reconnect_worker(self) -> None:
        if self.partitioned:
            self.partitioned.discard(self.rng.choice(sorted(self.partitioned)))

    def cancel(self) -> None:
        open_jobs = [j for j in self.world.core.jobs.values() if not j.terminal]
        if open_jobs:
            self.world.core.cancel_job(self.rng.choice(open_jobs).accepted.job_id)

    def change_leader(self) -> None:
        world = self.world
        cancelled = [i for i, j in world.core.jobs.items() if j.cancelled]
        self.token += 1
        world.succeed()
        for job_id in cancelled:
            world.core.cancel_job(job_id)

    def reincarnate(self) -> None:
        world = self.world
        old = self.rng.choice(world.entries)
        entry = dataclasses.replace(old, worker_id=old.worker_id + "x")
        world.entries.remove(old)
        world.entries.append(entry)
        del self.sims[old.worker_id]
        self.partitioned.discard(old.worker_id)
        self.sims[entry.worker_id] = SimulatedWorker(entry)
        world.core.register_worker(entry, now=world.now)

    def resize(self) -> None:
        """Change a worker's capacity, which is known to the engine at once."""
        world = self.world
        old = self.rng.choice(world.entries)
        accelerators = self.rng.choice([1, 2, 4, 6, 8, 8])
        capacity = dataclasses.replace(old.capacity, accelerators=accelerators)
        entry = dataclasses.replace(old, capacity=capacity)
        world.entries[world.entries.index(old)] = entry
        self.sims[entry.worker_id].entry = entry
        self.resized_at[entry.worker_id] = world.now
        world.core.register_worker(entry, now=world.now)

    def check_capacity(self) -> None:
        for sim in self.sims.values():
            sim.expire(self.world.now)
            if sim.entry.worker_id in self.resized_at:
                continue
            if not sim.entry.capacity.covers(sim.used()):
                self.problems.append(f"{sim.entry.worker_id} is over its capacity")
