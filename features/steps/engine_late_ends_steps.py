from behave import given, then, when

from features.support.engine_world import LEASE_S, EngineWorld, make_job, make_step
from firladder._internal.engine.state import JobState, UnitState
from firladder._internal.models.order import EndedTask


@given("a {kind} runs whose leases count as expired, and {since_then}")
def expire(context, kind, since_then):
    context.engine = engine = EngineWorld(4)
    gang = kind == "gang"
    engine.submit(make_job("job", make_step(1 + gang, gang=gang), at=engine.now))
    context.first = engine.start_all()
    engine.accept(context.first)
    context.workers = [engine.core.workers[p.worker_id] for p in context.first]
    for worker in context.workers:
        engine.core.mark_unreachable(worker, engine.now)
    engine.now += 2 * LEASE_S
    engine.core.expire_runs(engine.now)
    engine.make_durable()
    assert engine.find_unit("job").state is UnitState.WAITING
    if since_then == "it is planned again":
        assert engine.plan()
    elif since_then != "it waits":
        context.second = engine.start_all()
        assert [p.run for p in context.second] == [2] * len(context.first)
    if since_then == "it is at work again":
        engine.accept(context.second)


@given("its job is cancelled")
def cancel(context):
    context.engine.core.cancel_job("job")


@when("a worker lists its end as done")
def list_end(context):
    first = context.first[0]
    end = EndedTask(1, first.task, first.run, "done", "")
    context.engine.now += 0.1
    context.engine.report(context.workers[0], ended=[end])


@when("a successor reads the records")
def succeed(context):
    context.engine.make_durable()
    context.engine.succeed()


@then("the job is completed once that is durable, and the end is acknowledged")
def check_completed(context):
    core, worker = context.engine.core, context.workers[0]
    assert core.read_state("job") is JobState.RUNNING
    assert worker.find_last_durable_end() == 0
    context.engine.make_durable()
    assert core.read_state("job") is JobState.COMPLETED
    assert worker.find_last_durable_end() == 1


@then("nothing of it is started, and {which} run is stopped")
def check_stopped(context, which):
    engine = context.engine
    assert not engine.start_all()
    stopped = [(p.task, p.run) for p in engine.core.take_stops(engine.now)]
    expected = [(p.task, p.run) for p in context.second] if which == "the" else []
    assert stopped == expected, stopped


@then("the job is shown as cancelled")
def check_cancelled(context):
    assert context.engine.core.read_state("job") is JobState.CANCELLED


@given("two tasks run on one worker")
def run_two(context):
    context.engine = engine = EngineWorld(1)
    engine.submit(make_job("job", make_step(2, 4), at=engine.now))
    context.first = engine.start_all()
    engine.accept(context.first)
    (context.worker,) = {engine.core.workers[p.worker_id] for p in context.first}


@when("it lists the end of the second before that of the first, both as done")
def list_backwards(context):
    ends = [
        EndedTask(number, placement.task, placement.run, "done", "")
        for number, placement in enumerate(context.first, 1)
    ]
    context.engine.now += 0.1
    context.engine.report(context.worker, ended=ends[::-1])


@then("the job is completed once that is durable")
def check_both_read(context):
    context.engine.make_durable()
    assert context.engine.core.read_state("job") is JobState.COMPLETED
