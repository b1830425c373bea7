"""Workers that answer orders and looks as a scenario says, on a virtual clock."""

import asyncio
import dataclasses

from features.support.engine_world import EngineWorld
from features.support.virtual_time import LoopClock
from firladder._internal.exceptions import SentUnanswered
from firladder._internal.models.order import RunningTask, WorkerReport
from firladder._internal.node.attendant import Attendant

NO_ANSWER = SentUnanswered(reason="no answer")


@dataclasses.dataclass
class Sent:
    """An order or a look that left for a worker."""

    at: float
    kind: str
    task: object = None
    run: int = 0


class FakeWorkerCalls:
    """Answers after ``answer_s``; the calls whose turn is in ``lost`` get none.

    A lost order is never carried out, unless ``lost_take_effect``.
    """

    def __init__(self, answer_s: float = 0.01) -> None:
        self.answer_s = answer_s
        self.lost: list[str] = []
        self.lost_take_effect = False
        self.silent = False
        self.running: dict = {}
        self.barred: dict = {}
        self.sent: list[Sent] = []

    def count(self, kind: str) -> int:
        return sum(s.kind == kind for s in self.sent)

    async def start(self, order, *, deadline_s, **limits):
        self._note("start", order)
        if await self._lose("start", limits):
            if self.lost_take_effect:
                self._begin(order)
            return NO_ANSWER
        self._begin(order)
        return self._now()

    async def stop(self, order, **limits):
        self._note("stop", order)
        if await self._lose("stop", limits):
            return NO_ANSWER
        self.barred[order.task] = max(order.run, self.barred.get(order.task, 0))
        self.running.pop((order.task, order.run), None)
        return self._now()

    async def look(self, worker_id, address, *, wait_s, timeout_s, **fields):
        self.sent.append(Sent(self._now(), "look"))
        if await self._lose("look", {"timeout_s": timeout_s}):
            return NO_ANSWER
        await asyncio.sleep(wait_s)
        rows = tuple(RunningTask(t, r, "", 10.0) for t, r in self.running)
        return WorkerReport(self._now(), rows, ())

    def _begin(self, order) -> None:
        if order.run > self.barred.get(order.task, 0):
            self.running[order.task, order.run] = order

    async def _lose(self, kind: str, limits: dict) -> bool:
        timeout_s = limits.get("timeout_s", 0.35)
        if not self.silent and kind not in self.lost:
            lost = self.answer_s > timeout_s
            await asyncio.sleep(min(self.answer_s, timeout_s))
            return lost
        if not self.silent:
            self.lost.remove(kind)
        await asyncio.sleep(timeout_s)
        return True

    def _note(self, kind: str, order) -> None:
        self.sent.append(Sent(self._now(), kind, order.task, order.run))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class TickingClock(LoopClock):
    """Goes on by a microsecond with each reading, so that no two are the same."""

    def read_monotonic(self) -> float:
        self.now += 1e-6
        return super().read_monotonic()


class AttendedWorkers:
    """An engine whose workers are attended as a leader does it."""

    def __init__(self, workers: int) -> None:
        self.clock = TickingClock()
        self.engine = EngineWorld(workers)
        self.core = self.engine.core
        self.calls = FakeWorkerCalls()
        self.may_renew = True
        self.attendants: dict[str, Attendant] = {}
        self.waits: list[float] = []
        self._changed = asyncio.Event()

    def note_change(self) -> None:
        self._changed.set()

    def step_down(self, reason: str) -> None:
        raise AssertionError(reason)

    def note_order(self, kind: str, waited_s: float, took_s: float) -> None:
        self.waits.append(waited_s)

    async def lead(self, until: float) -> None:
        """Plan, store and send as a leader does, up to ``until`` on its clock."""
        self.attendants = {
            worker.worker_id: Attendant(self, worker)
            for worker in self.core.workers.values()
        }
        tasks = [
            asyncio.create_task(work)
            for attendant in self.attendants.values()
            for work in (attendant.watch(), attendant.carry_orders())
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
            for attendant in self.attendants.values():
                attendant.wake()
            await asyncio.sleep(0.25)

    async def _plan(self) -> None:
        engine = self.engine
        while True:
            await self._changed.wait()
            await asyncio.sleep(0.004)
            self._changed.clear()
            engine.now = self.clock.read_monotonic()
            self.core.check_lapses(engine.now)
            for placement in engine.start_all():
                self.attendants[placement.worker_id].order(placement, start=True)
            for placement in self.core.take_stops(engine.now):
                self.attendants[placement.worker_id].order(placement, start=False)
