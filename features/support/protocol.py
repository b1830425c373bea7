"""Fakes of the clock, the store and the workers, for real code without sockets."""

import asyncio
import itertools
from typing import Any

import msgspec

from firladder._internal.charts.interpreter import load_chart
from firladder._internal.exceptions import (
    StoreConflict,
    StoreUncertain,
    WorkerUnreachable,
)
from firladder._internal.models.entry import (
    Committed,
    Compare,
    Delete,
    Entry,
    Lease,
    Snapshot,
)
from firladder._internal.models.job import JobRecord, JobSpec, Member
from firladder._internal.models.machine import Machine
from firladder._internal.models.message import Heartbeat, Identity
from firladder._internal.models.task import TaskReport, TaskStatus
from firladder._internal.scheduler.accounting import Accounting, GangState, WorkerState
from firladder._internal.scheduler.domain import DomainLeader
from firladder._internal.scheduler.gang_messages import GangTimes
from firladder._internal.scheduler.gangs import GangRunner
from firladder._internal.scheduler.leadership import Leadership
from firladder._internal.scheduler.ledger import JOB_PREFIX, Ledger
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.events import Timeline


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def read_monotonic(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now


class FakeStore:
    """A store in memory; it may be down, or lose the answer to the next commit."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.down = False
        self.lose_next_answer = False
        self.expired = False
        self._leases = itertools.count(1)

    async def get(self, key: str) -> Any:
        return StoreUncertain(reason="down") if self.down else self.entries.get(key)

    async def range(self, prefix: str) -> Any:
        found = Snapshot(self.revision, tuple(self.entries_of(prefix).values()))
        await asyncio.sleep(0)  # another writer may run before the reader continues
        return found

    async def grant_lease(self, ttl_s: int, **_: Any) -> Any:
        if self.down:
            return StoreUncertain(reason="down")
        return Lease(next(self._leases), float(ttl_s))

    async def renew_lease(self, lease: Lease, **_: Any) -> Any:
        if self.down:
            return StoreUncertain(reason="down")
        return StoreConflict(reason="expired") if self.expired else lease

    async def commit(self, compares: Any, changes: Any, **_: Any) -> Any:
        if self.down:
            return StoreUncertain(reason="down")
        if not all(self._holds(c) for c in compares):
            return StoreConflict(reason="a comparison did not hold")
        self.revision += 1
        for change in changes:
            self.entries.pop(change.key, None)
            if not isinstance(change, Delete):
                entry = Entry(change.key, change.value, self.revision, change.lease)
                self.entries[change.key] = entry
        if self.lose_next_answer:
            self.lose_next_answer = False
            return StoreUncertain(reason="the answer was lost")
        return Committed(self.revision)

    def entries_of(self, prefix: str) -> dict[str, Entry]:
        return {k: e for k, e in self.entries.items() if k.startswith(prefix)}

    def _holds(self, compare: Compare) -> bool:
        found = self.entries.get(compare.key)
        return (found.mod_revision if found else 0) == compare.mod_revision


def make_leadership(
    store: FakeStore, clock: FakeClock, *, vm: str = "bern-halle-1", peers: Any = list
) -> Leadership:
    """Return the leadership of a candidate with leases of 10 s."""
    identity = Identity(vm, "scheduler", "bern-halle", f"start-{vm}", "", "")
    return Leadership(
        identity=identity,
        store=store,  # type: ignore[arg-type]
        ttl_s=10,
        chart=load_chart("leadership"),
        clock=clock,
        timeline=Timeline(process=vm, clock=clock, logical=LogicalClock()),
        list_peers=peers,
    )


def make_peer(*, leading: int = 0, store_reachable: bool = False) -> Heartbeat:
    """Return the heartbeat of another scheduler of the failure domain."""
    identity = Identity("bern-halle-2", "scheduler", "bern-halle", "other", "", "")
    return Heartbeat(
        identity=identity, revision=0, leading=leading, store_reachable=store_reachable
    )


class FakeWorkers:
    """Workers that record each command, and the job as stored at that time."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.commands: list[tuple[str, str]] = []
        self.job_at: dict[str, JobRecord] = {}
        self.refuse: dict[tuple[str, str], Any] = {}
        self.ttls: dict[str, float] = {}

    def _answer(self, command: str, address: str, task: str) -> Any:
        self.commands.append((command, address))
        entry = self.store.entries[f"{JOB_PREFIX}job"]
        record = msgspec.json.decode(entry.value, type=JobRecord)
        self.job_at.setdefault(command, record)
        refused = self.refuse.get((command, address))
        state = {"reserve": "held", "start": "running", "stop": "stopped"}[command]
        return refused or TaskStatus(
            task=task, job="job", attempt=1, gang_size=2, state=state, accelerators=(0,)
        )

    async def reserve(self, address: str, req: Any) -> Any:
        self.ttls[address] = req.ttl_s
        return self._answer("reserve", address, req.task)

    async def start(self, address: str, task: str, epoch: int) -> Any:
        return self._answer("start", address, task)

    async def stop(self, address: str, task: str, req: Any) -> Any:
        return self._answer("stop", address, task)

    async def renew(self, address: str, req: Any) -> Any:
        self.commands.append(("confirm", address))
        return TaskReport(worker=address, epoch=req.epoch, sequence=0)


UNREACHABLE = WorkerUnreachable(reason="no answer")


class GangBench:
    """A gang of two on two workers, with the real runner, ledger and accounting."""

    def __init__(self, **spec: Any) -> None:
        self.clock, self.store = FakeClock(), FakeStore()
        self.leadership = make_leadership(self.store, self.clock)
        self.workers = FakeWorkers(self.store)
        self.spec = JobSpec(id="job", organisation="squads", members=2, **spec)

    async def elect(self) -> None:
        """Win the election, and write the job to the store and the ledger."""
        await self.leadership._campaign()
        record = JobRecord(
            spec=self.spec, failure_domain="bern-halle", submitted_at=0, spec_digest=""
        )
        self.store.revision += 1
        key = f"{JOB_PREFIX}job"
        entry = Entry(key, msgspec.json.encode(record), self.store.revision, 0)
        self.store.entries[key] = entry
        self.ledger = Ledger(
            store=self.store,  # type: ignore[arg-type]
            failure_domain="bern-halle",
            term=Compare(self.leadership.key, self.leadership.epoch),
            on_superseded=lambda: self.leadership.step_down("superseded"),
        )
        self.ledger.read_entries(self.store.entries_of(JOB_PREFIX))
        self.accounting = Accounting("bern-halle")
        for name in ("w0", "w1"):
            machine = Machine(
                name=name, role="worker", failure_domain="bern-halle", address=name
            )
            self.accounting.workers[name] = WorkerState(machine, claimed=True)
        self.place()

    def place(self) -> None:
        """Create a runner for the job as the ledger now has it."""
        members = tuple(Member(f"job.{n}", f"w{n}", (0,)) for n in range(2))
        gang = GangState(self.ledger.jobs["job"], members, 0.0)
        self.accounting.gangs["job"] = gang
        self.runner = GangRunner(
            gang=gang,
            accounting=self.accounting,
            ledger=self.ledger,
            workers=self.workers,  # type: ignore[arg-type]
            leadership=self.leadership,
            epoch=self.leadership.epoch,
            times=GangTimes(30.0, 3.0, 1.0),
            chart=load_chart("gang"),
            clock=self.clock,
            timeline=Timeline(
                process="bench", clock=self.clock, logical=LogicalClock()
            ),
            on_worker_failure=lambda worker, job: None,
        )

    def make_domain_leader(self) -> tuple[DomainLeader, WorkerState]:
        """Return a real leader with the same parts, and its first worker."""
        leader = DomainLeader(
            failure_domain="bern-halle",
            leadership=self.leadership,
            ledger=self.ledger,
            workers=self.workers,  # type: ignore[arg-type]
            configuration=None,  # type: ignore[arg-type]
            list_machines=list,
            policy=lambda view: [],
            times=GangTimes(30.0, 3.0, 1.0),
            clock=self.clock,
            timeline=Timeline(
                process="bench", clock=self.clock, logical=LogicalClock()
            ),
        )
        leader.accounting = self.accounting
        return leader, self.accounting.workers["w0"]

    async def wait(self, condition: Any) -> None:
        """Let the event loop run until the condition holds."""
        while not condition():
            await asyncio.sleep(0.01)

    @property
    def job(self) -> JobRecord:
        """Return the job as the store has it."""
        entry = self.store.entries[f"{JOB_PREFIX}job"]
        return msgspec.json.decode(entry.value, type=JobRecord)
