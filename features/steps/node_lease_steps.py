import asyncio
from unittest import mock

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from features.support.fake_workers import FakeWorkerCalls, SimulatedLeader
from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault, FaultyStore, StoreClient
from features.support.loaded_term import LoadedTerm
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.engine.progress import decode_progress, encode_accepted
from firladder._internal.node.keys import JOBS, PROGRESS
from firladder._internal.node.progress_writer import ProgressWriter
from firladder._internal.node.worker_session import WorkerSession

JOB = "0000000000000001"
WALL_OFFSET_S = 5000.0
SILENT = 0
SPARE = 2


class StandingLeader(SimulatedLeader):
    """A leader whose process stands still after it has checked its own lease."""

    def __init__(self):
        self.stands_s = 0.0
        self.checked_at = None
        super().__init__(1)

    @property
    def may_renew(self):
        if self.stands_s and self.checked_at is None:
            self.checked_at = self.clock.read_monotonic()
            self.clock.now += self.stands_s
        return True

    @may_renew.setter
    def may_renew(self, _value):
        pass


class GrantedCalls(FakeWorkerCalls):
    """Calls to workers that keep the deadlines granted."""

    def __init__(self):
        super().__init__()
        self.deadlines = []

    async def start(self, order, *, deadline_s, **fields):
        self.deadlines.append(deadline_s)
        return await super().start(order, deadline_s=deadline_s, **fields)

    async def poll(self, *fields, deadline_s, **named):
        if deadline_s is not None:
            self.deadlines.append(deadline_s)
        return await super().poll(*fields, **named)


@given(
    "a leader that stands still for {stands_s:g} s after it has checked that it may"
    " {grant}"
)
def describe_standing(context, stands_s, grant):
    context.stands_s = stands_s
    context.grant = grant


@when("it sends that grant")
def grant_lease(context):
    async def grant():
        leader = context.leader = StandingLeader()
        engine = leader.engine
        leader.calls = GrantedCalls()
        engine.now = leader.clock.read_monotonic()
        engine.submit(make_job("a", make_step()))
        (placement,) = engine.start_all()
        worker = leader.core.workers["w0"]
        worker.clock_offset_s = 0.0
        session = WorkerSession(leader, worker)
        if context.grant == "start a task":
            session.order(placement, start=True)
            leader.stands_s = context.stands_s
            sending = asyncio.create_task(session.send_orders())
            await asyncio.sleep(1.0)
            sending.cancel()
        else:
            engine.accept([placement])
            leader.stands_s = context.stands_s
            await session._poll()

    run_in_virtual_time(grant())


@then("the lease ends within {lease_s:g} s of the check")
def check_lease(context, lease_s):
    deadline_s = context.leader.calls.deadlines[0]
    checked_at = context.leader.checked_at
    assert deadline_s <= checked_at + lease_s, deadline_s - checked_at


@given(
    "a worker with a clock that is {percent:d} % slow, on which nothing ran for"
    " {idle_s:d} s"
)
def describe_slow_worker(context, percent, idle_s):
    context.idle_s = idle_s
    context.play = GangPlay(2, takes_s=30.0)
    context.play.machines[SILENT].clock_rate = 1 - percent / 100


@when(
    "a start reaches it {late_s:d} s late, and the leader is gone and no other reaches"
    " it"
)
def delay_start(context, late_s):
    async def script(play):
        play.machines[1].registered = False
        await asyncio.sleep(context.idle_s)
        late = Fault("start", SILENT, Fate.LATE, number=1, late_s=float(late_s))
        lost = [
            Fault(kind, SILENT, Fate.LOST, since=play.now) for kind in ("poll", "stop")
        ]
        play.faults += [late, *lost]
        play.submit(JOB, count=1, gang=False, need=8)
        while not play.calls.get(("start", SILENT)):
            await asyncio.sleep(0.001)
        play.machines[1].registered = True
        await play.succeed("killed")

    context.play.play(script, seconds=context.idle_s + 80.0)


