"""A simulated leader and simulated workers that run in virtual time."""

import asyncio
import contextlib
import dataclasses

from features.support.engine_world import EngineWorld
from features.support.virtual_time import VirtualClock
from firladder._internal.exceptions import NotSent, SentUnanswered
from firladder._internal.models.order import (
    EndedTask,
    RunningTask,
    WorkerReport,
)
from firladder._internal.node.link_backlog import LinkBacklog
from firladder._internal.node.order_window import OrderWindow
from firladder._internal.node.timeout_estimator import TimeoutEstimator
from firladder._internal.node.worker_session import (
    MAX_CLAIMS_IN_FLIGHT,
    WorkerSession,
)

NO_ANSWER = SentUnanswered(reason="no answer")
SHORTEST_WAIT_S = 1e-6


@dataclasses.dataclass
class SentCall:
    """An order or a poll that was sent to a worker."""

    at: float
    kind: str
    task: object = None
    run: int = 0


class FakeWorkerCalls:
    """Simulate the calls to workers, which answer after ``answer_s``.

    Each kind in ``lost`` makes the next call of that kind time out; a lost order is
    never executed. With ``silent``, all calls time out, and so do those to a worker in
    ``silent_workers``. Workers in ``refusing`` accept no connection. With a ``link``,
    orders leave one after the other at its rate.
    """

    def __init__(self, answer_s: float = 0.01) -> None:
        self.answer_s = answer_s
        self.lost: list[str] = []
        self.silent = False
        self.silent_workers: set[str] = set()
        self.refusing: set[str] = set()
        self.link: LinkBacklog | None = None
        self.running: dict = {}
        self.ended: dict[str, list[EndedTask]] = {}
        self._end_available = asyncio.Event()
        self.last_stopped_runs: dict = {}
        self.sent: list[SentCall] = []
        self.most_in_flight = 0
        self._in_flight = 0

    async def start(self, order, *, deadline_s, send_within_s, timeout_s):
        self._record_sent("start", order)
        if order.worker_id in self.refusing:
            await asyncio.sleep(send_within_s)
            return NotSent(reason="timed out before sending")
        return await self._execute("start", order, timeout_s)

    async def stop(self, order, *, send_within_s, timeout_s):
        self._record_sent("stop", order)
        return await self._execute("stop", order, timeout_s)

    async def poll(self, worker_id, address, *, wait_s, timeout_s, **fields):
        self.sent.append(SentCall(self._now(), "poll"))
        if worker_id in self.refusing:
            await asyncio.sleep(timeout_s)
            return NotSent(reason="timed out before sending")
        if await self._lose("poll", worker_id, timeout_s):
            return NO_ANSWER
        began_s = self._now()
        await asyncio.sleep(self.answer_s / 2)
        await self._await_end(worker_id, fields["acknowledged"], wait_s)
        running_tasks = tuple(
            RunningTask(task, run, "", 10.0)
            for (task, run), order in self.running.items()
            if order.worker_id == worker_id
        )
        ends = self._list_ends(worker_id, fields["acknowledged"])
        report = WorkerReport(self._now(), running_tasks, ends)
        await asyncio.sleep(self.answer_s / 2)
        return report if self._now() - began_s <= timeout_s else NO_ANSWER

    def _list_ends(self, worker_id: str, acknowledged: int) -> tuple[EndedTask, ...]:
        return tuple(
            e for e in self.ended.get(worker_id, ()) if e.number > acknowledged
        )

    async def _await_end(
        self, worker_id: str, acknowledged: int, wait_s: float
    ) -> None:
        until_s = self._now() + wait_s
        # A wait that is too short for the clock to advance would never end.
        while until_s - self._now() > SHORTEST_WAIT_S and not self._list_ends(
            worker_id, acknowledged
        ):
            self._end_available.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._end_available.wait(), until_s - self._now()
                )

    def _record_end(self, order) -> None:
        ends = self.ended.setdefault(order.worker_id, [])
        number = len(ends) + 1
        ends.append(EndedTask(number, order.task, order.run, "stopped", ""))
        self._end_available.set()

    async def _execute(self, kind, order, timeout_s):
        self._in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self._in_flight)
        try:
            return await self._answer(kind, order, timeout_s)
        finally:
            self._in_flight -= 1

    async def _answer(self, kind, order, timeout_s):
        if await self._lose(kind, order.worker_id, timeout_s):
            return NO_ANSWER
        await self._pass_link(order)
        await asyncio.sleep(self.answer_s / 2)
        if kind == "stop":
            self.last_stopped_runs[order.task] = max(
                order.run, self.last_stopped_runs.get(order.task, 0)
            )
            if self.running.pop((order.task, order.run), None) is not None:
                self._record_end(order)
        elif order.run > self.last_stopped_runs.get(order.task, 0):
            self.running[order.task, order.run] = order
        await asyncio.sleep(self.answer_s / 2)
        return self._now() if self.answer_s <= timeout_s else NO_ANSWER

    async def _pass_link(self, order) -> None:
        if self.link is not None:
            self.link.add(350 + len(getattr(order, "payload", "")))
            await asyncio.sleep(self.link.measure_s())

    async def _lose(self, kind: str, worker_id: str, timeout_s: float) -> bool:
        silent = self.silent or worker_id in self.silent_workers
        if not silent and kind not in self.lost:
            return False
        if not silent:
            self.lost.remove(kind)
        await asyncio.sleep(timeout_s)
        return True

    def _record_sent(self, kind: str, order) -> None:
        self.sent.append(SentCall(self._now(), kind, order.task, order.run))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class TickingClock(VirtualClock):
    """A virtual clock that advances 1 us per reading, so that readings are unique."""

    def read_monotonic(self) -> float:
        self.now += 1e-6
        return super().read_monotonic()


