"""Stand-ins for the platform's workers: they run tasks as timers.

Each handles fencing tokens, run numbers, leases and ended runs as the platform's
workers do. It starts tasks beyond its capacity and records starts that violate a
rule as problems.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from collections import Counter
from typing import Any

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    RouteTable,
    reply_json,
)

from .platform_advice import AdviceService

routes = RouteTable()

HEARTBEAT_S = 1.0

MAX_ENDS_LISTED = 500
"""Ended runs in one answer to a poll."""

ACCELERATORS = 8

SLOW_CLOCK_RATE = 0.98
"""Rate of the steady clock of every third worker: it may run up to 2% slow."""


class WorkerFaults(msgspec.Struct):
    """Faults to inject.

    ``late_share`` of the orders are carried out ``late_s`` seconds later and not
    answered; ``reject`` refuses all starts; ``silent`` answers no call;
    ``fail_share`` of the runs fail.
    """

    late_share: float = 0.0
    late_s: float = 1.0
    reject: bool = False
    silent: bool = False
    fail_share: float = 0.0


CRASH_DELAY_S = 0.01
"""Seconds from the start of a task that crashes its worker to the crash."""

MAX_CRASHED_STARTS = 5
"""How often a task that crashes its workers may be started."""

GANG_START_TIMEOUT_S = 3.0
"""Seconds that a member of a gang waits for the other members to start."""


@dataclasses.dataclass
class Run:
    """A running task, or a member of a gang that waits for the other members.

    ``started_at`` is when the start order was carried out, ``running_since`` when the
    last member of its gang had started.
    """

    task: str
    run: int
    started_at: float
    run_time_s: float
    accelerators: int = 0
    members: int = 1
    running_since: float | None = None

    @property
    def gang(self) -> tuple[str, int]:
        """Return the key that all members of one run of a gang share."""
        return self.task.rpartition(".")[0], self.run

    @property
    def unit(self) -> str:
        """Return the name of the step of a gang, of which one end stands for all."""
        return self.task if self.members == 1 else self.gang[0]


@dataclasses.dataclass
class DoneEnd:
    """A run that has ended as done on one incarnation of a worker.

    ``lapsed`` says that the worker's lease expired before the end was acknowledged,
    and ``lost`` that the worker went down before: nobody can acknowledge it any more,
    so the task may run again.
    """

    run: int
    where: str
    number: int
    acknowledged_by: str = ""
    lapsed: bool = False
    lost: bool = False

    @property
    def acknowledged(self) -> bool:
        """Return whether a poll has acknowledged the end."""
        return bool(self.acknowledged_by)


@dataclasses.dataclass
class SecondStart:
    """A start of a task after an end of it as done that was not lost by then.

    ``end_acknowledged`` says that the end had been acknowledged before the start.
    """

    task: str
    run: int
    where: str
    late: bool
    at: float
    end: DoneEnd
    end_acknowledged: bool

    def describe(self) -> str:
        """Return the problem, with when the end was acknowledged."""
        end = self.end
        when = "never"
        if end.acknowledged:
            when = "before" if self.end_acknowledged else "afterwards"
            when += f" by {end.acknowledged_by}"
        return (
            f"{self.task} run {self.run} started {'late ' * self.late}on {self.where} "
            f"at {self.at:.3f} after it was done: end {end.number} of run {end.run} on "
            f"{end.where}, acknowledged {when}{', lease lapsed' * end.lapsed}"
        )


class Ledger:
    """What all workers of a site have started and finished, for tests to check."""

    def __init__(self) -> None:
        """Start empty."""
        self.starts: list[tuple[str, int, str]] = []
        self.done: set[str] = set()
        self.done_ends: dict[str, list[DoneEnd]] = {}
        self.second_starts: list[SecondStart] = []
        self.failed: set[str] = set()
        self.crashes: Counter[str] = Counter()
        self._problems: list[str] = []
        self.advice = AdviceService()
        self.rejected_tickets: list[str] = []
        self.workers: list[Worker] = []
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def problems(self) -> list[str]:
        """Return the violations of rules so far."""
        return self._problems + [start.describe() for start in self.second_starts]

    def record_start(self, worker: "Worker", begun: Run, *, late: bool) -> None:
        """Record a start, and a problem if it violates a rule.

        ``late``: the worker carries out the order late, and does not answer it.
        """
        task, run = begun.task, begun.run
        used = sum(r.accelerators for r in worker.runs.values()) + begun.accelerators
        if used > ACCELERATORS:
            self._problems.append(f"{task} run {run} brings its worker to {used}")
        self.starts.append((task, run, worker.worker_id))
        for other in self.workers:
            if any(r.task == task for r in other.runs.values()):
                self._problems.append(f"{task} run {run} runs twice")
        if self.crashes[task] >= MAX_CRASHED_STARTS:
            self._problems.append(f"{task} run {run} crashes yet another worker")
        ends = [e for e in self.done_ends.get(begun.unit, ()) if not e.lost]
        # Of the members of a gang, the one whose end was acknowledged decides.
        by_run = {e.run: e for e in sorted(ends, key=lambda e: e.acknowledged)}
        self.second_starts += [
            SecondStart(
                task, run, worker.name_life(), late, time.time(), end, end.acknowledged
            )
            for end in by_run.values()
        ]

    def record_done(self, run: Run, end: DoneEnd) -> None:
        """Record that a worker lists a run as done."""
        self.done.add(run.task)
        self.done_ends.setdefault(run.unit, []).append(end)

    def list_members(self, run: Run) -> list[tuple["Worker", Run]]:
        """Return the members of a gang's run that have started, with their workers."""
        return [
            (worker, other)
            for worker in self.workers
            for other in worker.runs.values()
            if other.members > 1 and other.gang == run.gang
        ]

    def begin_run(self, run: Run, now: float) -> None:
        """Start a task's timer, or those of its gang once all members have started."""
        if run.members == 1:
            run.running_since = now
            return
        members = [other for _, other in self.list_members(run)]
        if len(members) == run.members:
            for other in members:
                other.running_since = now