@given("a worker that starts again under its id")
def describe_worker(context):
    context.play = GangPlay(3, takes_s=8.0, keep_ids=True)


@when("a start meant for its former life is carried out, and it falls silent then")
def fall_silent(context):
    async def script(play):
        play.machines[SPARE].registered = False
        await asyncio.sleep(5.0)
        await play.restart_machine(SILENT, down_s=0.0)
        play.submit(JOB, count=2, gang=False, need=8)
        while not play.machines[SILENT].running:
            await asyncio.sleep(0.001)
        play.faults.append(Fault("any", SILENT, Fate.LOST, since=play.now))
        play.machines[SILENT].registered = False
        play.machines[SPARE].registered = True

    context.play.play(script, seconds=45.0)
    assert context.play.machines[SILENT].lives == 2


@then("the task never runs twice at once, and is completed")
def check_runs(context):
    play = context.play
    assert not play.find_overlaps(), [
        (m.task.index, m.run, m.machine.number, m.started_at, m.ended_at)
        for m in play.members
    ]
    assert play.terms[-1][0].core.read_state(JOB).value == "completed"


class StandingClock:
    """Clocks of a process that stands still after each reading, once told to."""

    def __init__(self):
        self.now = 1000.0
        self.stands_s = 0.0

    def _read(self, offset_s):
        read_at = self.now
        self.now += self.stands_s
        return read_at + offset_s

    def read_monotonic(self):
        return self._read(0.0)

    def read_wall(self):
        return self._read(WALL_OFFSET_S)


@given("a worker that is out of reach, with a lease of {lease_s:g} s more")
def lose_worker(context, lease_s):
    engine = context.engine = EngineWorld(1)
    context.clock = StandingClock()
    engine.now = context.clock.now
    engine.submit(make_job(JOB, make_step()))
    engine.accept(engine.start_all())
    worker = engine.core.workers["w0"]
    worker.granted_until = context.clock.now + lease_s
    engine.core.mark_unreachable(worker, engine.now)


def encode(context):
    writer = ProgressWriter(
        core=context.engine.core,
        store=None,
        token=1,
        revisions={},
        clock=context.clock,
        on_durable=lambda: None,
    )
    return writer._encode(context.engine.core.jobs[JOB])


@when(
    "its leader stands still for {stands_s:g} s between any two readings of its clocks"
)
def record_standing(context, stands_s):
    context.began_at = context.clock.now
    context.clock.stands_s = stands_s
    context.record = encode(context)


@then("the record says that the lease ends in {lease_s:g} s or later")
def check_record(context, lease_s):
    ends_at = decode_progress(context.record).lapses["w0"]
    assert ends_at >= context.began_at + WALL_OFFSET_S + lease_s, ends_at


@given("a record that says that the lease of a worker ends in {lease_s:g} s")
def make_record(context, lease_s):
    lose_worker(context, lease_s)
    context.record = encode(context)


@when("a leader that stands still for {stands_s:g} s between any two readings loads it")
def load_standing(context, stands_s):
    async def load():
        store = FaultyStore()
        client = StoreClient(store, lambda k, m: Fault(k, m, Fate.DELIVERED))
        accepted = context.engine.accepted[JOB]
        store.put(JOBS + JOB, encode_accepted(accepted))
        store.put(PROGRESS + JOB, context.record)
        term = LoadedTerm()
        term._store = term.profile_writer._store = client
        context.clock.stands_s = stands_s
        term.clock = context.clock
        with mock.patch.object(term, "_watch_prefix"):
            await term._load()
        context.expires_at = term.core.workers["w0"].runs_expire_at
        await term._tasks.close()

    context.began_at = context.clock.now
    run_in_virtual_time(load())


@then("it waits for {lease_s:g} s or longer")
def check_wait(context, lease_s):
    assert context.expires_at >= context.began_at + lease_s, context.expires_at
