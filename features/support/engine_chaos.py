"""Random events against an engine and simulated workers, with promises checked."""

import dataclasses
import random

from features.support.engine_world import (
    HOLD_S,
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

MOST_LATE_S = 12.0


@dataclasses.dataclass
class Late:
    """An order without an answer that is carried out later."""

    due: float
    placement: object
    order: object
    token: int
    until: float
    stop: bool


class Chaos:
    """Plays random events; ``problems`` lists the promises that were broken."""

    def __init__(self, rng: random.Random, *, hopeless: bool = False) -> None:
        """Prepare; with ``hopeless`` every other job fails whenever it runs."""
        self.rng = rng
        self.hopeless = hopeless
        self.world = EngineWorld(0)
        self.world.entries = []
        self.sims: dict[str, SimulatedWorker] = {}
        self.cut: set[str] = set()
        self.late: list[Late] = []
        self.done: set = set()
        self.again: set = set()
        self.noted: set = set()
        self.runs: dict = {}
        self.gang_runs: dict = {}
        self.failed: dict = {}
        self.token = 1
        self.problems: list[str] = []
        self.numbers = 0
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
            (self.look, 14),
            (self.finish, 5),
            (self.cut_worker, 0.4),
            (self.join_worker, 0.5),
            (self.cancel, 0.5),
            (self.change_leader, 0.3),
            (self.reincarnate, 0.15),
        ]
        actions, weights = zip(*moves, strict=True)
        for _ in range(events):
            self.rng.choices(actions, weights)[0]()
            self.apply_late()
            self.check_room()

    def submit(self) -> None:
        if len([j for j in self.world.core.jobs.values() if not j.terminal]) > 12:
            return
        self.numbers += 1
        self.world.submit(draw_job(self.rng, self.numbers, self.world.now))

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
        until = world.now + HOLD_S
        grant = leases.record_grant_sent(worker, now=world.now, lease_s=HOLD_S)
        answer: object = self.deliver(placement, order, until, stop=False)
        while isinstance(answer, SentUnanswered) and self.rng.random() < 0.7:
            placement.may_start_late = True
            answer = self.deliver(placement, order, until, stop=False)
        if isinstance(answer, float | OrderRejected):
            leases.record_grant_answered(
                worker, grant, sent_at=world.now, now=world.now, lease_s=HOLD_S
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
        if name in self.cut:
            if self.rng.random() < 0.5:
                return NotSent(reason="cut")
            return SentUnanswered(reason="cut")
        if self.rng.random() < 0.08:
            due = self.world.now + self.rng.uniform(0, MOST_LATE_S)
            self.late.append(Late(due, placement, order, self.token, until, stop))
            return SentUnanswered(reason="late")
        answer = self.carry_out(sim, placement, order, self.token, until, stop)
        if self.rng.random() < 0.05:
            return SentUnanswered(reason="answer lost")
        if answer in ("ok", "started"):
            return self.world.now
        return OrderRejected(reason=answer, rejection=answer)

    def carry_out(self, sim, placement, order, token, until, stop) -> str:
        now = self.world.now
        if stop:
            return sim.stop(order, token, now)
        answer = sim.start(order, token, until, now)
        if answer == "started":
            sim.running[order.task, order.run] = placement
            self.check_start(placement, token)
        return answer

    def check_start(self, placement, token) -> None:
        task = placement.task
        self.again |= {end for end in self.done if end[0] == task}
        for end in self.noted & self.again:
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
        """Compare a start with the failures that workers were told to forget."""
        failed = self.failed.get(placement.task, set())
        job = self.world.accepted[placement.task.job_id]
        if len(failed) >= job.max_attempts:
            self.problems.append(f"attempts used up: {placement.task} {failed}")

    def check_gang(self, placement) -> None:
        """Compare a member's run with what other members of its gang were told.

        Members of two runs never find each other: each waits for mates that do not
        come, and the gang's room is lost until the wait ends.
        """
        unit, task = placement.unit, placement.task
        if unit is None or not unit.step.gang:
            return
        gang = (task.job_id, task.step, task.occurrence)
        newest = max(self.gang_runs.get(gang, 0), placement.run)
        if placement.run < newest:
            self.problems.append(f"a gang's member of run {placement.run}: {task}")
        self.gang_runs[gang] = newest

    def apply_late(self) -> None:
        due = [late for late in self.late if late.due <= self.world.now]
        for late in due:
            self.late.remove(late)
            sim = self.sims.get(late.placement.worker_id)
            if sim is not None:
                self.carry_out(
                    sim, late.placement, late.order, late.token, late.until, late.stop
                )

    def look(self) -> None:
        world = self.world
        for worker in list(world.core.workers.values()):
            if self.rng.random() < 0.4:
                self.look_at(worker)

    def look_at(self, worker) -> None:
        world = self.world
        sim = self.sims.get(worker.worker_id)
        if sim is None:
            world.core.lose_worker(worker.worker_id, "replaced")
            return
        if worker.worker_id in self.cut:
            world.core.mark_unreachable(worker, world.now)
            return
        until = None
        if worker.may_send_lease and leases.needs_renewal(
            worker, now=world.now, lease_s=HOLD_S
        ):
            until = world.now + HOLD_S
            grant = leases.record_grant_sent(worker, now=world.now, lease_s=HOLD_S)
            leases.record_grant_answered(
                worker, grant, sent_at=world.now, now=world.now, lease_s=HOLD_S
            )
        seen = worker.find_last_durable_end()
        report = sim.look(self.token, seen, until, world.now)
        sent_at = world.now
        world.now += 0.001
        if report is None:
            self.problems.append("the leader was fenced off")
            return
        self.check_noted(sim)
        worker.drop_acknowledged_ends(seen)
        world.core.handle_report(worker, report, sent_at=sent_at, now=world.now)

    def check_noted(self, sim) -> None:
        """Compare the ends that were acknowledged with what was started again.

        An end counts unless the worker's lease ended before it was acknowledged:
        the leader may by then have started the task elsewhere, and rightly so.
        """
        self.noted |= {(e.task, e.run) for e in sim.noted if e.ending == "done"}
        for end in sim.noted:
            if end.ending == "failed":
                self.failed.setdefault(end.task, set()).add(end.run)
        sim.noted.clear()
        for task, run in self.noted & self.again:
            self.problems.append(f"started after done: {task} {run}")

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
        if self.hopeless and int(task.job_id, 16) % 2:
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

    def cut_worker(self) -> None:
        if len(self.cut) < 2:
            self.cut.add(self.rng.choice(list(self.sims)))

    def join_worker(self) -> None:
        if self.cut:
            self.cut.discard(self.rng.choice(sorted(self.cut)))

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
        self.cut.discard(old.worker_id)
        self.sims[entry.worker_id] = SimulatedWorker(entry)
        world.core.register_worker(entry, now=world.now)

    def check_room(self) -> None:
        for sim in self.sims.values():
            sim.expire(self.world.now)
            if not sim.entry.capacity.covers(sim.used()):
                self.problems.append(f"{sim.entry.worker_id} is over its capacity")
