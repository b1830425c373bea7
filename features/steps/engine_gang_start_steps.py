from behave import given, then, when

from features.support.engine_world import EngineWorld, make_job, make_step
from firladder._internal.engine.state import Phase
from firladder._internal.exceptions import SentUnanswered


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
