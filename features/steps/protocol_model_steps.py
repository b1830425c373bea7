import asyncio
import itertools

import msgspec
from behave import then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from features.support.protocol import (
    UNREACHABLE,
    FakeClock,
    FakeStore,
    GangBench,
    make_leadership,
    make_peer,
)
from firladder._internal.commands.model import format_verdict
from firladder._internal.etcd.inventory import Inventory
from firladder._internal.exceptions import (
    NotLeader,
    OrderRejected,
    RevisionConflict,
    SentUnanswered,
    StoreConflict,
)
from firladder._internal.fleet.configuration import ConfigurationHolder
from firladder._internal.gateway.configuration import ConfigurationHandler
from firladder._internal.gateway.ownership import (
    OwnedElsewhere,
    OwnedHere,
    OwnerUnknown,
    RequestIdRegistry,
)
from firladder._internal.model.specification import (
    SPECIFICATIONS,
    check,
    find_by_guard,
)
from firladder._internal.models.api import Accepted
from firladder._internal.models.configuration import (
    Change,
    ChangeSet,
    Configuration,
)
from firladder._internal.models.message import Identity
from firladder._internal.models.order import RunningTask
from firladder._internal.models.task import TaskStatus
from firladder._internal.node.keys import LEADER
from firladder._internal.node.progress_writer import ProgressWriter
from firladder._internal.platform.store import Conflict, Item
from firladder._internal.scheduler.gang_messages import MemberLost
from firladder._internal.utils.clocks import LogicalClock
from firladder._internal.utils.events import Timeline
from standins.worker import Worker, fence

REPLAYS = {}


def replay(guard):
    """Register a check that the real code rejects the step that a guard prevents."""

    def add(function):
        REPLAYS[guard] = function
        return function

    return add


class LeadershipReplays:
    """The steps of leadership on the real election, clock check and fencing."""

    @replay("worker_fencing")
    async def fence(self):
        worker = Worker("w", 8)
        assert fence(worker, 2) is None
        assert fence(worker, 1).status == 409

    @replay("clock_check")
    async def pause(self):
        clock = FakeClock()
        leader = make_leadership(FakeStore(), clock)
        await leader._campaign()
        assert leader.may_act()
        clock.now += 10
        assert not leader.may_act()

    @replay("early_expiry")
    async def expire_early(self):
        clock, store = FakeClock(), FakeStore()
        leader = make_leadership(store, clock)
        asked_at = clock.now
        await leader._campaign()
        assert leader._valid_until < asked_at + 10

    @replay("create_if_absent")
    async def elect_one(self):
        store = FakeStore()
        first = make_leadership(store, FakeClock())
        second = make_leadership(store, FakeClock(), vm="bern-halle-2")
        store.get = lambda key: asyncio.sleep(0)  # both have seen no leader
        await asyncio.gather(first._campaign(), second._campaign())
        assert [first.state, second.state] == ["claiming", "following"]

    @replay("term_check")
    async def change_terms(self):
        store = FakeStore()
        leader = make_leadership(store, FakeClock())
        await leader._campaign()
        first = leader.epoch
        leader.step_down("test")
        store.entries.clear()
        await leader._campaign()
        assert leader.epoch > first and leader.may_act(leader.epoch)
        assert not leader.may_act(first)

    @replay("peer_leads")
    async def yield_to_peer(self):
        clock, store, peers = FakeClock(), FakeStore(), []
        leader = make_leadership(store, clock, peers=lambda: peers)
        await leader._campaign()
        clock.now += 10
        store.down = True
        await leader._renew()
        assert leader.isolated and leader.may_act() and not leader.may_start()
        clock.now += leader.isolated_start_delay_s
        await leader._renew()
        assert leader.may_start(), "an isolated leader goes on when nobody can lead"
        peers.append(make_peer(leading=leader.epoch + 1))
        await leader._renew()
        assert not leader.may_act() and leader.state == "following"


