import asyncio
import dataclasses
import random

from behave import given, then, when

from features.support.engine_chaos import Chaos
from features.support.engine_world import EngineWorld, make_job, make_step
from features.support.gang_faults import GangPlay
from firladder._internal.engine.state import Phase
from firladder._internal.models.order import EndedTask, RunningTask
from firladder._internal.models.workload import Resources

FIRST, SECOND = "w0", "w1"
NOTICED_WITHIN_S = 0.5


class CapacityWorld(EngineWorld):
    """An engine of two workers in racks of their own; jobs are named by number."""

    def __init__(self) -> None:
        super().__init__(2, per_rack=1)
        self.jobs: list[str] = []
        self.starts: list = []

    def submit_task(self, accelerators: int, *, priority=1, **fields) -> str:
        name = f"{accelerators}-{len(self.jobs)}"
        self.jobs.append(name)
        step = make_step(1, accelerators, **fields)
        self.submit(make_job(name, step, priority=priority, at=self.now))
        return name

    def resize(self, worker_id: str, accelerators: int) -> None:
        number = int(worker_id[1:])
        former = self.entries[number].capacity
        capacity = dataclasses.replace(former, accelerators=accelerators)
        self.entries[number] = dataclasses.replace(
            self.entries[number], capacity=capacity
        )
        self.core.register_worker(self.entries[number], now=self.now)

    def list_needs(self, worker_id: str = FIRST) -> list[int]:
        placements = self.core.workers[worker_id].placements.values()
        held = [p for p in placements if p.phase is not Phase.STOPPING]
        return sorted((p.need.accelerators for p in held), reverse=True)

    def end_task(self, name: str, how: str) -> None:
        placement = self.find_placement(name)
        worker = self.core.workers[placement.worker_id]
        self.now += 1.0
        others = [
            RunningTask(p.task, p.run, "", 10)
            for p in worker.placements.values()
            if p is not placement
        ]
        number = worker.last_end_read + 1
        ended = EndedTask(number, placement.task, placement.run, how, "")
        self.report(worker, others, [ended])

    def is_started(self, name: str) -> bool:
        self.now += 0.1
        self.accept(self.start_all())
        return any(p.is_active for p in self.find_unit(name).placements.values())

    def find_job(self, accelerators: int) -> str:
        return next(n for n in self.jobs if n.startswith(f"{accelerators}-"))


def parse_needs(text: str) -> list[int]:
    return [] if text == "none" else [int(part) for part in text.split(", ")]


@given("2 workers of 8 accelerators, of which the second is full")
def make_world(context):
    world = context.world = CapacityWorld()
    context.filler = world.submit_task(8)
    world.core.workers[FIRST].full_until = world.now + 0.001
    world.accept(world.start_all())
    assert world.list_needs(SECOND) == [8]
    world.now += 0.01


@given("tasks of 4, 2 and 2 accelerators whose starts are {state} to the first worker")
def plan_tasks(context, state):
    world = context.world
    for need in (4, 2, 2):
        world.submit_task(need)
    world.plan()
    if state != "not yet stored":
        world.make_durable()
    if state == "not answered":
        world.starts = world.core.take_starts()
        assert len(world.starts) == 3
    assert world.list_needs() == [4, 2, 2]


@given("a task of 4 and then an urgent one of 4 accelerators, not yet sent there")
def plan_urgent(context):
    world = context.world
    world.submit_task(4)
    context.urgent = world.submit_task(4, priority=0)
    world.plan()
    world.make_durable()
    assert world.list_needs() == [4, 4]


@given("tasks of 4, 2 and 2 accelerators that run on the first worker")
def run_tasks(context):
    plan_tasks(context, "not yet sent")
    context.world.accept(context.world.core.take_starts())


@given("a task of 4 accelerators that runs on the first worker")
def run_task(context):
    world = context.world
    world.submit_task(4)
    world.accept(world.start_all())
    assert world.list_needs() == [4]


@given("a task of 4 accelerators whose data is near the first worker")
def submit_near(context):
    rack = context.world.entries[0].rack
    context.near = context.world.submit_task(4, rack=rack)


@given("the first worker shrinks to {accelerators:d} accelerators")
@when("the first worker shrinks to {accelerators:d} accelerators")
@when("the first worker grows to {accelerators:d} accelerators")
def resize(context, accelerators):
    context.world.resize(FIRST, accelerators)


@when(
    "the first worker shrinks to {accelerators:d} accelerators while the second one is"
    " idle"
)
def shrink_beside_idle(context, accelerators):
    context.world.end_task(context.filler, "done")
    context.world.resize(FIRST, accelerators)


