import json
import os

from behave import given, then, when

from features.support.engine_world import EngineWorld
from firladder._internal.node.leader_load import LeaderLoad
from firladder._internal.utils.streams import BoundedStream


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
