import asyncio
import dataclasses
import math
import types

import msgspec
from behave import given, then, when

from features.support.engine_world import make_entry, make_job, make_step
from features.support.fake_workers import SimulatedLeader
from features.support.gang_store import Fate, Fault, FaultyStore, StoreClient
from features.support.loaded_term import LoadedTerm
from features.support.uneven_world import UnevenWorld
from features.support.virtual_time import run_in_virtual_time
from firladder._internal.engine.core import Core
from firladder._internal.engine.profiles import Profiles
from firladder._internal.exceptions import NotLeader
from firladder._internal.node.keys import LEADER, PROFILES
from firladder._internal.node.profile_writer import ProfileWriter
from firladder._internal.node.worker_session import WorkerSession

DELIVERED = Fate.DELIVERED


@given(
    "an urgent task of {seconds:d} s that runs on a worker of which nothing is known"
)
def run_task(context, seconds):
    async def measure():
        leader = SimulatedLeader(1)
        engine, core = leader.engine, leader.core
        engine.now = leader.clock.read_monotonic()
        step = dataclasses.replace(make_step(1), estimate_s=float(seconds))
        engine.submit(make_job("urgent", step, priority=0))
        queue = core.profiles.speeds.steps.obtain_queue("q0", 0)
        queue.declared.variance = 0.1
        engine.accept(engine.start_all())
        session = WorkerSession(leader, core.workers["w0"])
        context.wait_s = session._choose_wait()

    run_in_virtual_time(measure())


@then("the poll of its session waits between {least:f} and {most:f} s")
def check_wait(context, least, most):
    assert least < context.wait_s < most, context.wait_s


class Writing:
    """A leader that writes what it has learned to a store in virtual time."""

    def __init__(self):
        self.world = UnevenWorld([0.6, 1.0, 1.6] * 10, seed=2)
        self.world.run(20)
        self.world.engine.make_durable()
        self.core = self.world.engine.core
        self.faults = []
        self.store = FaultyStore()
        self.client = StoreClient(self.store, self.choose_fault)
        self.token = self.store.put(LEADER, b"")
        self.failure = None
        self.writer = self.make_writer(self.core)

    def choose_fault(self, kind, machine):
        return Fault(kind, machine, self.faults.pop() if self.faults else DELIVERED)

    def make_writer(self, core):
        clock = types.SimpleNamespace(
            read_monotonic=lambda: self.world.engine.now,
            read_wall=lambda: self.world.engine.now,
        )
        return ProfileWriter(
            core=core, store=self.client, token=self.token, clock=clock
        )

    def write(self, seconds, *, learn=False, read=False):
        async def run():
            if read:
                await self.writer.read()
            writing = asyncio.create_task(self.writer.run())
            for _ in range(10 * seconds):
                await asyncio.sleep(0.1)
                if learn:
                    self.world.run(0.1)
                    self.world.engine.make_durable()
                else:
                    self.world.engine.now += 0.1
            if writing.done():
                self.failure = writing.result()
            writing.cancel()

        # Each part has a loop of its own, which starts at 0.
        run_in_virtual_time(run())

    def succeed(self):
        core = Core(lease_s=6.0)
        for entry in self.world.engine.entries:
            core.register_worker(entry, now=self.world.engine.now)
        run_in_virtual_time(self.make_writer(core).read())
        return core


@given("a leader that has learned the speeds of 30 workers")
def learn(context):
    context.writing = Writing()


@given("a job whose record waits")
def add_waiting(context):
    core = context.writing.core
    core.dirty["waiting"] = next(iter(core.jobs.values()))


@given("the store is down")
def break_store(context):
    context.writing.store.outages.append((0.0, math.inf))


@when("the store answers again")
def mend_store(context):
    context.writing.store.outages.clear()


@given("the answer to its first write is lost")
def lose_answer(context):
    context.writing.faults.append(Fate.UNANSWERED)


@given("another node leads")
def lead_elsewhere(context):
    context.writing.store.put(LEADER, b"")


RECORDS = {
    "not readable": b"\xc1 not msgpack",
    "of another version": msgspec.msgpack.encode([99, 0.0]),
    "empty": b"",
}


@given("the record in the store is {what}")
def store_record(context, what):
    context.writing.store.put(PROFILES, RECORDS[what])


@given("it has written for {seconds:d} s")
@when("it has written for {seconds:d} s")
@when("it has written for {seconds:d} s and a successor reads the record")
def write(context, seconds):
    context.writing.write(seconds)


@when("it has written for {seconds:d} s while it learns")
def write_learning(context, seconds):
    context.writing.write(seconds, learn=True)


@when("it reads the record and has written for {seconds:d} s")
def read_and_write(context, seconds):
    context.writing.write(seconds, read=True)


@then("the successor knows the workers as the leader does")
def check_successor(context):
    writing = context.writing
    core, now = writing.succeed(), writing.world.engine.now
    for worker_id in writing.world.factors:
        known = writing.core.profiles.find_lasting(worker_id)
        found = core.profiles.find(worker_id, now)
        assert known.measured and found.measured, worker_id
        ratio = found.slowness / known.slowness
        assert 0.95 < ratio < 1.05, (known, found)
        assert found.spread >= known.spread, (known, found)
    spread = core.profiles.measure_spread("pool")
    assert abs(spread - writing.core.profiles.measure_spread("pool")) < 0.02, spread


@then("the record was written between {least:d} and {most:d} times")
def check_writes(context, least, most):
    context.before = context.writing.writer.writes
    assert least <= context.before <= most, context.before


@then("the record was written at most once more")
def check_few(context):
    assert context.writing.writer.writes <= context.before + 1


@then("no record was written")
def check_none(context):
    writing = context.writing
    assert writing.writer.writes == 0
    assert PROFILES not in writing.store.items


@then("its term is to end")
def check_ended(context):
    assert isinstance(context.writing.failure, NotLeader), context.writing.failure


@then("the record of {count:d} workers has at most {most:d} bytes for each")
def check_size(context, count, most):
    profiles = Profiles(lambda *_args, **_inputs: None)
    for number in range(count):
        machine = profiles.machines.bind(make_entry(number))
        machine.settled_precision = 30.0 + number % 50
        machine.settled_weighted = (number % 100 - 50) * 0.3
        machine.update_mean()
    size = len(profiles.encode(5000.0, wall=1.8e9))
    assert size <= most * count, size


class LoadingTerm(LoadedTerm):
    """A term that reads its records from ``client``."""

    def __init__(self, client):
        super().__init__()
        self._store = client
        self.profile_writer = ProfileWriter(
            core=self.core, store=client, token=1, clock=self.clock
        )


@when("a successor loads while the record is read as fast as the rest")
def load_at_once(context):
    load(context, 0.0)


@when("a successor loads while the record is read {late:f} s later")
def load_late(context, late):
    load(context, late)


def load(context, late_s):
    client = context.writing.client
    read_item = client.read_item

    async def read_late(key):
        await asyncio.sleep(late_s)
        return await read_item(key)

    async def run():
        client.read_item = read_late
        term = LoadingTerm(client)
        assert await term._load()
        context.took_s = asyncio.get_running_loop().time()
        context.known = sum(m.measured for m in term.core.profiles.machines)
        await term._tasks.close()

    run_in_virtual_time(run())


@then("it is ready within {within:f} s, and knows {known:d} workers")
def check_loaded(context, within, known):
    assert context.took_s < within, context.took_s
    assert context.known == known, context.known
