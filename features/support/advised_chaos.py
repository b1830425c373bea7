"""Random events against an engine whose queues have advice."""

import dataclasses
import itertools
import random
import zlib

from features.support.engine_chaos import Chaos
from features.support.engine_world import QUEUES
from firladder._internal.engine.advice_requests import AdviceRequests
from firladder._internal.engine.state import Phase
from firladder._internal.exceptions import OrderRejected
from firladder._internal.models.workload import AdviceTerms, QueueConfiguration

TERMS = AdviceTerms(decision_s=0.02, per_worker_s=0.001, valid_s=3.0)


class AdvisedChaos(Chaos):
    """Plays random events with an advice service that allows two workers of three.

    Its answers may be lost, workers may reject a ticket at any time, and queues gain
    and lose their advice.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.versions = itertools.count(1)
        self.numbers = itertools.count(1)
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.asked = 0
        self.configure(advised=True)

    def configure(self, *, advised: bool) -> None:
        self.advised = advised
        queues = (dataclasses.replace(q, advice=TERMS) for q in QUEUES)
        queues = tuple(queues) if advised else QUEUES
        core = self.world.core
        core.configuration = QueueConfiguration(next(self.versions), queues)
        self.requests = AdviceRequests(core)

    def plan(self) -> None:
        if self.rng.random() < 0.01:
            self.configure(advised=not self.advised)
        super().plan()
        for _ in range(2):
            self.advise()

    def advise(self) -> None:
        world = self.world
        request = self.requests.choose(world.now, world.now)
        if request is None:
            return
        self.asked += 1
        world.now += request.usual_s
        if self.rng.random() < 0.1:
            return
        good = {
            worker: self.issue(request.step, worker)
            for worker in request.workers
            if self.allows(request.step, worker)
        }
        world.core.advice.record_answer(
            request.step, request.workers, good, terms=TERMS, issued_at=world.now
        )

    def allows(self, step, worker: str) -> bool:
        return zlib.crc32(f"{step} {worker}".encode()) % 3 > 0

    def issue(self, step, worker: str) -> str:
        ticket = f"ticket-{next(self.numbers)}"
        self.tickets[ticket] = (step, worker, self.world.now + TERMS.valid_s)
        return ticket

    def send_start(self, placement) -> None:
        core = self.world.core
        core.abort_without_ticket(placement.unit, self.world.now)
        if placement.phase is not Phase.SENT:
            core.drop_unsent(placement)
            return
        super().send_start(placement)

    def deliver(self, placement, order, until, *, stop):
        if not stop and self.advised:
            self.check_ticket(order)
            if self.rng.random() < 0.03:
                return OrderRejected(reason="409 ticket", rejection="ticket")
        return super().deliver(placement, order, until, stop=stop)

    def check_ticket(self, order) -> None:
        task = order.task
        step = (task.job_id, task.occurrence, task.step)
        known = self.tickets.get(order.ticket)
        if known is None or known[:2] != (step, order.worker_id):
            self.problems.append(f"start without its ticket: {order}")
        elif known[2] < self.world.now:
            self.problems.append(f"start with an expired ticket: {order}")

    def change_leader(self) -> None:
        super().change_leader()
        self.configure(advised=self.advised)

    def settle(self, rounds: int) -> None:
        """Let the faults end, and all that may run end well."""
        self.partitioned.clear()
        if not self.advised:
            self.configure(advised=True)
        for _ in range(rounds):
            self.plan()
            for worker in list(self.world.core.workers.values()):
                self.poll_worker(worker)
            for _ in range(6):
                self.finish()
            self.advance()
            self.apply_delayed()

    def list_stuck(self) -> list[str]:
        """Return the jobs that have not ended although enough workers are allowed."""
        workers = [entry.worker_id for entry in self.world.entries]
        stuck = []
        for job_id, job in self.world.core.jobs.items():
            step = job.accepted.workload.steps[0]
            allowed = sum(self.allows((job_id, 0, 0), w) for w in workers)
            per_worker = 1 if step.most_per_worker else 8 // step.need.accelerators
            if not job.terminal and allowed * per_worker >= step.count:
                stuck.append(job_id)
        return stuck