@when("the task of {accelerators:d} accelerators ends")
@when("a task of {accelerators:d} accelerators ends")
def end_task(context, accelerators):
    world = context.world
    world.end_task(world.find_job(accelerators), "done")


@when(
    "the task of {accelerators:d} accelerators is cancelled and the first worker"
    " shrinks to {size:d}"
)
def cancel(context, accelerators, size):
    world = context.world
    context.cancelled = world.find_job(accelerators)
    world.core.cancel_job(context.cancelled)
    world.resize(FIRST, size)


@when("the stop of the cancelled task ends")
def end_cancelled(context):
    context.world.end_task(context.cancelled, "stopped")


@then("tasks of {needs} accelerators are left there")
def check_left(context, needs):
    assert context.world.list_needs() == parse_needs(needs)


@then("no start beyond them is sent")
def check_starts(context):
    world = context.world
    world.make_durable()
    sent = sorted((p.need.accelerators for p in world.core.take_starts()), reverse=True)
    needs = [] if world.starts else world.list_needs()
    assert sent == needs, (sent, needs)


@then("the urgent task is left there")
def check_urgent(context):
    world = context.world
    placements = world.core.workers[FIRST].placements.values()
    held = [p.task.job_id for p in placements if p.phase is not Phase.STOPPING]
    assert held == [context.urgent], held


@then("a task of {accelerators:d} accelerator does not start")
@then("a task of {accelerators:d} accelerators does not start")
def check_not_started(context, accelerators):
    context.waiting = context.world.submit_task(accelerators)
    assert not context.world.is_started(context.waiting)


@then("a task of {accelerators:d} accelerator starts")
@then("a task of {accelerators:d} accelerators starts")
@then("it starts")
def check_started(context, accelerators=0):
    assert context.world.is_started(context.waiting)


@then("it starts on the second worker")
def check_second(context):
    world = context.world
    assert world.is_started(context.near)
    assert world.find_placement(context.near).worker_id == SECOND


@then("an urgent task of {accelerators:d} accelerators stops nothing there")
def check_no_preemption(context, accelerators):
    world = context.world
    context.waiting = world.submit_task(accelerators, priority=0)
    for _ in range(60):
        world.now += 0.1
        world.plan()
        assert not [p for p in world.core.take_stops(world.now) if p.worker_id == FIRST]
    assert world.core.workers[FIRST].free == Resources(28000, 61536, -2), (
        world.core.workers[FIRST].free
    )


@when(
    "{events:d} random events reach an engine whose workers shrink and grow, seed"
    " {seed:d}"
)
def play_resizing(context, events, seed):
    context.chaos = Chaos(random.Random(seed), resizing=True)
    context.chaos.play(events)


@then("no start exceeds the capacity of its worker, and much work is done")
def check_chaos(context):
    assert not context.chaos.problems, context.chaos.problems[:3]
    assert context.chaos.finished > 20, context.chaos.finished


@given(
    "a leader of {workers:d} workers, and jobs of {need:d} accelerators for {takes:d} s"
    " each {gap:f} s"
)
def prepare_play(context, workers, need, takes, gap):
    async def submit(play):
        for number in range(int(30 / gap)):
            play.submit(f"job-{number}", count=1, need=need, gang=False)
            await asyncio.sleep(gap)

    context.need = need
    context.submit_jobs = submit
    context.play = GangPlay(workers, takes_s=takes)


@when("one worker shrinks to {accelerators:d} accelerators for {seconds:d} s")
def shrink_for(context, accelerators, seconds):
    async def script(play):
        play.spawn(context.submit_jobs(play))
        await asyncio.sleep(8.0)
        context.shrunk_at = play.now
        play.machines[0].resize(accelerators)
        play.write_entry(play.machines[0])
        await asyncio.sleep(seconds)
        context.grown_at = play.now
        play.machines[0].resize(8)
        play.write_entry(play.machines[0])

    context.play.play(script, seconds=60.0)


def list_use(context, since, until):
    """Return what the worker held after each start there between two times."""
    members = [m for m in context.play.members if m.machine.number == 0]
    return [
        context.need
        * sum(m.started_at <= at < (m.ended_at or float("inf")) for m in members)
        for at in (m.started_at for m in members)
        if since <= at < until
    ]


@then("no start brings it over {accelerators:d} accelerators meanwhile")
def check_meanwhile(context, accelerators):
    since = context.shrunk_at + NOTICED_WITHIN_S
    use = list_use(context, since, context.grown_at)
    assert use, "nothing started there"
    assert max(use) <= accelerators, use


@then("it holds more than {accelerators:d} accelerators later, and each job is done")
def check_later(context, accelerators):
    use = list_use(context, context.grown_at, float("inf"))
    assert max(use) > accelerators, use
    assert set(context.play.jobs) == set(context.play.done_at)
