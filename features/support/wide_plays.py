"""Random plays with restarts, stalls, overtaken answers and small tasks.

They look for starts of tasks that have ended as done, whatever else goes wrong.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import heapq
import logging
import random

from features.support.crash_plays import find_double_runs
from features.support.engine_world import make_step
from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault
from features.support.virtual_time import VirtualLoop
from firladder._internal.models.workload import Resources
from firladder._internal.utils import tasks

MACHINES = 6
EVENTS_UNTIL_S = 20.0
SECONDS = 60.0
STUCK_S = 20.0
"""Seconds without a start from which open jobs count as stuck: tasks that crashes were
charged to run alone, which takes long for a wide job."""
SMALL = Resources(40, 40, 0)
LEADER: contextvars.ContextVar[int] = contextvars.ContextVar("leader", default=0)


class FailedTasks(logging.Handler):
    """Collects what is logged of background tasks that have ended by an exception."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.found.append(f"{record.getMessage()}: {record.exc_info}")


@contextlib.contextmanager
def collect_failed_tasks():
    handler = FailedTasks()
    tasks.logger.addHandler(handler)
    try:
        yield handler.found
    finally:
        tasks.logger.removeHandler(handler)


class StallingLoop(VirtualLoop):
    """Lets one leader's process stand still while everything else goes on.

    Its callbacks are kept until it goes on. Then its timers fire first, as those of a
    process do that has not read its sockets yet.
    """

    def __init__(self):
        super().__init__()
        self._stalled: dict[int, float] = {}
        self._held: dict[int, list] = {}

    def stall(self, leader: int, seconds: float) -> None:
        until = self.time() + seconds
        self._stalled[leader] = max(until, self._stalled.get(leader, 0.0))
        # The loop must wake up for the end of the stall.
        self.call_at(until, lambda: None)

    def _run_once(self):
        while True:
            self._take_due_timers()
            self._release()
            self._hold()
            if self._ready or not self._scheduled:
                break
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()

    def _take_due_timers(self):
        while self._scheduled and self._scheduled[0]._when <= self._now:
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
            if timer._cancelled:
                self._timer_cancelled_count -= 1
            else:
                self._ready.append(timer)

    def _release(self):
        for leader, until in list(self._stalled.items()):
            if self._now >= until:
                del self._stalled[leader]
                held = self._held.pop(leader, [])
                held.sort(
                    key=lambda handle: not isinstance(handle, asyncio.TimerHandle)
                )
                self._ready.extendleft(reversed(held))

    def _hold(self):
        if not self._stalled:
            return
        for handle in list(self._ready):
            leader = handle._context.get(LEADER, 0)
            if leader in self._stalled:
                self._ready.remove(handle)
                self._held.setdefault(leader, []).append(handle)