class Worker:
    """A worker."""

    def __init__(
        self,
        number: int,
        address: str,
        ledger: Ledger,
        seed: int,
        *,
        keeps_id: bool = False,
        states_birth: bool = False,
    ) -> None:
        """Prepare the worker; the caller makes its server listen.

        With ``keeps_id`` it has the same id after each restart. With ``states_birth``
        it says when its incarnation has started, and its clock starts anew.
        """
        self.number = number
        self.lives = itertools.count()
        self.address = address
        self.keeps_id = keeps_id
        self.states_birth = states_birth
        self.born = 0
        self.clock_zero = 0.0
        self.up = asyncio.Event()
        self.up.set()
        self.rack = f"r1-{number // 4}"
        self.ledger = ledger
        self.rng = random.Random(seed * 1000 + number)
        self.faults = WorkerFaults()
        self.changed = asyncio.Condition()
        self.rate = SLOW_CLOCK_RATE if number % 3 == 2 else 1.0
        self._begin_life()

    def _begin_life(self) -> None:
        """Begin a new incarnation, which knows nothing of the former one."""
        life = next(self.lives)
        renamed = life and not self.keeps_id
        self.worker_id = f"i-{self.number:04x}" + (f"-{life}" if renamed else "")
        if self.states_birth:
            self.born = max(self.born + 1, int(time.time() * 1000))
            self.clock_zero = time.monotonic()
        self.seq = itertools.count(1)
        self.runs: dict[tuple[str, int], Run] = {}
        self.highest_runs: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.done_ends: dict[int, DoneEnd] = {}
        self.end_numbers = itertools.count(1)
        self.token = 0
        self.lease_expires_at = 0.0
        self.transports: set[Any] = set()
        self.server = HttpServer(self, routes)

    def listen(self, address: str) -> None:
        """Listen on ``ip:port``, now and after each crash."""
        self._listens_on = address
        self.server.listen(address)

    @property
    def down(self) -> bool:
        """Return whether the worker is down, and so carries out nothing."""
        return not self.up.is_set()

    def name_life(self) -> str:
        """Return the worker's id and, if it says when it started, its incarnation."""
        return f"{self.worker_id} born {self.born}" if self.born else self.worker_id

    async def crash_under(self, key: tuple[str, int]) -> None:
        """Crash because of a run that has just begun, and come back later."""
        await asyncio.sleep(CRASH_DELAY_S)
        if key not in self.runs or self.down:
            return
        self.ledger.crashes[key[0]] += 1
        await self.restart(self.rng.uniform(0.2, 6.0))

    async def restart(self, down_s: float) -> None:
        """Go down without a word, and come back ``down_s`` seconds later."""
        if self.down:
            return
        self.up.clear()
        for transport in self.transports:
            transport.abortConnection()
        ended, self.runs = list(self.runs.values()), {}
        self.lose_ends()
        for run in ended:
            await self._break_gang(run, "broken")
        await self.server.close()
        await asyncio.sleep(down_s)
        self._begin_life()
        self.server.listen(self._listens_on)
        self.up.set()

    def lose_ends(self) -> None:
        """Note that nobody can acknowledge these ends any more."""
        for end in self.done_ends.values():
            end.lost = True

    def read_clock(self) -> float:
        """Return the worker's own steady clock in seconds."""
        return (time.monotonic() - self.clock_zero) * self.rate

    def describe(self) -> dict[str, Any]:
        """Return the entry with which the worker registers in the store."""
        return {
            **self._state_birth(),
            "backend": "pool-a",
            "address": self.address,
            "zone": "d",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 8},
            "labels": ["a", self.rack],
            "clock_ms": self.read_clock() * 1000,
            "seq": next(self.seq),
        }

    async def end_due_runs(self) -> None:
        """End runs that are done, lost their lease or waited too long for members."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for key, run in list(self.runs.items()):
                if key not in self.runs:
                    continue
                if self.read_clock() > self.lease_expires_at:
                    await self.end(key, "lapsed")
                elif run.running_since is None:
                    if now - run.started_at > GANG_START_TIMEOUT_S:
                        await self.end(key, "alone")
                elif now - run.running_since > run.run_time_s:
                    failed = self.rng.random() < self.faults.fail_share
                    await self.end(key, "failed" if failed else "done")

    async def end(self, key: tuple[str, int], how: str) -> None:
        """End a run, and with it the other members of its gang."""
        run = self.runs.pop(key)
        await self._break_gang(run, "done" if how == "done" else "broken")
        await self._record_end(run, how)

    async def _break_gang(self, run: Run, how: str) -> None:
        """End the other members of a run's gang, if it is one."""
        if run.members > 1:
            for worker, other in self.ledger.list_members(run):
                if worker.runs.pop((other.task, other.run), None) is not None:
                    await worker._record_end(other, how)

    async def _record_end(self, ended: Run, how: str) -> None:
        task, run = ended.task, ended.run
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        number = next(self.end_numbers)
        if how == "done":
            end = self.done_ends[number] = DoneEnd(run, self.name_life(), number)
            self.ledger.record_done(ended, end)
        if how == "failed":
            self.ledger.failed.add(task)
        self.ended.append([number, task, run, how, ""])
        async with self.changed:
            self.changed.notify_all()

    def check_call(self, call: HttpCall, token: int) -> HttpReply | None:
        """Return a rejection if a call is for another incarnation or is fenced off."""
        if self.down:
            return HttpReply(503)
        requested = call.headers.get("x-target-instance", self.worker_id)
        if requested != self.worker_id:
            return HttpReply(421)
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        return None

    def reply(self, status: int = 200, **fields: Any) -> HttpReply:
        """Return an answer that carries the worker's clock."""
        return reply_json(
            {"clock_ms": self.read_clock() * 1000, **self._state_birth(), **fields},
            status=status,
        )

    def _state_birth(self) -> dict[str, int]:
        return {"born": self.born} if self.states_birth else {}

    def acknowledge(self, last_seen: int) -> None:
        """Forget the ends up to a number."""
        self._note_lapse()
        for number in [n for n in self.done_ends if n <= last_seen]:
            how = f"last_seen {last_seen} at {time.time():.3f} with token {self.token}"
            self.done_ends.pop(number).acknowledged_by = how
        self.ended = [row for row in self.ended if row[0] > last_seen]

    def _note_lapse(self) -> None:
        if self.read_clock() > self.lease_expires_at:
            for end in self.done_ends.values():
                end.lapsed = True

    def extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease of all runs, to at most 10 s from now."""
        self._note_lapse()
        limit = self.read_clock() + 10.0
        self.lease_expires_at = max(
            self.lease_expires_at, min(deadline_ms / 1000, limit)
        )

    async def apply_faults(self, call: HttpCall) -> bool:
        """Apply the faults; return whether the answer must be withheld.

        A call that is delayed until the worker has restarted is for its next
        incarnation to carry out or to reject.
        """
        self.transports.add(call.transport)
        if self.faults.silent:
            await call.disconnected.wait()
            return True
        if self.rng.random() < self.faults.late_share:
            await asyncio.sleep(self.faults.late_s)
            await self.up.wait()
            return True
        return False


@routes.route("POST", "/-/run-start")
async def start(worker: Worker, call: HttpCall) -> HttpReply:
    """Start a run of a task."""
    body = msgspec.json.decode(call.body)
    withheld = await worker.apply_faults(call)
    reply = worker.check_call(call, body["fencing_token"]) or _start_run(
        worker, body, late=withheld
    )
    if withheld:
        await call.disconnected.wait()
    return reply


def _start_run(worker: Worker, body: dict[str, Any], *, late: bool) -> HttpReply:
    task, run = body["task"], body["run"]
    if worker.faults.reject:
        return worker.reply(409, reason="room")
    if (task, run) in worker.runs:
        return worker.reply()
    if run <= worker.highest_runs.get(task, 0):
        return worker.reply(409, reason="old")
    takes, accelerators, members, *rest = [*body["spec"].split(), "0", "1"]
    if "advised" in rest:
        ticket = body.get("ticket", "")
        if not worker.ledger.advice.is_valid(ticket, task, worker.worker_id):
            worker.ledger.rejected_tickets.append(task)
            return worker.reply(409, reason="ticket")
    worker.extend_lease(body["deadline_ms"])
    begun = Run(task, run, time.monotonic(), float(takes), int(accelerators))
    begun.members = int(members)
    worker.ledger.record_start(worker, begun, late=late)
    worker.runs[task, run] = begun
    worker.ledger.begin_run(begun, time.monotonic())
    if "crash" in rest:
        crash = asyncio.ensure_future(worker.crash_under((task, run)))
        worker.ledger.tasks.add(crash)
    return worker.reply()


@routes.route("POST", "/-/run-stop")
async def stop(worker: Worker, call: HttpCall) -> HttpReply:
    """Stop all runs of a task, and reject start orders up to this run number."""
    body = msgspec.json.decode(call.body)
    withheld = await worker.apply_faults(call)
    reply = worker.check_call(call, body["fencing_token"])
    if reply is None:
        task = body["task"]
        worker.highest_runs[task] = max(body["run"], worker.highest_runs.get(task, 0))
        for key in [k for k in worker.runs if k[0] == task]:
            await worker.end(key, "stopped")
        reply = worker.reply()
    if withheld:
        await call.disconnected.wait()
    return reply


@routes.route("POST", "/-/hold")
async def hold(worker: Worker, call: HttpCall) -> HttpReply:
    """Extend the lease and return the running and ended runs, waiting for an end."""
    body = msgspec.json.decode(call.body)
    worker.transports.add(call.transport)
    if worker.faults.silent:
        await call.disconnected.wait()
    refused = worker.check_call(call, body["fencing_token"])
    if refused is not None:
        return refused
    if "deadline_ms" in body:
        worker.extend_lease(body["deadline_ms"])
    worker.acknowledge(body["last_seen"])
    if not worker.ended and body.get("wait_ms"):
        async with worker.changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(worker.changed.wait(), body["wait_ms"] / 1000)
    now = time.monotonic()
    running = [
        [r.task, r.run, "", _compute_percent_done(r, now)] for r in worker.runs.values()
    ]
    return worker.reply(running=running, ended=worker.ended[:MAX_ENDS_LISTED])


def _compute_percent_done(run: Run, now: float) -> int:
    if run.running_since is None:
        return 0
    return min(99, int(100 * (now - run.running_since) / max(run.run_time_s, 0.001)))
