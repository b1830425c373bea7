import dataclasses

from behave import given, then, when

from features.support.engine_world import LEASE_S, EngineWorld, make_job, make_step
from firladder._internal.engine.state import UnitState
from firladder._internal.models.order import EndedTask, RunningTask


@given("a task runs on a worker")
def run_task(context):
    context.engine = engine = EngineWorld(2)
    context.notes = []
    engine.core.note = lambda what, **inputs: context.notes.append((what, inputs))
    engine.submit(make_job("job", make_step(), at=engine.now))
    engine.accept(engine.start_all())
    context.placement = engine.find_placement("job")
    context.worker = engine.core.workers[context.placement.worker_id]


def list_end(context, number=1):
    first = context.placement
    end = EndedTask(number, first.task, first.run, "done", "")
    context.engine.now += 0.1
    context.engine.report(context.worker, ended=[end])


@when("the worker lists its end under a number that counts as read")
def list_read_number(context):
    context.worker.last_end_read = 1
    list_end(context)


@when("the worker lists neither the run nor its end")
def list_nothing(context):
    context.engine.now += 0.1
    context.engine.report(context.worker)


@when("the worker lists its end as done after its lease counted as ended")
def list_end_late(context):
    engine = context.engine
    engine.core.mark_unreachable(context.worker, engine.now)
    engine.now += 2 * LEASE_S
    engine.core.expire_runs(engine.now)
    assert engine.find_unit("job").state is UnitState.WAITING
    list_end(context)


@when("the worker lists a newer run of it")
def list_newer_run(context):
    first = context.placement
    row = RunningTask(first.task, first.run + 3, "", 10)
    context.engine.report(context.worker, running=[row])


@then(
    'the log has "{decision}" with the run, the newest run and the worker\'s last ends'
)
def check_note(context, decision):
    (inputs,) = [inputs for what, inputs in context.notes if what == decision]
    task = dataclasses.asdict(context.placement.task)
    assert inputs["job"] == task["job_id"]
    assert inputs["index"] == task["index"]
    assert inputs["run"] >= inputs["newest_run"] == 1, inputs
    assert inputs["worker"] == context.worker.worker_id
    assert inputs["acknowledged"] == context.worker.last_end_acknowledged