class GangReplays:
    """The steps of a gang on the real runner, ledger and accounting."""

    @staticmethod
    async def make_elected_bench(**spec):
        bench = GangBench(**spec)
        await bench.elect()
        return bench

    @replay("attempt_written")
    async def write_first(self):
        bench = await self.make_elected_bench()
        bench.workers.refuse["reserve", "w0"] = UNREACHABLE
        await bench.runner.start()
        seen = bench.workers.job_at["reserve"]
        assert seen.state == "starting" and seen.attempt == 1, seen

    @replay("short_start_lease")
    async def start_short(self):
        bench = await self.make_elected_bench()
        bench.workers.refuse["start", "w1"] = UNREACHABLE
        await bench.runner.start()
        assert set(bench.workers.ttls.values()) == {3.0}

    @replay("confirm_when_whole")
    async def confirm_whole(self):
        bench = await self.make_elected_bench()
        bench.workers.refuse["start", "w1"] = UNREACHABLE
        await bench.runner.start()
        commands = {c for c, _ in bench.workers.commands}
        assert "confirm" not in commands and "stop" in commands, commands

    @replay("stray_stopped_first")
    async def stop_orphan_first(self):
        bench = await self.make_elected_bench()
        leader, state = bench.make_domain_leader()
        state.claimed = False
        orphan = TaskStatus(
            task="old.0.a1",
            job="old",
            attempt=1,
            gang_size=2,
            state="running",
            accelerators=(0,),
            confirmed=True,
        )
        state.tasks[orphan.task] = orphan
        bench.workers.refuse["stop", "w0"] = UNREACHABLE
        await leader._admit(state)
        assert not state.claimed, "renewed beside an orphan that may still run"
        bench.workers.refuse.clear()
        await leader._admit(state)
        assert state.claimed

    @replay("once_stays_once")
    async def run_once(self):
        bench = await self.make_elected_bench(idempotent=False)
        bench.workers.refuse["start", "w1"] = UNREACHABLE
        await bench.runner.start()
        assert (bench.job.state, bench.job.outcome) == ("finished", "unknown")

    @replay("write_compares_leader")
    async def write_late(self):
        bench = await self.make_elected_bench()
        successor = make_leadership(bench.store, bench.clock, vm="bern-halle-2")
        bench.store.entries.pop(successor.key)
        await successor._campaign()
        before = bench.job
        written = await bench.ledger.write("job", lambda job: job)
        assert isinstance(written, StoreConflict), written
        assert bench.job == before and bench.leadership.state == "following"

    @replay("outwait_lapse")
    async def wait_for_expiry(self):
        bench = await self.make_elected_bench()
        started = asyncio.ensure_future(bench.runner.start())
        await bench.wait(lambda: bench.runner.running)
        bench.accounting.workers["w1"].claimed = False
        bench.runner.inbox.put_nowait(MemberLost("w1"))
        await bench.wait(lambda: ("stop", "w0") in bench.workers.commands)
        await asyncio.sleep(0.3)
        assert bench.job.state == "running", "queued again while a member may still run"
        while not started.done():
            bench.clock.now += 5
            await bench.leadership._renew()
            await asyncio.sleep(0.05)
        assert bench.job.state == "queued", bench.job


class ClaimReplays:
    """The steps of a request id on the real registry of ids."""

    @staticmethod
    def make_registry(store, vm="a"):
        identity = Identity(vm, "gateway", "bern-halle", f"start-{vm}", "", "")
        return RequestIdRegistry(identity=identity, store=store)

    @replay("create_claim")
    async def claim_once(self):
        store = FakeStore()
        assert isinstance(
            await self.make_registry(store).find_owner("r", "d", 0), OwnedHere
        )
        other = await self.make_registry(store, "b").find_owner("r", "d", 0)
        assert isinstance(other, OwnedElsewhere), other

    @replay("read_back_owner")
    async def read_back(self):
        store = FakeStore()
        store.lose_next_answer = True
        assert isinstance(
            await self.make_registry(store).find_owner("r", "d", 0), OwnedHere
        )
        store.lose_next_answer = True
        other = await self.make_registry(store, "b").find_owner("r", "d", 0)
        assert isinstance(other, OwnedElsewhere), other

    @replay("unsure_declines")
    async def decline(self):
        store = FakeStore()
        registry = self.make_registry(store)
        await registry.find_owner("other", "d", 0)
        store.down = True
        assert isinstance(await registry.find_owner("r", "d", 0), OwnerUnknown)


class ConfigurationReplays:
    """The steps of a configuration on the real holder and handler."""

    @staticmethod
    async def change(store):
        """Change revision 0 as an operator with a gateway of its own."""
        timeline = Timeline(process="t", clock=FakeClock(), logical=LogicalClock())
        inventory = Inventory()
        inventory.replace({})
        handler = ConfigurationHandler(
            store=store,
            holder=ConfigurationHolder(timeline),
            inventory=inventory,
            find_newest=int,
            timeline=timeline,
        )
        value = msgspec.Raw(b"{}")
        change = Change(kind="organisation", name="squads", value=value)
        return await handler.change(ChangeSet(expected_revision=0, changes=(change,)))

    @replay("compare_head")
    async def race(self):
        store = FakeStore()
        answers = await asyncio.gather(self.change(store), self.change(store))
        assert {type(a) for a in answers} == {Accepted, RevisionConflict}, answers

    @replay("adopt_higher_only")
    async def adopt(self):
        timeline = Timeline(process="t", clock=FakeClock(), logical=LogicalClock())
        holder = ConfigurationHolder(timeline)
        assert holder.adopt(Configuration(2), source="peer")
        assert not holder.adopt(Configuration(1), source="old peer")
        assert holder.current.revision == 2

    @replay("read_back_write_id")
    async def read_back(self):
        store = FakeStore()
        store.lose_next_answer = True
        assert isinstance(await self.change(store), Accepted)