class SimulatedLeader:
    """Run an engine and its worker sessions as a leader does, without a store."""

    def __init__(self, workers: int, *, link_mbps: float = 1000.0) -> None:
        self.clock = TickingClock()
        self.engine = EngineWorld(workers)
        self.core = self.engine.core
        self.calls = FakeWorkerCalls()
        self.timeout_estimator = TimeoutEstimator()
        self.backlog = LinkBacklog(
            link_mbps=link_mbps, read_clock=self.clock.read_monotonic
        )
        self.order_window = OrderWindow(backlog=self.backlog, clock=self.clock)
        self.claim_window = asyncio.Semaphore(MAX_CLAIMS_IN_FLIGHT)
        self.durability_waiters = set()
        self.may_renew = True
        self.sessions: dict[str, WorkerSession] = {}
        self.order_waits_s: list[float] = []
        self._changed = asyncio.Event()

    def request_pass(self) -> None:
        self._changed.set()

    def spawn(self, work, *, name: str):
        return asyncio.create_task(work, name=name)

    def step_down(self, reason: str) -> None:
        raise AssertionError(reason)

    def record_order(
        self,
        kind: str,
        waited_s: float,
        took_s: float,
        *,
        answered: bool,
        urgent_start: bool,
    ) -> None:
        self.order_waits_s.append(waited_s)

    async def lead(self, until_s: float) -> None:
        """Plan and send orders as a leader does, until its clock reads ``until_s``."""
        self.sessions = {
            worker.worker_id: WorkerSession(self, worker)
            for worker in self.core.workers.values()
        }
        tasks = [
            asyncio.create_task(work)
            for session in self.sessions.values()
            for work in (session.watch(), session.send_orders())
        ]
        tasks.append(asyncio.create_task(self._tick()))
        tasks.append(asyncio.create_task(self._plan()))
        await asyncio.sleep(until_s - self.clock.read_monotonic())
        for task in tasks:
            assert not task.done() or task.exception() is None, task
            task.cancel()

    async def _tick(self) -> None:
        while True:
            self._changed.set()
            for session in self.sessions.values():
                session.wake()
            await asyncio.sleep(0.25)

    async def _plan(self) -> None:
        engine = self.engine
        while True:
            await self._changed.wait()
            await asyncio.sleep(0.004)
            self._changed.clear()
            engine.now = self.clock.read_monotonic()
            self.core.expire_runs(engine.now)
            for placement in engine.start_all():
                self.sessions[placement.worker_id].order(placement, start=True)
            for placement in self.core.take_stops(engine.now):
                self.sessions[placement.worker_id].order(placement, start=False)
