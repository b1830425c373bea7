import asyncio
import dataclasses
import json
import random
import types

from behave import given, then, when

from features.support.engine_world import QUEUES, make_job, make_step
from features.support.fake_workers import SimulatedLeader
from features.support.virtual_time import VirtualClock, run_in_virtual_time
from firladder._internal.exceptions import (
    AdviceBusy,
    ConnectionRefused,
    OutcomeUnknown,
    SentUnanswered,
)
from firladder._internal.models.message import NodeView
from firladder._internal.models.workload import AdviceTerms, QueueConfiguration
from firladder._internal.network.http_server import HttpCall
from firladder._internal.node.advice import AdviceLoop
from firladder._internal.node.client_api import ClientApi
from firladder._internal.node.configuration import ConfigurationCache
from firladder._internal.node.fleet import Fleet
from firladder._internal.node.records import Stored
from firladder._internal.platform.configuration import decode_configuration
from firladder._internal.utils.events import Event

TERMS = AdviceTerms(decision_s=0.02, per_worker_s=0.001, valid_s=4.0)
ADVISED = QueueConfiguration(
    1,
    tuple(
        dataclasses.replace(q, advice=TERMS if q.priority == 1 else None)
        for q in QUEUES
    ),
)
LEADER_IP = "10.0.0.2"


class FakeService:
    """The advice service; ``fault`` says what is wrong with it."""

    available = True

    def __init__(self, fault):
        self.fault = fault
        self.asked = []
        self.open = self.most_open = 0

    async def ask(self, step, workers, *, timeout_s):
        self.asked.append(step)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        answer = await self._answer(workers, timeout_s)
        self.open -= 1
        return answer

    async def _answer(self, workers, timeout_s):
        usual_s = TERMS.estimate_answer(len(workers))
        if self.fault == "away":
            return ConnectionRefused(reason="refused")
        if self.fault == "busy":
            await asyncio.sleep(0.001)
            return AdviceBusy(reason="busy")
        lost = self.fault == "lossy" and len(self.asked) % 2
        if self.fault == "silent" or lost:
            await asyncio.sleep(timeout_s)
            return SentUnanswered(reason="timed out")
        await asyncio.sleep(usual_s + (0.9 if self.fault == "slow" else 0.0))
        return {worker: f"ticket-{worker}" for worker in workers}


class AdvisedLeader(SimulatedLeader):
    """A simulated leader that asks an advice service."""

    def __init__(self, service):
        super().__init__(4)
        self.service = service
        self.events = []
        self.lead_anew()

    def lead_anew(self):
        self.core = self.engine.core
        self.core.configuration = ADVISED
        self.advice = AdviceLoop(
            core=self.core,
            calls=self.service,
            clock=self.clock,
            rng=random.Random(1),
            timeline=types.SimpleNamespace(record=self.events.append),
            on_advice=self.request_pass,
            on_call=lambda outcome: None,
        )

    async def lead(self, until_s):
        asking = [asyncio.create_task(x) for x in (self.advice.run(), self._wake())]
        await super().lead(until_s)
        for task in asking:
            assert not task.done(), task
            task.cancel()

    async def _wake(self):
        while True:
            self.advice.wake()
            await asyncio.sleep(0.01)

    def submit(self, name, count, *, priority):
        now = self.clock.read_monotonic()
        for number in range(count):
            job = make_job(
                f"{name}{number}", make_step(1, 1), priority=priority, at=now
            )
            self.engine.submit(job)

    def list_active(self):
        units = {name: job.units[0] for name, job in self.core.jobs.items()}
        return {name for name, unit in units.items() if unit.all_active}


@given("a leader whose advice service is {fault}")
def make_leader(context, fault):
    context.leader = AdvisedLeader(FakeService(fault))


@given("a leader whose advice service answers in time")
def make_usual_leader(context):
    make_leader(context, "usual")


@given("a leader whose advice service loses every other answer")
def make_lossy_leader(context):
    make_leader(context, "lossy")


@when("{count:d} advised jobs come, and {others:d} others")
def submit_jobs(context, count, others):
    context.leader.submit("advised", count, priority=1)
    context.leader.submit("other", others, priority=2)