class RunReplays:
    """The steps of a run on the real core and progress writer."""

    def start(self, *, accept=True):
        world = EngineWorld(2)
        world.submit(make_job("a", make_step()))
        started = world.start_all()
        if accept:
            world.accept(started)
        return world, started

    @replay("durable_before_start")
    async def send_unwritten(self):
        world = EngineWorld(2)
        world.submit(make_job("a", make_step()))
        assert world.plan() == 1
        assert world.core.take_starts() == []

    @replay("stop_before_next")
    async def lose_start(self):
        world, (placement,) = self.start(accept=False)
        lost = SentUnanswered(reason="lost")
        world.core.handle_start_answer(placement, lost, world.now)
        world.report(world.core.workers[placement.worker_id])
        assert world.plan() == 0, "planned again before the stop was answered"

    @replay("ask_before_next")
    async def succeed_unasked(self):
        world, (placement,) = self.start()
        world.succeed()
        for worker in world.core.workers.values():
            if worker.worker_id != placement.worker_id:
                world.report(worker)
        assert world.plan() == 0, "planned again before its worker was asked"

    @replay("durable_before_acknowledged")
    async def acknowledge_early(self):
        world, (placement,) = self.start()
        world.end(placement, "done")
        worker = world.core.workers[placement.worker_id]
        assert worker.find_last_durable_end() == 0
        world.make_durable()
        assert worker.find_last_durable_end() == 1

    @replay("leader_compared")
    async def write_late(self):
        world, _ = self.start()
        writer = ProgressWriter(
            core=world.core,
            store=FakePlatformStore(leader=2),
            token=1,
            revisions={},
            clock=FakeClock(),
            on_durable=lambda: None,
        )
        world.core.cancel_job("a")
        writer.wake()
        assert isinstance(await writer.run(), NotLeader)
        assert "a" in world.core.dirty

    @replay("cancel_read_first")
    async def read_cancel(self):
        world = EngineWorld(2)
        world.core.cancel_job("a")
        world.submit(make_job("a", make_step()))
        assert world.plan() == 0


class GangRunReplays:
    """The steps of a gang on the platform on the real scheduling core."""

    def start(self):
        """Return an engine, and two members of a gang, the first of which started."""
        world = EngineWorld(2)
        world.submit(make_job("g", make_step(2, gang=True)))
        first, second = world.start_all()
        world.accept((first,))
        return world, first, second

    @replay("members_stopped")
    async def reject_member(self):
        world, first, second = self.start()
        rejected = OrderRejected(reason="409 room", rejection="no_room")
        world.core.handle_start_answer(second, rejected, world.now)
        world.make_durable()
        assert world.plan() == 0, "planned again before the other member was stopped"
        assert world.core.take_stops(world.now) == [first]

    @replay("absent_ends_run")
    async def miss_member(self):
        world, first, second = self.start()
        world.succeed()
        world.report(
            world.core.workers[first.worker_id],
            [RunningTask(first.task, first.run, "", 0)],
        )
        world.report(world.core.workers[second.worker_id])
        stops = world.core.take_stops(world.now)
        assert [s.key for s in stops] == [first.key], stops

    @replay("incomplete_ended")
    async def succeed_incomplete(self):
        world, first, second = self.start()
        rejected = OrderRejected(reason="409 room", rejection="no_room")
        world.core.handle_start_answer(second, rejected, world.now)
        world.make_durable()
        world.succeed()
        stops = world.core.take_stops(world.now)
        assert [s.key for s in stops] == [first.key], stops


class FakePlatformStore:
    """A store in which another node leads."""

    def __init__(self, leader):
        self.leader = leader

    async def commit(self, *, expected, writes=(), remove=(), timeout_s=1.0):
        assert (LEADER, 1) in expected, expected
        return Conflict((Item(LEADER, b"", self.leader),))


REPLAYERS = (
    LeadershipReplays,
    GangReplays,
    ClaimReplays,
    ConfigurationReplays,
    RunReplays,
    GangRunReplays,
)


@when("the protocol specifications are checked with all guards")
def check_all(context):
    context.verdicts = [check(s) for s in SPECIFICATIONS.values()]


@then("no protocol invariant is broken")
def check_unbroken(context):
    assert [v.broken for v in context.verdicts] == [""] * len(context.verdicts)


@then("each search was complete, and its states and depth are printed")
def check_complete(context):
    assert all(v.complete and v.depth > 5 for v in context.verdicts)
    print("".join(map(format_verdict, context.verdicts)))


@when('the protocol guard "{guard}" is removed from its specification')
def remove_guard(context, guard):
    context.verdict = check(find_by_guard(guard), without=guard)


@then("a shortest counterexample of {steps:d} protocol steps is printed")
def check_counterexample(context, steps):
    print(format_verdict(context.verdict))
    assert context.verdict.broken, "the model holds without the guard"
    assert len(context.verdict.trace) == steps, context.verdict.trace


@then('the real code rejects the step that "{guard}" prevents')
def check_replay(context, guard):
    owner = next(r for r in REPLAYERS if REPLAYS[guard] in vars(r).values())
    asyncio.run(asyncio.wait_for(REPLAYS[guard](owner()), 20))


@then("every protocol guard has a scenario")
def check_guards(context):
    guards = itertools.chain.from_iterable(s.guards for s in SPECIFICATIONS.values())
    assert set(guards) == set(REPLAYS)
