"""Workers that answer orders and looks as a scenario says, on a virtual clock."""

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
from firladder._internal.node.timeout_estimator import TimeoutEstimator
from firladder._internal.node.worker_session import WorkerSession

NO_ANSWER = SentUnanswered(reason="no answer")


@dataclasses.dataclass
class Sent:
    """An order or a look that left for a worker."""

    at: float
    kind: str
    task: object = None
    run: int = 0


class FakeWorkerCalls:
    """Answers after ``answer_s``; the next calls of the kinds in ``lost`` get none.

    A lost order is never carried out. Workers in ``refusing`` take no connection.
    """

    def __init__(self, answer_s: float = 0.01) -> None:
        self.answer_s = answer_s
        self.lost: list[str] = []
        self.silent = False
        self.refusing: set[str] = set()
        self.running: dict = {}
        self.ended: dict[str, list[EndedTask]] = {}
        self._end_listed = asyncio.Event()
        self.barred: dict = {}
        self.sent: list[Sent] = []

    async def start(self, order, *, deadline_s, send_within_s, timeout_s):
        self._note("start", order)
        if order.worker_id in self.refusing:
            await asyncio.sleep(send_within_s)
            return NotSent(reason="timed out before sending")
        return await self._carry_out("start", order, timeout_s)

    async def stop(self, order, *, send_within_s, timeout_s):
        self._note("stop", order)
        return await self._carry_out("stop", order, timeout_s)

    async def poll(self, worker_id, address, *, wait_s, timeout_s, **fields):
        self.sent.append(Sent(self._now(), "look"))
        if worker_id in self.refusing:
            await asyncio.sleep(timeout_s)
            return NotSent(reason="timed out before sending")
        if await self._lose("look", timeout_s):
            return NO_ANSWER
        began = self._now()
        await asyncio.sleep(self.answer_s / 2)
        await self._await_end(worker_id, fields["acknowledged"], wait_s)
        rows = tuple(
            RunningTask(task, run, "", 10.0)
            for (task, run), order in self.running.items()
            if order.worker_id == worker_id
        )
        ends = self._list_ends(worker_id, fields["acknowledged"])
        report = WorkerReport(self._now(), rows, ends)
        await asyncio.sleep(self.answer_s / 2)
        return report if self._now() - began <= timeout_s else NO_ANSWER

    def _list_ends(self, worker_id: str, seen: int) -> tuple[EndedTask, ...]:
        return tuple(e for e in self.ended.get(worker_id, ()) if e.number > seen)

    async def _await_end(self, worker_id: str, seen: int, wait_s: float) -> None:
        until = self._now() + wait_s
        while self._now() < until and not self._list_ends(worker_id, seen):
            self._end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), until - self._now())

    def _end(self, order) -> None:
        ends = self.ended.setdefault(order.worker_id, [])
        number = len(ends) + 1
        ends.append(EndedTask(number, order.task, order.run, "stopped", ""))
        self._end_listed.set()

    async def _carry_out(self, kind, order, timeout_s):
        if await self._lose(kind, timeout_s):
            return NO_ANSWER
        await asyncio.sleep(self.answer_s / 2)
        if kind == "stop":
            self.barred[order.task] = max(order.run, self.barred.get(order.task, 0))
            if self.running.pop((order.task, order.run), None) is not None:
                self._end(order)
        elif order.run > self.barred.get(order.task, 0):
            self.running[order.task, order.run] = order
        await asyncio.sleep(self.answer_s / 2)
        return self._now() if self.answer_s <= timeout_s else NO_ANSWER

    async def _lose(self, kind: str, timeout_s: float) -> bool:
        if not self.silent and kind not in self.lost:
            return False
        if not self.silent:
            self.lost.remove(kind)
        await asyncio.sleep(timeout_s)
        return True

    def _note(self, kind: str, order) -> None:
        self.sent.append(Sent(self._now(), kind, order.task, order.run))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class TickingClock(VirtualClock):
    """Goes on by a microsecond with each reading, so that no two are the same."""

    def read_monotonic(self) -> float:
        self.now += 1e-6
        return super().read_monotonic()


class SimulatedLeader:
    """An engine whose workers are attended as a leader does it."""

    def __init__(self, workers: int) -> None:
        self.clock = TickingClock()
        self.engine = EngineWorld(workers)
        self.core = self.engine.core
        self.calls = FakeWorkerCalls()
        self.timeout_estimator = TimeoutEstimator()
        self.may_renew = True
        self.sessions: dict[str, WorkerSession] = {}
        self.waits: list[float] = []
        self._changed = asyncio.Event()

    def request_pass(self) -> None:
        self._changed.set()

    def spawn(self, work, *, name: str):
        return asyncio.create_task(work, name=name)

    def step_down(self, reason: str) -> None:
        raise AssertionError(reason)

    def record_order(self, kind: str, waited_s: float, took_s: float) -> None:
        self.waits.append(waited_s)

    async def lead(self, until: float) -> None:
        """Plan, store and send as a leader does, up to ``until`` on its clock."""
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
        await asyncio.sleep(until - self.clock.read_monotonic())
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
