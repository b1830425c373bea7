"""A simulated failure domain in which preemptions take effect at once."""

import itertools

from firladder._internal.models.job import JobSpec
from firladder._internal.models.machine import Machine
from firladder._internal.policies.placement import (
    DomainView,
    Place,
    Preempt,
    QueuedJob,
    RunningJob,
    WorkerView,
)
from firladder._internal.policies.placement_catalogue import PLACEMENTS
from firladder._internal.policies.selectors import Selector

MAX_PASSES = 12


def make_machines(*, racks: int, workers: int) -> list[Machine]:
    return [
        Machine(
            name=f"w{rack}-{number}",
            role="worker",
            failure_domain="d",
            address="",
            rack=f"r{rack}",
            accelerators=8,
            cpus=32,
            memory_mb=65536,
        )
        for rack in range(racks)
        for number in range(workers)
    ]


class World:
    def __init__(self, machines, organisations, placement="cells"):
        self.machines = machines
        self.organisations = organisations
        self.policy = PLACEMENTS.find(placement)
        self.queue: dict[str, QueuedJob] = {}
        self.running: dict[str, RunningJob] = {}
        self.labels: dict[str, dict[str, str]] = {}
        self.finished: dict[str, str] = {}
        self.now = 1000.0
        self.numbers = itertools.count()

    def submit(self, organisation, *, members=1, accelerators=1, **options) -> str:
        fields = {k: options.pop(k) for k in ("workers", "avoid") if k in options}
        spec = JobSpec(
            id=f"j{next(self.numbers)}",
            organisation=organisation,
            members=members,
            accelerators=accelerators,
            cpus=accelerators,
            memory_mb=accelerators,
            **options,
        )
        job = QueuedJob(
            spec,
            organisation,
            spec.urgency,
            fields.get("workers", Selector()),
            self.now,
            avoid=fields.get("avoid", frozenset()),
        )
        self.queue[spec.id] = job
        return spec.id

    def view(self, queue=None) -> DomainView:
        held = {
            (m.worker, a)
            for g in self.running.values()
            for m in g.members
            for a in m.accelerators
        }
        taken = [m.worker for g in self.running.values() for m in g.members]
        assert len(held) == sum(
            len(m.accelerators) for g in self.running.values() for m in g.members
        ), "overcommitted"
        return DomainView(
            failure_domain="d",
            now=self.now,
            workers=tuple(
                WorkerView(
                    m.name,
                    m.rack,
                    m.accelerators,
                    tuple(a for a in range(8) if (m.name, a) not in held),
                    m.cpus - taken.count(m.name),
                    m.memory_mb - taken.count(m.name),
                    self.labels.get(m.name, {}),
                )
                for m in self.machines
            ),
            queue=tuple(self.queue.values() if queue is None else queue),
            running=tuple(self.running.values()),
            organisations=self.organisations,
        )

    def act(self, actions) -> list[RunningJob]:
        """Apply the actions and return the preempted gangs."""
        victims = [self.running.pop(a.job) for a in actions if isinstance(a, Preempt)]
        for gang in victims:
            self.queue[gang.spec.id] = QueuedJob(
                gang.spec, gang.organisation, gang.urgency, gang.workers, self.now
            )
        for action in actions:
            if isinstance(action, Place):
                job = self.queue.pop(action.job)
                self.running[action.job] = RunningJob(
                    job.spec,
                    job.organisation,
                    job.urgency,
                    action.members,
                    self.now,
                    cell=action.cell,
                    workers=job.workers,
                )
        return victims

    def settle(self) -> None:
        for _ in range(MAX_PASSES):
            self.now += 10.0
            actions = self.policy(self.view())
            if not actions:
                return
            self.act(actions)

    def end(self, job: str) -> None:
        self.running.pop(job, None)
        self.now += 1.0

    def list_idle_cells(self) -> list[tuple[str, int]]:
        """Return the cells without a running gang, from the shapes alone."""
        used = {(g.organisation, g.cell) for g in self.running.values() if g.cell}
        idle = []
        for name, organisation in self.organisations.items():
            sizes = [c.accelerators for c in organisation.shape]
            for size in set(sizes):
                cells = [(name, f"{size}#{n}") for n in range(sizes.count(size))]
                idle += [(name, size) for cell in cells if cell not in used]
        return idle

    def claim(self, organisation: str, size: int) -> list[RunningJob]:
        """Submit a job as large as the cell; return the gangs preempted for it."""
        members = max(1, -(-size // 8))
        kept = dict(self.queue), dict(self.running)
        self.queue = {}
        job = self.submit(
            organisation, members=members, accelerators=min(size, 8), urgency="urgent"
        )
        wanted = self.queue[job]
        victims = self.act(self.policy(self.view([wanted])))
        if job not in self.running:
            self.act(self.policy(self.view([wanted])))
        assert job in self.running, f"{organisation} did not get a cell of {size}"
        self.queue, self.running = kept
        return victims
