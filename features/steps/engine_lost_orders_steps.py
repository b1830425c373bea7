import dataclasses

from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.exceptions import (
    NotSent,
    OrderRejected,
    SentUnanswered,
    WorkerRefused,
)
from firladder._internal.node.term import TICK_S
from firladder._internal.node.timeout_estimator import MIN_TIMEOUT_S as ORDER_TIMEOUT_S

ANSWER_S = 0.01
LOST = SentUnanswered(reason="no answer")

REPETITIONS = {
    "is refused": WorkerRefused(reason="503"),
    "is not sent": NotSent(reason="cannot connect"),
    "is rejected for lack of capacity": OrderRejected(
        reason="409 room", rejection="no_room"
    ),
}


@given("an urgent job of {takes:f} s that is ordered at once")
def order(context, takes):
    engine = context.engine = EngineWorld(2)
    step = dataclasses.replace(make_step(1, 8), estimate_s=takes)
    job = make_job("urgent", step, priority=0, at=engine.now)
    engine.submit(dataclasses.replace(job, stretch=1.5, slo_s=0.25))
    (context.placement,) = engine.start_all()
    context.until = engine.now + (1.5 - 1) * takes + 0.25


@when("the order gets no answer, and {lost:d} orders to stop it get none")
def lose(context, lost):
    engine, placement = context.engine, context.placement
    engine.now += ORDER_TIMEOUT_S
    engine.core.handle_start_answer(placement, LOST, engine.now)
    for _ in range(lost):
        wait_for_stop(engine)
        engine.now += ORDER_TIMEOUT_S
        engine.core.handle_stop_answer(placement, LOST, engine.now)
    wait_for_stop(engine)
    engine.now += ANSWER_S
    engine.core.handle_stop_answer(placement, engine.now, engine.now)
    sent_at = engine.now + ANSWER_S
    engine.now += 2 * ANSWER_S
    worker = engine.core.workers[placement.worker_id]
    engine.report(worker, sent_at=sent_at)


def wait_for_stop(engine):
    """Let time pass at a leader's interval until a stop order is due."""
    while not engine.core.take_stops(engine.now):
        engine.now += TICK_S


@then("it is ordered again before its time to spare is over")
def check_again(context):
    engine = context.engine
    again = engine.start_all()
    assert [p.run for p in again] == [2], again
    assert engine.now < context.until, (engine.now, context.until)


@when("the order gets no answer, and its repetition {answer}")
def repeat_start(context, answer):
    engine, placement = context.engine, context.placement
    engine.now += ORDER_TIMEOUT_S
    placement.may_start_late = True
    engine.core.handle_start_answer(placement, REPETITIONS[answer], engine.now)


@then("the task is not ordered again before its stop is answered and it is not listed")
def check_proof(context):
    engine, placement = context.engine, context.placement
    worker = engine.core.workers[placement.worker_id]
    assert engine.core.take_stops(engine.now) == [placement]
    engine.now += ANSWER_S
    engine.report(worker)
    assert engine.start_all() == []
    engine.core.handle_stop_answer(placement, engine.now, engine.now)
    engine.now += ANSWER_S
    engine.report(worker)
    engine.make_durable()
    assert [p.run for p in engine.start_all()] == [2]


@when("it is aborted while its start still waits to be sent")
def abort_unsent(context):
    engine, placement = context.engine, context.placement
    engine.core.preempt(placement.unit)
    engine.core.drop_unsent(placement)


@then("its capacity is free without a stop or a poll")
def check_free(context):
    engine, placement = context.engine, context.placement
    worker = engine.core.workers[placement.worker_id]
    assert worker.free == worker.entry.capacity, worker.placements
    assert engine.core.take_stops(engine.now) == []
    assert [p.run for p in engine.start_all()] == [2]
