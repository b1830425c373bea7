import dataclasses

from behave import given, then, when

from features.support.engine_world import make_job, make_step
from firladder._internal.engine.state import Phase
from firladder._internal.models.order import EndedTask, RunningTask


@given('job "{name}" of 1 task is started again, as its worker began its next life')
def begin_next_life(context, name):
    engine = context.engine
    engine.submit(make_job(name, make_step()))
    engine.accept(engine.start_all())
    context.first = first = engine.find_placement(name)
    worker = engine.core.workers[first.worker_id]
    worker.entry = dataclasses.replace(worker.entry, born=1)
    engine.now += 0.1
    engine.report(worker, [RunningTask(first.task, first.run, "", 10)])
    entry = dataclasses.replace(worker.entry, born=2)
    context.worker = engine.core.register_worker(entry, now=engine.now)
    assert not engine.find_unit(name).placements


@given("its second run is {state}")
def bring_to(context, state):
    engine = context.engine
    assert engine.plan() == 1
    if state == "planned":
        return
    engine.make_durable()
    started = engine.core.take_starts()
    if state in ("at work", "over"):
        engine.accept(started)
    if state == "over":
        engine.end(started[0], "stopped")


@when('the next life lists the end "done" of the first run')
def list_end(context):
    engine, first = context.engine, context.first
    engine.now += 0.1
    end = EndedTask(1, first.task, first.run, "done", "")
    engine.report(context.worker, ended=[end])
    assert context.worker.find_last_durable_end() == 0


@then('"{name}" has no run that is not being stopped')
def check_stopped(context, name):
    engine = context.engine
    phases = {p.phase for p in engine.find_unit(name).placements.values()}
    assert phases <= {Phase.STOPPING}, phases
    engine.make_durable()
    assert not engine.core.take_starts()
    assert engine.plan() == 0


@then('the end is acknowledged only when "{name}" is durably completed')
def check_acknowledged(context, name):
    engine = context.engine
    shown = engine.core.read_state(name)
    assert shown is not None and shown.value == "completed", shown
    assert context.worker.find_last_durable_end() == 1
