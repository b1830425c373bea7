from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import Phase
from firladder._internal.exceptions import SentUnanswered
from firladder._internal.models.order import RunningTask


@given("a gang of 3 of which two members are running and one is {third}")
def start_gang(context, third):
    engine = context.engine = EngineWorld(3)
    engine.submit(make_job("gang", make_step(3, gang=True)))
    context.members = engine.start_all()
    assert len(context.members) == 3
    engine.accept(context.members[: 3 if third == "running" else 2])


@when("the start of the third gets no answer")
def lose_start(context):
    engine = context.engine
    engine.now += 0.35
    lost = SentUnanswered(reason="no answer")
    engine.core.handle_start_answer(context.members[2], lost, engine.now)


@when("a poll does not list the third, nor any end of it")
def miss_third(context):
    engine = context.engine
    engine.now += 1.0
    engine.report(engine.core.workers[context.members[2].worker_id])


@then("all three members are ordered to stop")
def check_stops(context):
    stops = context.engine.core.take_stops(context.engine.now)
    assert set(stops) == set(context.members), stops
    assert all(m.phase is Phase.STOPPING for m in context.members)


@then("the gang is planned again within {seconds:f} s of the proof that they are over")
def check_again(context, seconds):
    engine = context.engine
    for member in context.members:
        engine.core.handle_stop_answer(member, engine.now, engine.now)
    engine.now += seconds / 2
    for member in context.members:
        engine.report(engine.core.workers[member.worker_id])
    # A worker that was unreachable gets a lease only after its record is updated.
    engine.make_durable()
    again = engine.start_all()
    assert [p.run for p in again] == [2, 2, 2], again


@when("it is proved over, and the leader is succeeded before the others are")
def succeed(context):
    engine, third = context.engine, context.members[2]
    engine.core.handle_stop_answer(third, engine.now, engine.now)
    engine.now += 0.01
    engine.report(engine.core.workers[third.worker_id])
    engine.make_durable()
    engine.succeed()


@then("the two others are ordered to stop by the successor")
def check_successor(context):
    engine = context.engine
    stops = engine.core.take_stops(engine.now)
    assert {s.task for s in stops} == {m.task for m in context.members[:2]}, stops


@given("a gang of 3 whose members wait 3 s, two of which were started 1 s apart")
def start_two(context):
    engine = context.engine = EngineWorld(3)
    engine.submit(make_job("gang", make_step(3, gang=True)))
    context.members = engine.start_all()
    context.notes = []
    engine.core.note = lambda what, **_: context.notes.append(what)
    context.first_start_at = engine.now
    for member in context.members[:2]:
        engine.core.record_start_sent(member, engine.now)
        engine.accept([member])
        engine.now += 1.0


@when("the start of the third is still queued {seconds:f} s after the first start")
def keep_queued(context, seconds):
    context.engine.now = context.first_start_at + seconds
    context.engine.core.abort_late_gangs(context.engine.now)


@when("the start of the third is only now sent {seconds:f} s after the first start")
def send_late(context, seconds):
    engine = context.engine
    engine.now = context.first_start_at + seconds
    assert engine.core.abort_late_gang(context.members[2].unit, engine.now)


@then("all three members are ordered to stop, 1.4 s before the first would end alone")
def check_aborted(context):
    assert context.engine.now <= context.first_start_at + 3.0 - 1.4
    check_stops(context)


@when("a poll reports progress of the first before the start of the third is answered")
def report_progress(context):
    engine, first = context.engine, context.members[0]
    worker = engine.core.workers[first.worker_id]
    engine.report(worker, [RunningTask(first.task, first.run, "", 1.0)])


@then("no member is ordered to stop {seconds:f} s after the first start")
def check_not_stopped(context, seconds):
    engine = context.engine
    engine.now = context.first_start_at + seconds
    engine.core.abort_late_gangs(engine.now)
    assert engine.core.take_stops(engine.now) == []


@when(
    "a successor finds the two at {percent:d} percent, and the third's worker is silent"
)
def succeed_beside_silence(context, percent):
    engine = context.engine
    engine.succeed()
    for member in context.members[:2]:
        worker = engine.core.workers[member.worker_id]
        engine.report(worker, [RunningTask(member.task, member.run, "", percent)])
    silent = engine.core.workers[context.members[2].worker_id]
    engine.core.mark_unreachable(silent, engine.now)


@then("the successor has stopped all members {seconds:f} s later")
def check_successor_stops(context, seconds):
    engine = context.engine
    engine.now += seconds
    engine.core.abort_late_gangs(engine.now)
    stops = engine.core.take_stops(engine.now)
    assert {s.task for s in stops} == {m.task for m in context.members}, stops


@then("the successor has not stopped any member {seconds:f} s later")
def check_successor_waits(context, seconds):
    context.engine.now += seconds
    context.engine.core.abort_late_gangs(context.engine.now)
    assert context.engine.core.take_stops(context.engine.now) == []


@when("the gang is checked again before its stops are answered")
def check_gang_again(context):
    engine = context.engine
    engine.now += 0.25
    engine.core.abort_late_gangs(engine.now)
    engine.core.abort_late_gang(context.members[2].unit, engine.now)


@then("one abort of it is logged")
def check_logged_once(context):
    assert context.notes.count("gang aborted") == 1, context.notes


@when(
    "it has resumed from a checkpoint, and a poll shows the first at {percent:d}"
    " percent"
)
def report_saved_progress(context, percent):
    engine, first = context.engine, context.members[0]
    first.unit.checkpoint = "saved"
    worker = engine.core.workers[first.worker_id]
    engine.report(worker, [RunningTask(first.task, first.run, "", percent)])


@then("all three members are ordered to stop {seconds:f} s after the first start")
def check_aborted_at(context, seconds):
    engine = context.engine
    engine.now = context.first_start_at + seconds
    engine.core.abort_late_gangs(engine.now)
    check_stops(context)


@when(
    "it has resumed from a checkpoint, and a successor finds the two at {percent:d}"
    " percent"
)
def succeed_resumed(context, percent):
    context.members[0].unit.checkpoint = "saved"
    context.engine.core.jobs["gang"].mark_changed()
    context.engine.core.dirty["gang"] = context.engine.core.jobs["gang"]
    context.engine.make_durable()
    succeed_beside_silence(context, percent)
    assert context.engine.find_unit("gang").checkpoint == "saved"
