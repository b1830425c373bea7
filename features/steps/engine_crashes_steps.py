import dataclasses

import msgspec
import parse
from behave import given, register_type, then, when

from features.support.engine_world import LEASE_S, EngineWorld, make_job, make_step
from firladder._internal.engine.crashes import MAX_CRASHES
from firladder._internal.engine.progress import JobProgress, PlacedTask, decode_progress
from firladder._internal.engine.state import Crash
from firladder._internal.exceptions import WorkerReplaced
from firladder._internal.models.order import RunningTask

DOWN_S = 3.3
DRAIN_S = 60.0
LONG_AGO_S = 5.0
JUST_BEGUN_S = 0.5
ON_THE_WAY = "the start is on its way"
UNANSWERED = "the crash comes before the answer"
PLANNED = 'job "b" is only planned there'


@parse.with_pattern(
    r'nothing else|job "b" .*|the worker has .*|the start is .*|the crash comes .*'
)
def parse_before(text):
    return text


register_type(Before=parse_before)


class CrashWorld(EngineWorld):
    """An engine that places all tasks on its first worker, which crashes."""

    def __init__(self) -> None:
        super().__init__(4)
        self.lives = 0
        for worker in list(self.core.workers.values())[1:]:
            worker.full_until = float("inf")

    @property
    def worker(self):
        return self.core.workers[self.entries[0].worker_id]

    def submit_task(self, name, *, accelerators=4, attempts=3, **fields) -> None:
        step = make_step(1, accelerators, **fields)
        self.submit(make_job(name, step, attempts=attempts, at=self.now))

    def start(self, name) -> None:
        """Start a task and accept it, also if it first waits for another worker."""
        self.plan()
        self.now += 2.5
        self.accept(self.start_all())
        assert self.find_placement(name).is_active

    def come_back(self) -> None:
        """Register the next incarnation at the worker's address."""
        self.lives += 1
        worker_id = f"w0.{self.lives}"
        self.entries[0] = dataclasses.replace(
            self.entries[0], worker_id=worker_id, draining=False, leaves_in_s=None
        )
        self.claim(self.core.register_worker(self.entries[0], now=self.now))

    def drain(self) -> None:
        entry = dataclasses.replace(self.entries[0], draining=True, leaves_in_s=DRAIN_S)
        self.core.register_worker(entry, now=self.now)

    def close(self) -> None:
        self.core.mark_unreachable(self.worker, self.now, closed=True)

    def fall_silent(self) -> None:
        self.core.mark_unreachable(self.worker, self.now)

    def replace(self) -> None:
        """Lose the worker, and register its next incarnation."""
        self.now += DOWN_S
        self.core.lose_worker(self.worker.worker_id, "replaced", now=self.now)
        self.come_back()

    def crash(self) -> None:
        self.close()
        self.replace()

    def crash_under(self, name, *, after_s) -> None:
        self.start(name)
        self.now += after_s
        self.crash()


@given('4 workers of 8 accelerators and a job "a" that needs one of them')
def make_world(context):
    context.world = CrashWorld()
    context.fields = {}


def crash_under_other(world, times):
    for number in range(times):
        name = f"b{number}"
        world.submit_task(name)
        world.crash_under(name, after_s=JUST_BEGUN_S)
        world.core.cancel_job(name)


def run_other(world):
    world.submit_task("b")
    world.start("b")


def stop_other(world):
    run_other(world)
    world.core.cancel_job("b")


def crash_idle(world):
    former = world.worker.worker_id
    world.come_back()
    world.core.unregister_worker(former)


def drain_and_come_back(world):
    world.drain()
    world.core.unregister_worker(world.worker.worker_id)
    world.come_back()


def send_start(world, name, *, unanswered):
    world.start_all()
    placement = world.find_placement(name)
    world.core.record_start_sent(placement, world.now)
    placement.may_start_late = unanswered


def crash_unanswered(world):
    """Crash a worker whose last answer was long before a start, as if it were idle."""
    world.submit_task("c")
    world.now += JUST_BEGUN_S
    send_start(world, "c", unanswered=True)
    world.crash()
    world.core.cancel_job("c")


BEFORE = {
    "the worker has crashed under no answer": crash_unanswered,
    'job "b" runs there too': run_other,
    'job "b" was stopped there, unproved': stop_other,
    "the worker has crashed idle": crash_idle,
    'the worker has crashed once under "b"': lambda w: crash_under_other(w, 1),
    'the worker has crashed twice without "a"': lambda w: crash_under_other(w, 2),
    "the worker has drained and come back": drain_and_come_back,
}