@then("all of them are active after {seconds:d} s")
def check_active(context, seconds):
    leader = context.leader
    run_in_virtual_time(leader.lead(leader.clock.read_monotonic() + seconds))
    assert leader.list_active() == set(leader.core.jobs), leader.list_active()
    orders = leader.calls.running.values()
    for order in orders:
        advised = order.task.job_id.startswith("advised")
        assert bool(order.ticket) is advised, order


@then("the service got one request at a time, {count:d} in all")
def check_requests(context, count):
    service = context.leader.service
    assert service.most_open == 1 and len(service.asked) == count, service.asked


@then("the others are active after {seconds:f} s, and no advised one ever is")
def check_others(context, seconds):
    leader, active = context.leader, []

    async def lead():
        leading = asyncio.create_task(leader.lead(12.0))
        await asyncio.sleep(seconds)
        active.append(leader.list_active())
        await leading

    run_in_virtual_time(lead())
    others = {name for name in leader.core.jobs if name.startswith("other")}
    assert active == [others] and leader.list_active() == others


@then("it got at least {least:d} and at most {most:d} requests in {seconds:d} s")
def check_count(context, least, most, seconds):
    run_in_virtual_time(context.leader.lead(float(seconds)))
    assert least <= len(context.leader.service.asked) <= most, len(
        context.leader.service.asked
    )


@then("it counts as {early} after {first:f} s and as {late} after {second:f} s")
def check_state(context, early, first, late, second):
    leader, found = context.leader, []
    # With more jobs than the service can answer for, requests never end.
    leader.submit("advised-more", 300, priority=1)

    async def lead():
        leading = asyncio.create_task(leader.lead(second + 1.0))
        for until in (first, second):
            await asyncio.sleep(until - asyncio.get_running_loop().time())
            found.append("unavailable" if leader.advice.unavailable else "available")
        await leading

    run_in_virtual_time(lead())
    assert found == [early, late], found


@when("the service answers again after {seconds:d} s")
def return_service(context, seconds):
    context.return_at = float(seconds)


@then("all of them are active {seconds:d} s later")
def check_active_later(context, seconds):
    leader = context.leader

    async def lead():
        loop = asyncio.get_running_loop()
        loop.call_later(context.return_at, setattr, leader.service, "fault", "usual")
        await leader.lead(context.return_at + seconds)

    run_in_virtual_time(lead())
    assert leader.list_active() == set(leader.core.jobs), leader.list_active()


@then("the loss and the return of the service are logged once each")
def check_events(context):
    expected = [Event.ADVICE_UNAVAILABLE, Event.ADVICE_AVAILABLE]
    assert context.leader.events == expected, context.leader.events


@when("{count:d} advised jobs come, and the leader is lost after the second answer")
def lose_leader(context, count):
    submit_jobs(context, count, 0)
    leader = context.leader

    async def lead():
        own = asyncio.current_task()
        asyncio.create_task(leader.lead(4.0))
        while len(leader.service.asked) < 3:
            await asyncio.sleep(0.001)
        for task in asyncio.all_tasks() - {own}:
            task.cancel()
        leader.engine.succeed()
        leader.lead_anew()
        leader.service.open = 0
        context.asked_before = len(leader.service.asked)
        jobs = leader.core.jobs
        context.unknown = {n for n, job in jobs.items() if not job.units[0].placements}
        await leader.lead(leader.clock.read_monotonic() + 4.0)

    run_in_virtual_time(lead())


@then("its successor has asked for every job that it did not find placed")
def check_successor(context):
    asked = context.leader.service.asked[context.asked_before :]
    assert len(context.unknown) >= 2, context.unknown
    assert {step[0] for step in asked} >= context.unknown, asked


@then("all of them are active in the end")
def check_active_in_the_end(context):
    leader = context.leader
    assert leader.list_active() == set(leader.core.jobs), leader.list_active()


@when("the advised jobs are cancelled after {seconds:d} s")
def cancel_jobs(context, seconds):
    context.cancel_at = float(seconds)


