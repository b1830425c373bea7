"""Terms of leadership and workers in virtual time, with faults at chosen calls.

The terms, their sessions and the core are the real ones. Workers handle tokens, run
numbers, leases and gangs as the stand-ins of the platform do, but read a virtual clock.
"""

import asyncio
import collections
import dataclasses
import functools
import itertools
import json
import math
import random
from collections.abc import Iterable

from features.support.engine_world import QUEUES, make_entry, make_job, make_step
from features.support.gang_store import (
    STEP_S,
    STORE,
    FakeLeadership,
    Fate,
    Fault,
    FaultyStore,
    StoreClient,
)
from features.support.virtual_time import VirtualLoop
from firladder._internal.engine.progress import encode_accepted
from firladder._internal.exceptions import (
    ConnectionClosed,
    ConnectionRefused,
    FencedOff,
    NotSent,
    OrderRejected,
    SentUnanswered,
    WorkerReplaced,
    WorkerRestarted,
)
from firladder._internal.models.order import EndedTask, RunningTask, WorkerReport
from firladder._internal.models.workload import AcceptedJob, QueueConfiguration
from firladder._internal.network.traffic import TrafficMeter
from firladder._internal.node.election import LEASE_S as LEADER_LEASE_S
from firladder._internal.node.keys import CANCELS, JOBS, LEADER
from firladder._internal.node.link_backlog import LinkBacklog
from firladder._internal.node.term import Term
from firladder._internal.platform.discovery import WORKER_PREFIX
from firladder._internal.platform.settings import NodeSettings
from firladder._internal.platform.workers import MAX_ENDS_LISTED
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.events import Event, Timeline
from standins.platform_workers import GANG_START_TIMEOUT_S

NO_ANSWER = SentUnanswered(reason="no answer")
CLOSED = ConnectionClosed(reason="closed")
REFUSED = ConnectionRefused(reason="refused")
MAX_LEASE_S = 10.0
HEARTBEAT_S = 1.0
ENTRY_TTL_S = 3 * HEARTBEAT_S
ELECTION_S = 0.15


@dataclasses.dataclass
class Member:
    """A started task; ``whole_at`` is when the last member of its run started."""

    task: object
    run: int
    size: int
    started_at: float
    takes_s: float
    machine: "Machine"
    whole_at: float | None = None
    ended_at: float | None = None
    how: str = ""
    acknowledged: bool = False
    """Whether a poll acknowledged its end, with no lapse of the lease in between."""
    sent_at: float = 0.0
    """When the order that started it was sent."""

    @property
    def gang(self):
        return self.task.job_id, self.task.occurrence, self.task.step, self.run

    def measure_wait(self, now: float) -> float:
        """Return for how long the member has run without the whole gang."""
        ends = [t for t in (self.whole_at, self.ended_at) if t is not None]
        return min(ends, default=now) - self.started_at


class Machine:
    """A worker's machine, and the state of its current incarnation."""

    def __init__(
        self, number: int, *, accelerators: int, per_rack: int, keeps_id: bool = False
    ) -> None:
        self.number = number
        self.keeps_id = keeps_id
        self.clock_rate = 1.0
        self._entry = make_entry(number, accelerators=accelerators, per_rack=per_rack)
        self.lives = 0
        self.down = False
        self.registered = True
        self.leaves_at: float | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.lives += 1
        life = 1 if self.keeps_id else self.lives
        self.worker_id = f"{self._entry.worker_id}.{life}"
        self.born = self.lives if self.keeps_id else 0
        self.token = 0
        self.running: dict = {}
        self.highest: dict = {}
        self.ended: list[EndedTask] = []
        self.members_ended: dict[int, Member] = {}
        self.numbers = itertools.count(1)
        self.lease_until = 0.0
        """When the lease ends on the machine's clock, which ``clock_rate`` slows."""
        self.lapsed_at = 0.0
        self.ended_event = asyncio.Event()

    @property
    def entry(self):
        return dataclasses.replace(
            self._entry, worker_id=self.worker_id, born=self.born
        )

    def resize(self, accelerators: int) -> None:
        """Change the capacity that the next entry tells."""
        capacity = dataclasses.replace(self._entry.capacity, accelerators=accelerators)
        self._entry = dataclasses.replace(self._entry, capacity=capacity)

    def acknowledge(self, number: int) -> None:
        """Forget the ends up to ``number``; a lapse voids those before it."""
        for end in self.ended:
            member = self.members_ended[end.number]
            if end.number <= number and member.ended_at >= self.lapsed_at:
                member.acknowledged = True
        self.ended = [e for e in self.ended if e.number > number]

    def restart(self) -> None:
        """Begin a new incarnation; the runs of the former one are gone."""
        self.down = False
        self.leaves_at = None
        self._begin_life()