def lapse(world):
    world.fall_silent()
    world.now += 2 * LEASE_S
    world.core.expire_runs(world.now)
    world.replace()


def refuse_after_silence(world):
    world.fall_silent()
    world.now += 4.0
    world.crash()


def close_and_answer(world):
    world.close()
    placement = world.find_placement("a")
    world.now += 0.1
    world.report(world.worker, [RunningTask(placement.task, placement.run, "", 10)])


def crash_later(world):
    close_and_answer(world)
    world.now += LONG_AGO_S
    world.replace()


def answer_between(world):
    close_and_answer(world)
    world.now += 1.0
    world.fall_silent()
    world.replace()


def drain_and_leave(world):
    world.drain()
    world.now += DRAIN_S
    world.crash()


def fall_silent_and_leave(world):
    world.fall_silent()
    world.replace()


def replace_before_answer(world):
    answer = WorkerReplaced(reason="replaced")
    world.core.handle_start_answer(world.find_placement("a"), answer, world.now)


def replace_after_lost_poll(world):
    world.now += LONG_AGO_S
    world.fall_silent()
    world.now += 0.3
    world.core.lose_worker(world.worker.worker_id, "replaced", now=world.now)
    world.come_back()


def crash_draining(world):
    world.drain()
    world.now += 0.1
    world.crash()


LOSSES = {
    "is replaced with one poll lost": replace_after_lost_poll,
    "crashes as it begins to drain": crash_draining,
    "crashes": CrashWorld.crash,
    "closes and crashes later": crash_later,
    "drains and is replaced": drain_and_leave,
    "is silent and is replaced": fall_silent_and_leave,
    "is silent for 4 s, then refuses, and is replaced": refuse_after_silence,
    "is silent until its runs lapse, and is replaced": lapse,
    "closes, answers again, falls silent, and is replaced": answer_between,
    "is replaced before it answers": replace_before_answer,
}


@given("{before:Before}")
def prepare(context, before):
    context.before = before
    BEFORE.get(before, lambda _world: None)(context.world)


@when('"a" runs there for {seconds:g} s and the worker {goes}')
def lose_under(context, seconds, goes):
    world, before = context.world, context.before
    world.submit_task("a")
    if before in (ON_THE_WAY, UNANSWERED):
        send_start(world, "a", unanswered=before == UNANSWERED)
    else:
        world.start("a")
    if before == PLANNED:
        world.submit_task("b")
        assert world.plan() == 1
    world.now += seconds
    context.unit = world.find_unit("a")
    LOSSES[goes](world)


@when('"a" starts there {seconds:g} s after the worker\'s last answer, and it crashes')
@when(
    '"a" starts there {seconds:g} s after the worker\'s last answer, and it crashes,'
    " {times:d} times"
)
def lose_unanswered(context, seconds, times=1):
    world = context.world
    world.submit_task("a")
    context.unit = world.find_unit("a")
    for _ in range(times):
        world.now += seconds
        send_start(world, "a", unanswered=True)
        world.crash()


@then('the crash of "a" is charged with two signs')
def check_two_signs(context):
    assert [c.signs for c in context.unit.crashes] == [2], context.unit.crashes


@then('the crash of "a" is not proved')
def check_unproven(context):
    found = [(c.unproven, c.signs) for c in context.unit.crashes]
    assert found == [(True, 0)], context.unit.crashes
    assert not context.unit.charged


@then('a crash is charged to "a", sole {sole}, prompt {prompt}, unstable {unstable}')
def check_charged(context, sole, prompt, unstable):
    found = [(c.sole, c.prompt, c.unstable) for c in context.unit.crashes]
    assert not any(c.unproven for c in context.unit.crashes), context.unit.crashes
    assert found == [(sole == "yes", prompt == "yes", unstable == "yes")], found


@then('no crash is charged to "{name}"')
def check_not_charged(context, name):
    crashes = context.world.find_unit(name).crashes
    charged = [c for c in crashes if not c.cleared]
    assert not charged, charged


@when("both run there for {seconds:g} s again and the worker crashes")
def crash_under_both(context, seconds):
    world = context.world
    world.crash_under("a", after_s=seconds)
    assert len(world.find_unit("b").crashes) == 2


@when("both are planned again, with room for both on each worker")
def plan_both(context):
    for worker in context.world.core.workers.values():
        worker.full_until = 0.0
    context.world.now += 3.0
    assert context.world.plan() == 2


