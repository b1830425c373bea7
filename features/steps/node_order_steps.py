import asyncio

from behave import given, then, when

from features.support.engine_world import make_job, make_step
from features.support.fake_workers import SimulatedLeader
from features.support.loaded_term import LoadedTerm
from features.support.virtual_time import run_in_virtual_time


@given("a leader whose worker runs 8 tasks and then stops answering")
def fill_worker(context):
    context.leader = SimulatedLeader(1)
    context.leader.engine.submit(make_job("job", make_step(8, 1)))


@when("all of them are stopped and the worker does not answer for {silent:d} s")
def stop_all(context, silent):
    leader = context.leader
    calls = leader.calls

    async def fall_silent():
        leading = asyncio.create_task(leader.lead(1.0 + silent + 2.0))
        await asyncio.sleep(1.0)
        assert len(calls.running) == 8, calls.running
        calls.silent = True
        leader.core.cancel_job("job")
        leader.request_pass()
        await asyncio.sleep(silent)
        (session,) = leader.sessions.values()
        context.queued = session.queued_orders
        calls.silent = False
        await asyncio.sleep(1.0)
        context.left = dict(calls.running)
        await leading

    run_in_virtual_time(fall_silent())


@then("at most {limit:d} stops are queued for the worker")
def check_queued(context, limit):
    assert context.queued <= limit, context.queued


@then("all are carried out within 1 s of its return")
def check_stopped(context):
    assert context.left == {}, context.left


@given("a leader whose worker has one active task")
def run_one(context):
    context.leader = SimulatedLeader(1)
    context.leader.engine.submit(make_job("long", make_step(1, 1)))


@when("the start of another task is lost, and its stop is answered")
def lose_start(context):
    leader = context.leader

    async def lose():
        leading = asyncio.create_task(leader.lead(8.0))
        await asyncio.sleep(1.0)
        # A waiting poll is open by now, and no run ends for two seconds.
        leader.calls.lost = ["start"] * 4
        leader.engine.submit(make_job("lost", make_step(1, 1)))
        leader.request_pass()
        await asyncio.sleep(2.0)
        leader.calls.lost = []
        await leading

    run_in_virtual_time(lose())


@then("that task is ordered again within {seconds:f} s of the answer")
def check_again(context, seconds):
    calls = context.leader.calls
    sent = [s for s in calls.sent if s.task and s.task.job_id == "lost"]
    stop = next(s for s in sent if s.kind == "stop")
    again = next(s for s in sent if s.kind == "start" and s.run == 2)
    assert again.at - stop.at <= calls.answer_s + seconds, sent


@given("a leader all of whose answers take {seconds:f} s")
def delay_answers(context, seconds, workers=2):
    context.leader = SimulatedLeader(workers)
    context.leader.calls.answer_s = seconds


@given("a leader of one worker, all of whose answers take {seconds:f} s")
def delay_answers_of_one(context, seconds):
    delay_answers(context, seconds, workers=1)


@when("a job of 6 tasks is submitted")
def submit_six(context):
    context.leader.engine.submit(make_job("six", make_step(6, 2)))
    run_in_virtual_time(context.leader.lead(5.0))


@then("all of them are active within 5 s, none in more than its second run")
def check_begun(context):
    units = context.leader.core.jobs["six"].units
    assert all(unit.all_active and unit.run <= 2 for unit in units), units


@then("the timeout of the next order is {seconds:f} s")
def check_timeout(context, seconds):
    estimator = context.leader.timeout_estimator
    assert estimator.timeout_s == seconds, estimator.timeout_s


@given("a leader of {workers:d} workers, of whose next orders {lost:d} are lost")
def lose_some(context, workers, lost):
    context.leader = SimulatedLeader(workers)
    context.leader.calls.lost = ["start"] * lost


@when("a gang of {count:d} is submitted, one task for each worker")
def submit_gang(context, count):
    context.leader.engine.submit(make_job("gang", make_step(count, gang=True)))


@then("the gang is active within {seconds:f} s, in its first run")
def check_gang(context, seconds):
    run_in_virtual_time(context.leader.lead(seconds))
    unit = context.leader.engine.find_unit("gang")
    assert unit.all_active and unit.run == 1, (unit.run, unit.placements)