class LoopClock:
    """Reads the virtual loop, 1 us later each time, so that readings are unique."""

    def __init__(self) -> None:
        self._shift = 0.0

    def read_monotonic(self) -> float:
        self._shift += 1e-6
        return asyncio.get_running_loop().time() + self._shift

    read_wall = read_monotonic


class FaultyCalls:
    """One leader's calls to the machines; ``answer_s`` is the time of a round trip."""

    def __init__(self, play: "GangPlay", token: int, answer_s: float) -> None:
        self.play = play
        self.token = token
        self.answer_s = answer_s

    async def start(self, order, *, deadline_s, send_within_s, timeout_s):
        sent_at = self.play.now
        return await self._call(
            "start",
            order.worker_id,
            lambda m: self._start(m, order, deadline_s, sent_at),
            timeout_s,
            send_within_s,
        )

    async def stop(self, order, *, send_within_s, timeout_s):
        return await self._call(
            "stop",
            order.worker_id,
            lambda m: self._stop(m, order),
            timeout_s,
            send_within_s,
        )

    async def poll(
        self,
        worker_id,
        address,
        *,
        born=0,
        acknowledged,
        deadline_s,
        wait_s,
        timeout_s,
        **_,
    ):
        return await self._call(
            "poll",
            worker_id,
            lambda m: self._poll(m, born, acknowledged, deadline_s, wait_s),
            timeout_s,
            timeout_s,
        )

    async def _call(self, kind, worker_id, carry_out, timeout_s, send_within_s):
        play = self.play
        machine = play.find_machine(worker_id)
        fault = play.choose_fault(kind, machine.number)
        play.sent.append((play.now, kind, machine.number, fault.fate.value))
        if fault.fate is Fate.NOT_SENT:
            await asyncio.sleep(send_within_s)
            return NotSent(reason="timed out before sending")
        if machine.down and fault.fate is not Fate.LOST:
            await asyncio.sleep(self.answer_s)
            return REFUSED
        arrives = functools.partial(
            self._deliver, machine, worker_id, carry_out, kind, machine.lives
        )
        late_s = fault.late_s if fault.fate is Fate.LATE else 0.0
        until = play.now + timeout_s
        # A call in flight arrives even if its sender is gone.
        delivery = None if fault.fate is Fate.LOST else play.spawn(arrives(late_s))
        if fault.fate is Fate.DOUBLED:
            play.spawn(arrives(fault.late_s))
        if delivery is not None:
            await asyncio.wait({delivery}, timeout=timeout_s)
        answered = fault.fate in (Fate.DELIVERED, Fate.DOUBLED, Fate.OVERTAKEN)
        back_s = self.answer_s / 2
        if fault.fate is Fate.OVERTAKEN:
            back_s += fault.late_s
        back_at = play.now + back_s
        if not answered or not delivery.done() or back_at > until:
            await asyncio.sleep(max(0.0, until - play.now))
            return NO_ANSWER
        await asyncio.sleep(back_s)
        # The process may have ended before it sent its answer.
        return CLOSED if machine.down else delivery.result()

    async def _deliver(self, machine, worker_id, carry_out, kind, life, after_s):
        await asyncio.sleep(after_s + self.answer_s / 2)
        if machine.down:
            return REFUSED
        if machine.lives != life and kind not in self.play.outliving:
            return CLOSED
        if machine.worker_id != worker_id:
            return WorkerReplaced(reason="another incarnation")
        if self.token < machine.token:
            return FencedOff(reason="fence")
        machine.token = self.token
        answer = carry_out(machine)
        return await answer if asyncio.iscoroutine(answer) else answer

    def _start(self, machine, order, deadline_s, sent_at):
        play, key = self.play, (order.task, order.run)
        play.extend_lease(machine, deadline_s)
        if key not in machine.running:
            if order.run <= machine.highest.get(order.task, 0):
                return OrderRejected(reason="409 old", rejection="superseded")
            play.begin(machine, order, sent_at=sent_at)
        if order.born and order.born != machine.born:
            return WorkerRestarted(reason="restarted", born=machine.born)
        return play.now

    def _stop(self, machine, order):
        play = self.play
        machine.highest[order.task] = max(order.run, machine.highest.get(order.task, 0))
        for key in [k for k in machine.running if k[0] == order.task]:
            play.end(machine, key, "stopped")
        return play.now

    async def _poll(self, machine, born, acknowledged, deadline_s, wait_s):
        play, life = self.play, machine.lives
        play.note_lapse(machine)
        if deadline_s is not None:
            play.extend_lease(machine, deadline_s)
        machine.acknowledge(acknowledged)
        until = play.now + wait_s
        while not machine.ended and until - play.now > STEP_S / 1000:
            machine.ended_event.clear()
            waiting = asyncio.ensure_future(machine.ended_event.wait())
            await asyncio.wait({waiting}, timeout=until - play.now)
            waiting.cancel()
        if machine.lives != life or machine.down:
            return CLOSED
        if born and machine.born != born:
            return WorkerRestarted(reason="restarted", born=machine.born)
        ends = tuple(machine.ended[: play.report_limit])
        complete = len(ends) < play.report_limit
        rows = tuple(
            RunningTask(m.task, m.run, "", play.measure_percent(m))
            for m in machine.running.values()
        )
        clock_s = play.read_clock(machine)
        return WorkerReport(clock_s, rows, ends, complete=complete, born=machine.born)