class WidePlay(GangPlay):
    """A play whose leaders may stand still, and whose tasks differ in length."""

    loop_factory = StallingLoop

    def __init__(self, machines: int, **options) -> None:
        super().__init__(machines, **options)
        self.events: list[tuple] = []
        self.takes_by_job: dict[str, float] = {}
        self.lasting: set[str] = set()
        self._world = contextvars.copy_context()

    def spawn(self, work) -> asyncio.Task:
        """Run ``work`` outside any leader's process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(work, context=self._world.copy())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def spawn_leader(self, term) -> asyncio.Task:
        process = self._world.copy()
        process.run(LEADER.set, term.leadership.token)
        task = asyncio.get_running_loop().create_task(term.run(), context=process)
        self._tasks.add(task)
        return task

    def stall_leader(self, seconds: float) -> None:
        token = self.terms[-1][0].leadership.token
        asyncio.get_running_loop().stall(token, seconds)

    def begin(self, machine, order, *, sent_at) -> None:
        self.takes_s = self.takes_by_job.get(order.task.job_id, 3.0)
        super().begin(machine, order, sent_at=sent_at)

    def end_all(self, machine, how: str) -> None:
        """End everything on a machine at one moment."""
        for key in list(machine.running):
            if key in machine.running:
                self.end(machine, key, how)

    def slow_down(self, machine) -> None:
        """Let everything on a machine stand still for some seconds."""
        for member in machine.running.values():
            member.takes_s += 7.0


@dataclasses.dataclass(frozen=True)
class Draws:
    """What a play may contain besides restarts, cuts, outages and failures.

    ``outliving`` has the kinds of calls that reach a later life of a worker than they
    were meant for.
    """

    leaders: bool = False
    stalls: bool = True
    keep_ids: bool = True
    report_limits: tuple[int, ...] = (2, 5, 20, 500)
    outliving: frozenset[str] = frozenset()


def draw_steps(rng: random.Random) -> list:
    """Return one or more steps, some of odd shape."""
    kind = rng.choice(("small", "small", "gang", "large", "odd", "several", "apart"))
    if kind == "small":
        return [dataclasses.replace(make_step(rng.randint(20, 90)), need=SMALL)]
    if kind == "odd":
        need = rng.choice((Resources(), Resources(100, 0, 0), Resources(0, 10, 0)))
        return [dataclasses.replace(make_step(rng.randint(1, 30)), need=need)]
    if kind == "several":
        first = dataclasses.replace(make_step(rng.randint(1, 12)), need=SMALL)
        return [first, make_step(rng.randint(1, 3), 2, after=(0,))]
    if kind == "apart":
        most = rng.randint(1, 3)
        return [make_step(rng.randint(2, 8), 1, most_per_worker=most)]
    gang = kind == "gang"
    return [make_step(rng.randint(1, 4), rng.choice((1, 2, 4, 8)), gang=gang)]


async def submit_jobs(play: WidePlay, rng: random.Random) -> None:
    """Submit jobs of all shapes, and some that last."""
    for number in range(16):
        name = f"{number:016x}"
        steps = draw_steps(rng)
        play.takes_by_job[name] = rng.choice((0.03, 0.3, 1.0, 2.5))
        if rng.random() < 0.1:
            play.lasting.add(name)
            play.takes_by_job[name] = 1e9
            steps = [make_step(rng.randint(1, 3), 1, lasting=True)]
        play.submit_steps(name, *steps, priority=rng.randint(0, 2))
        await asyncio.sleep(rng.uniform(0.0, 1.5))


def draw_faults(rng: random.Random) -> list[Fault]:
    """Return faults of some calls in the first part of a play."""
    share = rng.choice((0.0, 0.02, 0.05, 0.1, 0.2))
    fates = (Fate.LOST, Fate.UNANSWERED, Fate.LATE, Fate.DOUBLED, Fate.OVERTAKEN)
    return [
        Fault(
            rng.choice(("start", "stop", "poll", "poll", "any")),
            None,
            fate,
            share=share,
            until=EVENTS_UNTIL_S,
            late_s=rng.choice((0.2, 0.5, 1.0, 2.0, 6.0)),
        )
        for fate in rng.sample(fates, 3)
    ]


async def disturb(play: WidePlay, rng: random.Random, draws: Draws) -> None:
    """Let one thing after the other go wrong, on several machines at once."""
    kinds = ["restart", "restart", "restart", "cut", "outage", "fail", "slow"]
    kinds += ["stall", "stall"] * draws.stalls
    kinds += ["killed", "handed over", "cut off"] * draws.leaders
    while play.now < EVENTS_UNTIL_S:
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        kind = rng.choice(kinds)
        chosen = rng.sample(play.machines, rng.randint(1, len(play.machines)))
        play.events.append((round(play.now, 2), kind, [m.number for m in chosen]))
        if kind == "stall":
            play.stall_leader(rng.choice((0.4, 0.8, 1.2, 2.5, 5.0, 9.0)))
        elif kind == "outage":
            until = play.now + rng.uniform(0.3, 6.0)
            play.store.outages.append((play.now, until))
        elif kind in ("killed", "handed over", "cut off"):
            await play.succeed(kind)
        else:
            down_s = rng.choice((0.02, 0.2, 1.0, 3.0))
            until = play.now + rng.uniform(0.5, 12.0)
            for machine in chosen:
                strike(play, kind, machine, down_s=down_s, until=until)


def strike(play: WidePlay, kind: str, machine, *, down_s: float, until: float) -> None:
    """Let something happen to one machine."""
    if kind == "restart" and not machine.down:
        play.spawn(play.restart_machine(machine.number, down_s=down_s))
    elif kind == "cut":
        play.faults.append(Fault("any", machine.number, Fate.LOST, until=until))
    elif kind == "fail":
        play.end_all(machine, "failed")
    elif kind == "slow":
        play.slow_down(machine)


def play_wide(seed: int, draws: Draws | None = None) -> WidePlay:
    """Play jobs of all shapes on six machines that restart under their ids."""
    rng = random.Random(seed)
    draws = draws or Draws(leaders=seed % 2 == 1)
    play = WidePlay(
        MACHINES,
        faults=draw_faults(rng),
        seed=seed,
        per_rack=3,
        keep_ids=draws.keep_ids and rng.random() < 0.8,
    )
    play.report_limit = rng.choice(draws.report_limits)
    play.outliving = draws.outliving

    async def script(play: WidePlay) -> None:
        play.spawn(submit_jobs(play, rng))
        await disturb(play, rng, draws)

    with collect_failed_tasks() as play.failed_tasks:
        return play.play(script, seconds=SECONDS)


def describe_pair(first, later) -> str:
    """Return where and when two runs of a task were."""
    return " / ".join(
        f"run {m.run} on {m.machine.number} from {m.started_at:.2f} to"
        f" {m.ended_at or 0.0:.2f} {m.how}, sent {m.sent_at:.2f}"
        for m in (first, later)
    )


def find_double_starts(play: WidePlay) -> list[str]:
    """Return the tasks that ran twice at one moment, or after an end as done."""
    after_done = [
        f"started after done: {a.task} {describe_pair(a, b)}"
        for a, b in play.find_starts_after_done()
        if a.task.job_id not in play.lasting
    ]
    return after_done + [f"twice: {found}" for found in find_double_runs(play)]


def find_stuck(play: WidePlay) -> list[str]:
    """Return the jobs without an outcome if nothing has started for long."""
    newest = max((m.started_at for m in play.members), default=0.0)
    if newest >= SECONDS - STUCK_S:
        return []
    term, _ = play.terms[-1]
    return [
        name
        for name in play.jobs
        if name not in play.lasting
        and term.core.read_state(name).value not in ("completed", "failed")
    ]


def find_wide_problems(play: WidePlay) -> list[str]:
    """Return all that a play shows and that must not happen."""
    failed = [f"ended by an exception: {found}" for found in play.failed_tasks]
    stuck = [f"stuck: {name}" for name in find_stuck(play)]
    return find_double_starts(play) + failed + stuck