@then("they run on different workers")
def check_apart(context):
    world = context.world
    used = {world.find_placement(name).worker_id for name in ("a", "b")}
    assert len(used) == 2, used


@given('the tasks of "a" last until it is cancelled')
def let_last(context):
    context.fields["lasting"] = True


@when('"a" has crashes of {signs:d} signs each, {count:d} of them')
@when(
    '"a" has crashes of {signs:d} signs each, {count:d} of them, all long after its'
    " start"
)
def crash_often(context, signs, count):
    world = context.world
    if "a" not in world.core.jobs:
        world.submit_task("a", **context.fields)
    if "b" in world.core.jobs:
        world.find_unit("b").backoff_until = float("inf")
    for _ in range(count):
        if not signs:
            crash_idle(world)
        world.crash_under("a", after_s=JUST_BEGUN_S if signs == 2 else LONG_AGO_S)
    world.make_durable()


@then('the job is shown as "{state}"')
def check_shown(context, state):
    world = context.world
    assert world.core.read_state("a").value == state, world.find_unit("a").crashes


@when('the record of "a" lacks the fields that tell of crashes')
def strip_record(context):
    world = context.world
    world.submit_task("a")
    world.start("a")
    world.crash()
    world.start("a")
    world.make_durable()
    assert decode_progress(world.stored["a"]).units[0].crashes
    state, units, *rest = msgspec.msgpack.decode(world.stored["a"])
    former = [state, [unit[:6] for unit in units], *rest[:3]]
    world.stored["a"] = msgspec.msgpack.encode(former)


@then("a successor reads its run, and no crash")
def check_read(context):
    world = context.world
    world.succeed()
    unit = world.find_unit("a")
    assert (unit.run, unit.crashes) == (2, set()), (unit.run, unit.crashes)


class FormerUnit(msgspec.Struct, array_like=True):
    """A unit's progress without crashes."""

    number: int
    state: str
    run: int
    failed_runs: tuple[int, ...]
    checkpoint: str
    placed: tuple[PlacedTask, ...]


class FormerProgress(msgspec.Struct, array_like=True):
    """A job's progress without the workers whose loss is explained."""

    state: str
    units: tuple[FormerUnit, ...]
    addresses: dict[str, str]
    ended_at: float
    lapses: dict[str, float]


@then("a decoder without the fields that tell of crashes reads the record")
def check_read_by_former(context):
    stored = context.world.stored["a"]
    former = msgspec.msgpack.decode(stored, type=FormerProgress)
    newer = msgspec.msgpack.decode(stored, type=JobProgress)
    assert newer.units[0].crashes
    assert former.state == newer.state.value
    assert former.units[0].run == newer.units[0].run


@when('"b" has as many crashes without signs as it may have but one')
def charge_other(context):
    world = context.world
    run_other(world)
    placement = world.find_placement("b")
    world.find_unit("b").crashes = {
        Crash(
            -number,
            0,
            f"gone-{number}",
            sole=False,
            prompt=False,
            late=False,
            unstable=False,
        )
        for number in range(1, MAX_CRASHES[0])
    }
    world.end(placement, "stopped")


@when("both run there and the worker crashes")
def crash_with_both(context):
    world = context.world
    world.find_unit("b").backoff_until = 0.0
    placed = {}
    for name in ("b", "a"):
        unit = world.find_unit(name)
        world.core.plan_run(unit, [world.worker.worker_id])
        placed[name] = unit.placements[0]
    world.make_durable()
    world.accept(world.core.take_starts())
    assert all(p.is_active for p in placed.values())
    world.now += JUST_BEGUN_S
    world.crash()
    world.make_durable()


@then('job "b" goes on')
def check_goes_on(context):
    world = context.world
    assert world.core.read_state("b").value == "running"
    charged = [c for c in world.find_unit("b").crashes if not c.cleared]
    assert len(charged) == MAX_CRASHES[0] - 1


@when(
    '"a" has run {seconds:g} s before one crash, and just begun before {count:d} others'
)
def crash_at_other_times(context, seconds, count):
    world = context.world
    world.submit_task("a")
    world.start("a")
    world.now += seconds
    placement = world.find_placement("a")
    world.report(world.worker, [RunningTask(placement.task, placement.run, "", 40)])
    world.crash()
    for _ in range(count):
        world.crash_under("a", after_s=JUST_BEGUN_S)
    world.make_durable()
