import asyncio
import json
import logging
import os
from unittest import mock

from behave import given, then, when

from features.steps.network_answers_steps import play
from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.exceptions import SentUnanswered
from firladder._internal.network.http_client import HttpClient, HttpResponse
from firladder._internal.network.http_server import (
    HttpServer,
    RouteTable,
    reply_json,
)
from firladder._internal.network.traffic import TrafficMeter
from firladder._internal.node.leader_load import LeaderLoad
from firladder._internal.node.progress_writer import ProgressWriter
from firladder._internal.utils.streams import BoundedStream
from standins.site import reserve_port_block


@given("a log that may write 600 lines at once")
def open_log(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.log_now = 0.0
    context.stream = BoundedStream(writer, read_clock=lambda: context.log_now)
    context.written = []


def write_lines(context, count, *, priority):
    for number in range(count):
        text = json.dumps({"number": number, "priority": priority})
        context.stream.write(text + "\n", priority=priority)


def read_lines(context):
    data = os.read(context.reader, 1 << 20).decode()
    return [json.loads(line) for line in data.splitlines()]


@when("1000 routine lines are written at once, and then 100 priority lines")
def write_both(context):
    write_lines(context, 1000, priority=False)
    write_lines(context, 100, priority=True)


@then("all priority lines are written, after a count of {count:d} routine ones dropped")
def check_priority(context, count):
    lines = read_lines(context)
    assert sum(line.get("priority") is True for line in lines) == 100
    drops = [line for line in lines if "count" in line]
    assert [d["count"] for d in drops] == [count], drops
    assert [d["priority_count"] for d in drops] == [0], drops
    assert lines.index(drops[0]) == 1000 - count


@when("1000 priority lines are written at once")
def write_many_priority(context):
    write_lines(context, 1000, priority=True)


@then("600 are written, and the next line counts 400 dropped priority lines")
def check_limit(context):
    assert len(read_lines(context)) == 600
    context.log_now += 1.0
    write_lines(context, 1, priority=False)
    write_lines(context, 1, priority=True)
    drop = read_lines(context)[0]
    assert (drop["count"], drop["priority_count"]) == (401, 400), drop


def record_decisions(context):
    context.decisions = []
    context.engine.core.note = lambda what, **inputs: context.decisions.append(
        (what, inputs)
    )


def find_decision(context, what):
    found = [inputs for name, inputs in context.decisions if name == what]
    assert len(found) == 1, context.decisions
    return found[0]


@when("the start of the third is answered {seconds:f} s later")
def answer_third(context, seconds):
    engine: EngineWorld = context.engine
    record_decisions(context)
    engine.now += seconds
    engine.accept(context.members[2:])


@then('the decision "gang apart" names the third member and {seconds:f} s')
def check_apart(context, seconds):
    inputs = find_decision(context, "gang apart")
    assert inputs["index"] == context.members[2].task.index, inputs
    assert inputs["spread_s"] == seconds, inputs


@when("the first member ends alone")
def end_alone(context):
    record_decisions(context)
    context.engine.end(context.members[0], "alone")


@then('the decision "member ended alone" names the others as active and sent')
def check_alone(context):
    inputs = find_decision(context, "member ended alone")
    assert [o.split()[:2] for o in inputs["others"]] == [
        ["1", "active"],
        ["2", "sent"],
    ], inputs
    assert inputs["gone"] == 0, inputs


@given("a leader's load")
def make_load(context):
    context.processor_s = 3.0
    context.load = LeaderLoad(read_processor_s=lambda: context.processor_s)
    assert context.load.take_report(10.0, queued=()) is None


@when("it records a pass of 0.2 s, a delay of 0.4 s, and an unanswered order for 1 s")
def record_load(context):
    context.load.record_pass(0.2)
    context.load.record_lag(0.4)
    context.load.record_order(0.1, 1.0, answered=False)
    context.processor_s += 0.5


@then("its next report has these figures, and the one after it has none of them")
def check_load(context):
    assert context.load.take_report(10.5, queued=(1,)) is None
    report = context.load.take_report(11.0, queued=(1, 4))
    assert report["longest_pass_s"] == 0.2, report
    assert report["longest_lag_s"] == 0.4, report
    assert (report["unanswered"], report["longest_answer_s"]) == (1, 1.0), report
    assert (report["queued"], report["longest_queue"]) == (5, 4), report
    assert report["processor_s"] == 0.5, report
    later = context.load.take_report(12.0, queued=())
    assert not any(v for k, v in later.items() if k != "span_s"), later


COUNTED = RouteTable()


@COUNTED.route("POST", "/answer")
async def answer_counted(app, call):
    return reply_json({"bytes": len(call.body)})


@COUNTED.route("POST", "/hold")
async def hold_counted(app, call):
    await call.disconnected.wait()
    return reply_json({})


@given("a client and a server that count their traffic")
def start_counted(context):
    context.sent, context.served = TrafficMeter(), TrafficMeter()
    context.client = HttpClient(traffic=context.sent)
    lock, ports = reserve_port_block()
    context.add_cleanup(lock.close)
    context.address = f"127.0.0.1:{next(ports)}"

    async def start():
        server = HttpServer(None, COUNTED, traffic=context.served, kind="clients")
        server.listen(context.address)
        return server

    server = play(context, start())
    context.add_cleanup(lambda: play(context, server.close()))


def send_counted(context, size, kind, *, path="/answer", timeout_s=2.0):
    url = f"http://{context.address}{path}"
    call = context.client.call(
        "POST", url, body=b"x" * size, timeout_s=timeout_s, kind=kind
    )
    return play(context, call)


@when('the client sends 3000 bytes to the server as "run-start", and 10 as "hold"')
def send_both(context):
    for size, kind in ((3000, "run-start"), (10, "hold")):
        assert isinstance(send_counted(context, size, kind), HttpResponse)


@then('the client has sent at least 3000 bytes in 1 call as "run-start"')
def check_sent(context):
    context.report = context.sent.take_report()
    usage = context.report["run-start"]
    assert usage["calls"] == 1, context.report
    assert 3000 <= usage["sent_bytes"] <= 3400, context.report
    assert 10 <= context.report["hold"]["sent_bytes"] <= 410, context.report


@then("it has received what the server has sent, and begins again at 0")
def check_received(context):
    served = context.served.take_report()["clients"]
    received = sum(u["received_bytes"] for u in context.report.values())
    # The HTTP library adds the header lines "Date" and "Server" after the server has
    # counted, and removes "Content-Length" before the client counts.
    assert abs(served["sent_bytes"] - received) <= 100, (served, received)
    assert served["received_bytes"] >= 3010, served
    assert context.sent.take_report() == {}


@when('the client sends 3000 bytes as "run-start", and no answer comes in 0.2 s')
def send_unanswered(context):
    found = send_counted(context, 3000, "run-start", path="/hold", timeout_s=0.2)
    assert isinstance(found, SentUnanswered), found


@then('the client has counted 1 unanswered call of at least 0.2 s as "run-start"')
def check_unanswered(context):
    usage = context.sent.take_report()["run-start"]
    assert (usage["calls"], usage["unanswered"]) == (1, 1), usage
    assert usage["longest_answer_s"] >= 0.2, usage


@given("an urgent gang of 2 that is planned")
def plan_urgent(context):
    context.engine.submit(make_job("urgent", make_step(2, gang=True), priority=0))
    context.members = context.engine.start_all()
    record_decisions(context)


@when("its members are active {first:f} s and {second:f} s later")
def activate_members(context, first, second):
    began = context.engine.now
    for member, later in zip(context.members, (first, second), strict=True):
        context.engine.now = began + later
        context.engine.accept([member])


@then('one decision "urgent work began" names its wait of {seconds:f} s')
def check_began(context, seconds):
    inputs = find_decision(context, "urgent work began")
    assert (inputs["job"], inputs["waited_s"]) == ("urgent", seconds), inputs


@when("one of its members ends")
def end_member(context):
    member = context.members[0]
    worker = context.engine.core.workers[member.worker_id]
    context.engine.core._resolve(worker, member, "done")


@then('one decision "urgent work ended" names that member\'s worker')
def check_ended(context):
    inputs = find_decision(context, "urgent work ended")
    assert inputs["worker"] == context.members[0].worker_id, inputs
    assert inputs["slowness"] == 1.0, inputs


@when("its starts are due {seconds:f} s later")
def make_due(context, seconds):
    engine = context.engine
    for member in context.members:
        engine.core.record_start_due(member, engine.now + seconds)
    engine.now += seconds


@when("its first member is done {seconds:f} s after its start")
def finish_member(context, seconds):
    engine, member = context.engine, context.members[0]
    # The report that tells the end comes 0.01 s later.
    engine.now = member.active_at + seconds - 0.01
    engine.end(member, "done")


@then('the decision "{what}" has "{name}" {value:f}')
def check_input(context, what, name, value):
    inputs = find_decision(context, what)
    assert inputs[name] == value, inputs


@given("a task of low priority that is planned")
def plan_task(context):
    engine = context.engine
    engine.now += 1.0
    engine.submit(make_job("small", make_step(1), priority=2, at=engine.now))
    context.members = engine.start_all()
    record_decisions(context)


@when("it is active {seconds:f} s later")
def activate_task(context, seconds):
    context.engine.now += seconds
    context.engine.accept(context.members)


@then('there are {count:d} decisions "{what}"')
def check_decision_count(context, count, what):
    assert [name for name, _ in context.decisions].count(what) == count


class VirtualClock:
    now = 1000.0

    def read_wall(self) -> float:
        return self.now

    read_monotonic = read_wall


class SlowStore:
    """A store whose writes take a time on the clock that it is given."""

    def __init__(self, clock: VirtualClock, took_s: float) -> None:
        self._clock, self._took_s = clock, took_s

    async def commit(self, **_written) -> int:
        self._clock.now += self._took_s
        return 7


@given("a job that has ended")
def end_job(context):
    engine = context.engine = EngineWorld(2)
    engine.submit(make_job("late", make_step(1)))
    (member,) = engine.start_all()
    engine.accept([member])
    engine.end(member, "done")


@when("the store takes {seconds:f} s to record it")
def record_end(context, seconds):
    clock = VirtualClock()
    writer = ProgressWriter(
        core=context.engine.core,
        store=SlowStore(clock, seconds),
        token=1,
        revisions={},
        clock=clock,
        on_durable=lambda: None,
    )
    context.log_records = []
    logger = logging.getLogger("firladder._internal.node.progress_writer")
    with mock.patch.object(logger, "handle", context.log_records.append):
        asyncio.run(writer._write_batch())


@then('{count:d} line "end durable late" names the job')
def check_late_end(context, count):
    found = [r for r in context.log_records if r.getMessage() == "end durable late"]
    assert [r.job for r in found] == ["late"] * count, found
