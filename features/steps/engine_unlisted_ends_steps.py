from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job
from features.support.listing_worker import ListingWorker
from firladder._internal.engine.state import JobState
from firladder._internal.models.workload import Resources, Step

POLL_EVERY_S = 0.25


def poll(context):
    """Poll the worker as its session does, and apply its report."""
    engine = context.engine
    worker = engine.core.workers["w0"]
    report, acknowledged = context.worker.answer_poll(worker)
    worker.drop_acknowledged_ends(acknowledged)
    engine.core.handle_report(worker, report, sent_at=engine.now, now=engine.now)


@given(
    "{count:d} tasks that run on one worker and are all done while the store is down"
)
def run_tasks(context, count):
    context.engine = engine = EngineWorld(1)
    step = Step(count=count, need=Resources(40, 16, 0), estimate_s=5.0)
    engine.submit(make_job("wide", step, at=engine.now))
    context.placements = engine.start_all()
    assert len(context.placements) == count
    engine.accept(context.placements)
    context.worker = ListingWorker()
    for placement in context.placements:
        context.worker.end(placement)
    context.started = []


@given("the last of them has vanished from the worker without an end")
def drop_last_end(context):
    context.worker.ends.pop()


@when("the leader reads the ends that fit into its reports for {seconds:d} s")
def read_ends(context, seconds):
    engine = context.engine
    for _ in range(int(seconds / POLL_EVERY_S)):
        engine.now += POLL_EVERY_S
        poll(context)
        engine.core.abort_stalled_runs(engine.now)
        engine.plan()


@when("a successor reads the ends that fit into its reports for {seconds:d} s")
def read_ends_as_successor(context, seconds):
    context.engine.succeed()
    read_ends(context, seconds)


@then("no task is stopped or started again")
def check_untouched(context):
    engine = context.engine
    stops = engine.core.take_stops(engine.now)
    assert not stops, len(stops)
    units = engine.core.jobs["wide"].units
    assert {unit.run for unit in units} == {1}


@when("the store is back, and the worker's other ends are read")
def read_other_ends(context):
    engine = context.engine
    for _ in range(4):
        engine.make_durable()
        engine.now += POLL_EVERY_S
        poll(context)
        for placement in engine.core.take_stops(engine.now):
            engine.core.handle_stop_answer(placement, engine.now, engine.now)
    context.started = engine.start_all()


@then("the job is completed, and each task has started once")
def check_completed(context):
    assert context.engine.core.read_state("wide") is JobState.COMPLETED
    assert not context.started, len(context.started)


@then("only the last task is started again")
def check_last_started(context):
    last = context.placements[-1].task
    assert [p.task for p in context.started] == [last], len(context.started)