@when("a stop for it is lost, and a job of 4 tasks is submitted")
def lose_stop(context):
    leader = context.leader

    async def lose():
        leading = asyncio.create_task(leader.lead(3.0))
        await asyncio.sleep(1.0)
        leader.calls.lost = ["stop"]
        leader.core.cancel_job("long")
        leader.request_pass()
        # The stop is sent and unanswered when the starts of the job are due.
        await asyncio.sleep(0.2)
        leader.engine.submit(make_job("four", make_step(4, 1)))
        leader.request_pass()
        await asyncio.sleep(1.0)
        context.units = [(u.all_active, u.run) for u in leader.core.jobs["four"].units]
        await leading

    run_in_virtual_time(lose())


@then("all 4 are active within 1 s, in their first run")
def check_first_runs(context):
    assert context.units == [(True, 1)] * 4, context.units


def submit_six_small(context, then_do):
    """Submit six small tasks, call ``then_do`` 0.1 s later; lead for 4 s in all."""
    leader = context.leader

    async def submit():
        leading = asyncio.create_task(leader.lead(4.0))
        leader.engine.submit(make_job("small", make_step(6, 1)))
        await asyncio.sleep(0.1)
        then_do(leader)
        leader.request_pass()
        await leading

    run_in_virtual_time(submit())


@when("a job of 6 small tasks is submitted, and an urgent one 0.1 s later")
def submit_urgent(context):
    urgent = make_job("urgent", make_step(1, 2), priority=0)
    submit_six_small(context, lambda leader: leader.engine.submit(urgent))


@then("the urgent one is active before 3 of the small tasks are")
def check_order(context):
    units = context.leader.core.jobs["small"].units
    urgent = context.leader.engine.find_unit("urgent").active_since
    earlier = [u for u in units if u.active_since and u.active_since < urgent]
    assert urgent and len(earlier) < 3, (urgent, earlier)


@when("a job of 6 small tasks is submitted, and cancelled 0.1 s later")
def cancel_soon(context):
    submit_six_small(context, lambda leader: leader.core.cancel_job("small"))


@then("only its first task was started, and no other was stopped")
def check_unsent(context):
    sent = context.leader.calls.sent
    started = {s.task for s in sent if s.kind == "start"}
    assert len(started) == 1, started
    assert {s.task for s in sent if s.kind == "stop"} <= started, sent


@given("a leader of {workers:d} workers, one of which accepts no connection")
def refuse_connections(context, workers):
    context.leader = SimulatedLeader(workers)
    context.leader.calls.refusing.add("w0")


@when("a job of {count:d} small tasks is submitted")
def submit_small(context, count):
    context.leader.engine.submit(make_job("small", make_step(count, 1)))


@then("all of them are active within {seconds:d} s")
def check_active(context, seconds):
    run_in_virtual_time(context.leader.lead(float(seconds)))
    units = context.leader.core.jobs["small"].units
    assert all(unit.all_active for unit in units), units


@when("a gang of {count:d} small tasks is submitted")
def submit_small_gang(context, count):
    context.leader.engine.submit(make_job("gang", make_step(count, 1, gang=True)))
    run_in_virtual_time(context.leader.lead(12.0))


@then("it is active, and the starts of that run are sent at most {seconds:d} s apart")
def check_spread(context, seconds):
    unit = context.leader.engine.find_unit("gang")
    assert unit.all_active, unit
    starts = [s for s in context.leader.calls.sent if s.kind == "start"]
    times = [s.at for s in starts if s.run == unit.run]
    assert max(times) - min(times) <= seconds, starts


@given("a leader each of whose passes takes {seconds:f} s")
def slow_passes(context, seconds):
    context.pass_s = seconds


@when("a pass is requested all the time for {seconds:d} s")
def request_passes(context, seconds):
    async def lead():
        term = LoadedTerm()
        loop = asyncio.get_running_loop()
        term._planner.run_pass = lambda **_times: loop.advance(context.pass_s)

        async def request():
            while loop.time() < seconds:
                term.request_pass()
                await asyncio.sleep(0.01)

        await term.lead(request())
        context.planned_s = term.passes * context.pass_s

    run_in_virtual_time(lead())


@then("the passes take at most {seconds:f} s of them")
def check_pass_time(context, seconds):
    assert 0 < context.planned_s <= seconds, context.planned_s