class GangPlay:
    """Plays jobs on machines under successive leaders, with faults."""

    loop_factory = VirtualLoop
    report_limit = MAX_ENDS_LISTED
    outliving = frozenset(("start", "stop", "poll"))
    """Kinds of calls that may reach a later incarnation than they were meant for."""

    def __init__(
        self,
        machines: int,
        *,
        faults: Iterable[Fault] = (),
        seed: int = 1,
        accelerators: int = 8,
        per_rack: int = 8,
        takes_s: float = 5.0,
        keep_ids: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = list(faults)
        self.takes_s = takes_s
        self.machines = [
            Machine(n, accelerators=accelerators, per_rack=per_rack, keeps_id=keep_ids)
            for n in range(machines)
        ]
        self.store = FaultyStore()
        self.calls: dict[tuple[str, int], int] = {}
        self.members: list[Member] = []
        self.jobs: dict[str, AcceptedJob] = {}
        self.done_at: dict[str, float] = {}
        self.crash_after_s: dict[str, float] = {}
        """For jobs that crash the worker: how long after the start of a task."""
        self.down_s = 3.3
        """How long a machine is down after a crash."""
        self.crashes: list[tuple[Member, list[Member]]] = []
        """The members that crashed their machines, and what else ran there."""
        self.sent: list[tuple] = []
        self.decisions: list[tuple] = []
        self.terms: list[tuple[Term, asyncio.Task]] = []
        self._clock = LoopClock()
        self._succeeding = False
        self._tasks: set[asyncio.Task] = set()

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # -- faults --------------------------------------------------------------------

    def choose_fault(self, kind: str, machine: int) -> Fault:
        count = self.calls[kind, machine] = self.calls.get((kind, machine), 0) + 1
        for fault in self.faults:
            if fault.kind not in (kind, "any"):
                continue
            everywhere = fault.machine is None and machine != STORE
            if not everywhere and fault.machine != machine:
                continue
            if fault.number is not None:
                if fault.number == count:
                    return fault
            elif fault.since <= self.now < fault.until and (
                fault.share >= 1 or self.rng.random() < fault.share
            ):
                return fault
        return Fault(kind, machine, Fate.DELIVERED)

    # -- workers -------------------------------------------------------------------

    def find_machine(self, worker_id: str) -> Machine:
        name = worker_id.partition(".")[0]
        return next(m for m in self.machines if f"w{m.number}" == name)

    def read_clock(self, machine: Machine) -> float:
        """Return the time on a machine's clock."""
        return self.now * machine.clock_rate

    def extend_lease(self, machine: Machine, deadline_s: float) -> None:
        self.note_lapse(machine)
        limit = min(deadline_s, self.read_clock(machine) + MAX_LEASE_S)
        machine.lease_until = max(machine.lease_until, limit)

    def begin(self, machine: Machine, order, *, sent_at: float) -> None:
        step = self.jobs[order.task.job_id].workload.steps[order.task.step]
        size = step.count if step.gang else 1
        member = Member(order.task, order.run, size, self.now, self.takes_s, machine)
        member.sent_at = sent_at
        self.members.append(member)
        machine.running[order.task, order.run] = member
        if order.task.job_id in self.crash_after_s and not order.task.index:
            self.spawn(self._crash_under(member))
        present = [member] if size == 1 else self.list_present(member.gang)
        if len(present) == size:
            for other in present:
                other.whole_at = self.now

    def list_present(self, gang) -> list[Member]:
        return [
            m
            for machine in self.machines
            for m in machine.running.values()
            if m.gang == gang
        ]

    def measure_percent(self, member: Member) -> float:
        if member.whole_at is None:
            return 0.0
        return min(99.0, 100 * (self.now - member.whole_at) // member.takes_s)

    def end(self, machine: Machine, key, how: str) -> None:
        """End a run, and with it the other members of its gang."""
        member = machine.running[key]
        others = [] if member.size == 1 else self.list_present(member.gang)
        self._record_end(member, how)
        for other in others:
            if other is not member:
                self._record_end(other, "done" if how == "done" else "broken")

    def _record_end(self, member: Member, how: str) -> None:
        machine, key = member.machine, (member.task, member.run)
        del machine.running[key]
        member.ended_at, member.how = self.now, how
        machine.highest[member.task] = max(
            member.run, machine.highest.get(member.task, 0)
        )
        number = next(machine.numbers)
        machine.ended.append(EndedTask(number, member.task, member.run, how, ""))
        machine.members_ended[number] = member
        machine.ended_event.set()
        if how == "done":
            self.done_at.setdefault(member.task.job_id, self.now)

    async def _run_machines(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for machine in self.machines:
                self._end_due(machine)

    def note_lapse(self, machine: Machine) -> None:
        """End everything on a machine whose lease has expired."""
        if self.read_clock(machine) > machine.lease_until:
            self._end_due(machine)

    def _end_due(self, machine: Machine) -> None:
        """End the runs whose lease has expired, that waited too long, or are done."""
        lapsed = self.read_clock(machine) > machine.lease_until
        if lapsed:
            lapsed_at = machine.lease_until / machine.clock_rate
            machine.lapsed_at = max(machine.lapsed_at, lapsed_at)
        for key, member in list(machine.running.items()):
            if key not in machine.running:
                continue
            waited_s = self.now - member.started_at
            whole_at = member.whole_at
            if lapsed:
                self.end(machine, key, "lapsed")
            elif whole_at is None:
                if waited_s > GANG_START_TIMEOUT_S:
                    self.end(machine, key, "alone")
            elif self.now - whole_at > member.takes_s:
                self.end(machine, key, "done")

    async def _register_machines(self) -> None:
        seen: dict[str, float] = {}
        while True:
            for machine in self.machines:
                if not machine.down and machine.registered:
                    self.write_entry(machine)
                    seen[machine.worker_id] = self.now
            for worker_id, at in list(seen.items()):
                if self.now - at >= ENTRY_TTL_S:
                    self.store.remove(WORKER_PREFIX + worker_id)
                    del seen[worker_id]
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self, machine: Machine) -> None:
        entry = machine.entry
        capacity = entry.capacity
        value = {
            "backend": entry.pool,
            "address": entry.address,
            "zone": entry.failure_domain,
            "state": "ready" if machine.leaves_at is None else "draining",
            "remaining_ms": 1000 * max(0.0, (machine.leaves_at or 0.0) - self.now),
            "capacity": {
                "cpu": capacity.cpu_milli,
                "mem_mb": capacity.memory_mb,
                "gpu": capacity.accelerators,
            },
            "labels": [*entry.labels, entry.rack],
            "born": entry.born,
            "at": self.now,
        }
        self.store.put(WORKER_PREFIX + entry.worker_id, json.dumps(value).encode())

    async def restart_machine(self, number: int, *, down_s: float) -> None:
        """Crash a machine; it begins a new incarnation ``down_s`` later."""
        machine = self.machines[number]
        for key in list(machine.running):
            # The end of one member ends the others of its gang.
            if key in machine.running:
                self.end(machine, key, "lost")
        machine.down = True
        await asyncio.sleep(down_s)
        machine.restart()

    async def _crash_under(self, member: Member) -> None:
        """Crash the machine of a task, if the task still runs by then."""
        await asyncio.sleep(self.crash_after_s[member.task.job_id])
        if member.ended_at is None:
            running = member.machine.running.values()
            others = [m for m in running if m.task.job_id != member.task.job_id]
            self.crashes.append((member, others))
            await self.restart_machine(member.machine.number, down_s=self.down_s)

    # -- jobs and leaders ----------------------------------------------------------

    def submit(self, name: str, *, count=2, gang=True, need=8, priority=1) -> None:
        self.submit_steps(name, make_step(count, need, gang=gang), priority=priority)

    def submit_steps(self, name: str, *steps, priority=1) -> None:
        job = make_job(name, *steps, priority=priority, at=self.now)
        self.jobs[name] = job
        self.store.put(JOBS + name, encode_accepted(job))

    def cancel(self, name: str) -> None:
        self.store.put(CANCELS + name, b"")

    def elect(self, *, answer_s: float = 0.01) -> Term:
        """Begin a term under a new token."""
        self._succeeding = False
        token = self.store.put(LEADER, b"")
        client = StoreClient(self.store, self.choose_fault)
        settings = NodeSettings(
            "vm", "10.0.0.1", "d", "", "", "", 1, (), "", MAX_LEASE_S, 120.0, 2.7,
            0.3, GANG_START_TIMEOUT_S, 2.0, 1000.0,
        )  # fmt: skip
        timeline = Timeline(process="p", clock=self._clock, logical=LogicalClock())
        term = Term(
            store=client,
            calls=FaultyCalls(self, token, answer_s),
            leadership=FakeLeadership(client, token),
            settings=settings,
            clock=self._clock,
            rng=self.rng,
            timeline=timeline,
            traffic=TrafficMeter(),
            backlog=LinkBacklog(
                link_mbps=1000.0, read_clock=self._clock.read_monotonic
            ),
            on_order=lambda kind, waited_s, took_s: None,
        )
        term.client = client
        term.timeline = timeline
        term.core.configuration = QueueConfiguration(1, QUEUES)
        self.terms.append((term, self.spawn_leader(term)))
        return term

    def spawn_leader(self, term: Term) -> asyncio.Task:
        return self.spawn(term.run())

    async def kill_leader(self) -> None:
        """End the leader's process; calls in flight still arrive."""
        self._succeeding = True
        _, running = self.terms[-1]
        running.cancel()
        await asyncio.wait({running})

    async def succeed(self, how: str, *, gap_s: float | None = None) -> Term:
        """Replace the leader: ``killed``, ``handed over`` or ``cut off``."""
        term, _ = self.terms[-1]
        self._succeeding = True
        lapse_s = LEADER_LEASE_S + ELECTION_S
        if how == "killed":
            await self.kill_leader()
        elif how == "handed over":
            term.step_down("a VM with a larger link can lead")
            lapse_s = ELECTION_S
        else:
            term.client.cut = True
        await asyncio.sleep(lapse_s if gap_s is None else gap_s)
        while self.store.is_down():
            await asyncio.sleep(STEP_S)
        return self.elect()

    async def _keep_a_leader(self) -> None:
        """Elect another leader if one resigns, such as after a slow load."""
        while True:
            await asyncio.sleep(ELECTION_S)
            resigned = self.terms[-1][1].done() and not self._succeeding
            if resigned and not self.store.is_down():
                self.elect()

    def play(self, script, *, seconds: float) -> "GangPlay":
        """Run ``script`` beside a first leader for ``seconds``."""

        async def run():
            self.spawn(self._register_machines())
            self.spawn(self._run_machines())
            await asyncio.sleep(0.01)
            self.elect()
            self.spawn(self._keep_a_leader())
            await asyncio.sleep(0.5)
            scripted = self.spawn(script(self))
            await asyncio.sleep(seconds)
            if scripted.done():
                scripted.result()
            self.ended_at = self.now
            for term, _ in self.terms:
                self.decisions += [
                    (e.details.get("what"), e.details)
                    for e in term._timeline.list_events()
                    if e.number == Event.CORE_DECIDED.number
                ]
            for task in tuple(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

        with asyncio.Runner(loop_factory=self.loop_factory) as runner:
            runner.run(run())
        return self

    # -- results -------------------------------------------------------------------

    def list_alone(self) -> list[Member]:
        """Return the members that ended because others did not start in time."""
        return [m for m in self.members if m.how == "alone"]

    def measure_longest_wait(self) -> float:
        """Return the longest time, in seconds, that a member ran without the others."""
        waits = [m.measure_wait(self.ended_at) for m in self.members if m.size > 1]
        return round(max(waits, default=0.0), 2)

    def find_overlaps(self) -> list[tuple[Member, Member]]:
        """Return the pairs of runs of one task that ran at the same time."""
        return [
            (a, b)
            for a, b in itertools.combinations(self.members, 2)
            if a.task == b.task
            and a.started_at < (b.ended_at or math.inf)
            and b.started_at < (a.ended_at or math.inf)
        ]

    def find_starts_after_done(self) -> list[tuple[Member, Member]]:
        """Return the pairs of a run that ended as done and a later one of its task.

        The end was acknowledged, before or after the later start, by any leader. One
        such end stands for all members of a gang. Nobody can prevent that a worker's
        next life carries out an order that was sent before the end.
        """
        done = {id(m): m for m in self.members if m.acknowledged and m.how == "done"}
        gangs = {m.gang for m in done.values() if m.size > 1}
        starts = collections.defaultdict(list)
        for member in self.members:
            starts[member.task].append(member)
        return [
            (a, b)
            for a in self.members
            if id(a) in done or a.size > 1 and a.gang in gangs
            for b in starts[a.task]
            if a is not b and a.ended_at <= b.started_at
            if b.run > a.run or b.sent_at > a.ended_at
        ]


LATE_S = (0.5, 2.0, 6.0, 11.0)
FAULTS = (Fate.LOST, Fate.UNANSWERED, Fate.LATE, Fate.DOUBLED, Fate.NOT_SENT)


def play_at_random(seed: int) -> GangPlay:
    """Play six jobs on five machines with faults in the first 18 s.

    ``events`` of the returned play lists the changes and when they began.
    """
    rng = random.Random(seed)
    share = rng.choice((0.0, 0.05, 0.1, 0.2))
    faults = [
        Fault(
            rng.choice(("start", "stop", "poll", "any")),
            rng.choice((None, None, 0, 1)),
            fate,
            share=share,
            since=0.5,
            until=18.0,
            late_s=rng.choice(LATE_S),
        )
        for fate in rng.sample(FAULTS, 2)
    ]
    play = GangPlay(5, faults=faults, seed=seed, per_rack=3, takes_s=4.0)
    play.events = []

    async def submit():
        for number in range(6):
            play.submit(
                f"job-{number}",
                count=rng.randint(2, 4),
                need=rng.choice((4, 8)),
                gang=rng.random() < 0.8,
                priority=rng.randint(0, 2),
            )
            await asyncio.sleep(rng.uniform(0.0, 3.0))

    async def script(play):
        play.spawn(submit())
        for _ in range(rng.randint(0, 3)):
            await asyncio.sleep(rng.uniform(0.05, 5.0))
            event = rng.choice(("killed", "handed over", "cut off", "restart", "store"))
            play.events.append((event, round(play.now, 2)))
            if event == "restart":
                down_s = rng.choice((0.1, 1.0, 4.0, 8.0))
                play.spawn(play.restart_machine(rng.randrange(5), down_s=down_s))
            elif event == "store":
                until = play.now + rng.uniform(0.5, 7.0)
                play.store.outages.append((play.now, until))
            else:
                await play.succeed(event)

    return play.play(script, seconds=75.0)
