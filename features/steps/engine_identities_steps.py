import asyncio
import dataclasses

from behave import given, then, when

from features.steps.engine_restarted_workers_steps import BORN, RestartWorld
from features.support.engine_world import LEASE_S, EngineWorld, make_job, make_step
from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault, make_records
from firladder._internal.engine import leases
from firladder._internal.engine.state import JobState, Phase, UnitState
from firladder._internal.exceptions import NotFound, OutcomeUnknown
from firladder._internal.models.order import EndedTask
from firladder._internal.node.keys import CANCELS, PROGRESS
from firladder._internal.node.records import _read_progress
from firladder._internal.platform.store import Item

SILENT_JOB = "0000000000000001"


@given("a poll that acknowledges them is on its way when the worker starts again")
def send_poll(context):
    world = context.world
    context.late = world.worker.choose_acknowledgement()
    assert context.late == 10
    leases.record_acknowledgement_sent(world.worker, now=world.now)
    world.restart()
    world.core.register_worker(world.entries[0], now=world.now)
    world.poll()


@given("10 other tasks are to start")
def submit_next(context):
    context.placements = context.world.start_tasks("second", 10)


@when("that poll arrives there after {seconds:d} s")
def poll_late(context, seconds):
    world = context.world
    world.now += seconds
    body = f'{{"last_seen": {context.late}}}'.encode()
    asyncio.run(world.listing.call("POST", "", body=body))
    context.placements += world.start_all()


@then("none of them has started before")
def check_not_started(context):
    assert not context.placements, context.placements


@then("each of them starts and ends once after {seconds:d} s")
def check_once(context, seconds):
    world = context.world
    world.now += seconds
    placements = world.start_all()
    assert len(placements) == 10
    world.accept(placements)
    for placement in placements:
        world.listing.end(placement)
    world.follow()
    assert world.core.read_state("second") is JobState.COMPLETED
    assert not world.start_all()


@given("a worker started again under its id, which an answer showed")
def restart_by_answer(context):
    world = context.world = RestartWorld()
    context.former = world.entries[0]
    world.poll()
    world.restart()
    world.poll()
    world.poll()
    assert world.worker.entry.born == world.listing.born > BORN


@given("a task runs in that next life")
def run_task(context):
    world = context.world
    placements = world.start_tasks("first", 1)
    world.accept(placements)
    world.listing.run(placements[0])
    world.poll()
    world.make_durable()


@when("a successor reads an entry of its former life")
def succeed_by_former_entry(context):
    context.world.entries[0] = context.former
    context.world.succeed()


@when("polls the worker")
def poll_thrice(context):
    for _ in range(3):
        context.world.poll()


@then("the task is at work, not stopped and not charged")
def check_at_work(context):
    unit = context.world.find_unit("first")
    phases = [p.phase for p in unit.placements.values()]
    assert (phases, unit.crashes) == ([Phase.ACTIVE], set()), (phases, unit.crashes)


@given("a worker lists the end of a job that is set aside")
def set_aside(context):
    world = context.world = RestartWorld()
    placement = world.start_tasks("unread", 1)[0]
    world.accept([placement])
    world.stored.pop("unread")
    world.accepted.pop("unread")
    world.succeed()
    world.core.set_job_aside("unread", "cut short")
    world.listing.end(placement)
    world.poll()


@when("600 tasks of other jobs are done there")
def do_many(context):
    world = context.world
    for number in range(60):
        placements = world.start_tasks(f"other{number}", 10)
        world.accept(placements)
        for placement in placements:
            world.listing.end(placement)
        world.follow()


@then("the leader has read all of their ends")
def check_all_read(context):
    world = context.world
    states = [world.core.read_state(f"other{n}") for n in range(60)]
    done = states.count(JobState.COMPLETED)
    assert done == 60, f"{done} of 60 jobs; {len(world.listing.ends)} ends listed"


@given("a job of two steps whose first task got no answer to its start")
def start_unanswered(context):
    engine = context.engine = EngineWorld(1)
    steps = make_step(), make_step(after=(0,))
    engine.submit(make_job("job", *steps, at=engine.now))
    context.first = engine.start_all()[0]
    context.first.may_start_late = True
    context.worker = engine.core.workers["w0"]


@given("whose run counts as expired")
def expire(context):
    engine = context.engine
    engine.core.mark_unreachable(context.worker, engine.now)
    engine.now += 2 * LEASE_S
    engine.core.expire_runs(engine.now)
    engine.make_durable()
    assert engine.find_unit("job").state is UnitState.WAITING


@when("the worker lists its end as done")
def list_done(context):
    engine, first = context.engine, context.first
    end = EndedTask(1, first.task, first.run, "done", "")
    engine.report(context.worker, ended=[end])
    engine.make_durable()


@then("leader and records show the job as running")
def check_running(context):
    engine = context.engine
    recorded = _read_progress(Item(PROGRESS + "job", engine.stored["job"], 1))
    shown = engine.core.read_state("job")
    pending = engine.core.count_pending("q1")
    assert (shown, recorded, pending) == (JobState.RUNNING, JobState.RUNNING, 0), (
        shown,
        recorded,
        pending,
    )