@then("it counts as available {seconds:d} s later")
def check_available(context, seconds):
    leader, found = context.leader, []

    async def lead():
        leading = asyncio.create_task(leader.lead(context.cancel_at + seconds + 1.0))
        await asyncio.sleep(context.cancel_at)
        found.append(leader.advice.unavailable)
        for name in [n for n in leader.core.jobs if n.startswith("advised")]:
            leader.core.cancel_job(name)
        await asyncio.sleep(seconds)
        found.append(leader.advice.unavailable)
        await leading

    run_in_virtual_time(lead())
    assert found == [True, False], found


def make_route(advice):
    return {
        "name": "q",
        "hostname": "jobs.example",
        "prefix": "/q/",
        "backend": "pool",
        "public": True,
        "advice": advice,
    }


@then("a queue with advice {value} has {terms}")
def check_terms(context, value, terms):
    raw = {"version": 1, "routes": [make_route(json.loads(value))]}
    (queue,) = decode_configuration(json.dumps(raw).encode()).queues
    if terms == "no advice":
        assert queue.advice is None
        return
    expected = [float(x) / 1000 for x in terms.split(",")]
    assert list(dataclasses.astuple(queue.advice)) == expected, queue.advice


class FakeRecords:
    """The store as a node's client interface sees it."""

    def __init__(self, found):
        self.found = found

    async def exists(self, job_id, *, timeout_s):
        return self.found

    async def create(self, key, value, *, until):
        return Stored(created=True)


def make_fleet(clock, view):
    async def ask(address, body, *, timeout_s):
        return view

    return Fleet(
        ip="10.0.0.1",
        failure_domain="d",
        port=1,
        seeds=(LEADER_IP,),
        fabric=types.SimpleNamespace(handle=lambda *_: None, ask=ask),
        configuration=ConfigurationCache(),
        clock=clock,
        rng=random.Random(1),
        timeline=types.SimpleNamespace(record=lambda *_args, **_fields: None),
        reaches_store=lambda: True,
    )


@given("a node {service}, whose store {store} the id")
def make_node(context, service, store):
    found = {
        "has": True,
        "does not have": False,
        "does not tell": OutcomeUnknown(reason="no answer"),
    }[store]
    configuration = ConfigurationCache()
    raw = {"version": 1, "routes": [make_route({"decision_ms": 20})]}
    configuration.offer(json.dumps(raw).encode(), source="store")
    clock = VirtualClock()
    lacks = "lack" in service
    view = NodeView(leader_ip=LEADER_IP, leader_token=5, advice_unavailable=lacks)
    fleet = make_fleet(clock, view)
    context.service = service
    context.node = types.SimpleNamespace(
        clock=clock,
        configuration=configuration,
        leaving="stopping" in service,
        settings=types.SimpleNamespace(
            advice_address="" if "without" in service else "10.0.0.9:80"
        ),
        fleet=fleet,
        timeline=types.SimpleNamespace(record=lambda *_args, **_fields: None),
        announce=lambda body: None,
        record_call=lambda *_args: None,
    )
    context.api = ClientApi(context.node, FakeRecords(found))


@when("a job for a queue with advice is submitted there")
def submit_there(context):
    async def submit():
        fleet = context.node.fleet
        fleet.greet_peers()
        await asyncio.sleep(0.01)
        if "long ago" in context.service:
            await asyncio.sleep(2.5)
        if "former" in context.service:
            fleet.record_leader("10.0.0.3", 6)
        body = json.dumps({"spec": "1", "steps": [{"count": 1}]}).encode()
        call = HttpCall(
            "POST",
            "/q/00000000000000aa",
            {},
            {},
            {"host": "jobs.example"},
            body,
            "10.0.0.7",
            asyncio.Event(),
            None,
        )
        context.reply = await context.api.answer(call)
        await fleet.close()

    run_in_virtual_time(submit())


@then("it is answered {status:d}")
def check_status(context, status):
    reply = context.reply
    assert reply.status == status, (reply.status, reply.body)
    assert ("Retry-After" in reply.headers) is (status == 503), reply.headers