class ChangingStore:
    """A store in which a job's records change after some reads.

    Reads that are sent together may be served in any order; here the cancellation's
    comes last.
    """

    def __init__(self, count: int, former: bytes, outcome: bytes):
        self.count = count
        self.former = former
        self.outcome = outcome
        self.served = 0

    async def read_item(self, key, **_):
        await asyncio.sleep(0.01 * key.startswith(CANCELS))
        changed = self.served >= self.count
        self.served += 1
        if key.startswith(PROGRESS):
            return Item(key, self.outcome if changed else self.former, 2 + changed)
        if key.startswith(CANCELS) and not changed:
            return NotFound(reason="no such key")
        return Item(key, b"1", 4 if key.startswith(CANCELS) else 1)


@given("a job whose outcome is stored after {count:d} of the reads for its state")
def store_outcome_between(context, count):
    engine = EngineWorld(1)
    engine.submit(make_job("job", make_step(), at=engine.now))
    placements = engine.start_all()
    engine.accept(placements)
    former = engine.stored["job"]
    engine.end(placements[0], "done")
    engine.make_durable()
    context.store = ChangingStore(count, former, engine.stored["job"])


@given("a cancellation at once after that")
def read_between(context):
    records = make_records(context.store)
    context.shown = asyncio.run(records.read_state("job"))


@then("the records do not show it as cancelled")
def check_not_cancelled(context):
    assert context.shown in (JobState.COMPLETED, JobState.RUNNING), context.shown


@given("an entry of it is read that lacks the start of its incarnation")
def read_bare_entry(context):
    world = context.world
    bare = dataclasses.replace(world.entries[0], born=0)
    world.core.register_worker(bare, now=world.now)


@given("a worker runs a task, whose record is kept as it is")
def keep_record(context):
    world = context.world = RestartWorld()
    placements = world.start_tasks("first", 1)
    world.accept(placements)
    world.listing.run(placements[0])
    world.poll()
    world.make_durable()
    context.kept = world.stored["first"]


@given("it starts again under its id, and its next life runs another task")
def run_other(context):
    world = context.world
    world.restart()
    world.core.register_worker(world.entries[0], now=world.now)
    world.poll()
    # The leader ends before the first job's next record is stored.
    world.core.cancel_job("first")
    placements = world.start_tasks("second", 1)
    assert [p.task.job_id for p in placements] == ["second"]
    world.accept(placements)
    world.listing.run(placements[0])
    world.poll()
    world.make_durable()
    world.stored["first"] = context.kept


@when("a successor reads the records and the newest entry")
def succeed_newest(context):
    context.world.succeed()


@then("the other task is not stopped and not charged")
def check_other(context):
    unit = context.world.find_unit("second")
    phases = [p.phase for p in unit.placements.values()]
    assert phases != [Phase.STOPPING] and not unit.crashes, (phases, unit.crashes)


class SilentPlay(GangPlay):
    """Answers no write and no read of the store for some time."""

    silent = (2.0, 8.0)

    @property
    def is_silent(self) -> bool:
        return self.silent[0] <= self.now < self.silent[1]

    def choose_fault(self, kind, machine):
        if kind == "write" and self.is_silent:
            return Fault(kind, machine, Fate.LOST)
        return super().choose_fault(kind, machine)


@given("the store is silent from 2 s to 8 s")
def describe_silent_store(context):
    context.play = SilentPlay(1, takes_s=2.0, faults=[])


@when("a job ends meanwhile, and its state is asked for")
def ask_meanwhile(context):
    context.told = []

    async def ask(play, term):
        records = make_records(term.client)
        while True:
            shown = term.core.read_state(SILENT_JOB)
            if shown is None and play.is_silent:
                shown = OutcomeUnknown(reason="no answer")
            elif shown is None:
                shown = await records.read_state(SILENT_JOB)
            context.told.append((round(play.now, 1), shown))
            await asyncio.sleep(0.1)

    async def script(play):
        term, _ = play.terms[-1]
        play.submit(SILENT_JOB, count=1, gang=False, need=2)
        await asyncio.sleep(0.5)
        play.spawn(ask(play, term))
        await asyncio.sleep(10.0)

    context.play.play(script, seconds=14.0)


@then("the leader does not tell it as running once its outcome may be stored")
def check_not_denied(context):
    until = SilentPlay.silent[1]
    told = [state for at, state in context.told if at < until]
    first_unknown = next(n for n, s in enumerate(told) if isinstance(s, OutcomeUnknown))
    assert JobState.RUNNING not in told[first_unknown:]


@then(
    "it is told as completed from {seconds:g} s after the store is back, two tries to"
    " write"
)
def check_told(context, seconds):
    since = SilentPlay.silent[1] + seconds
    late = {state for at, state in context.told if at > since}
    assert late == {JobState.COMPLETED}, late
