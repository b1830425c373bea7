import asyncio
import types

from behave import given, then, when

from features.support.engine_world import make_job, make_step
from features.support.fake_workers import SimulatedLeader
from features.support.virtual_time import VirtualClock, run_in_virtual_time
from firladder._internal.node.link_backlog import LinkBacklog
from firladder._internal.node.order_window import OrderWindow
from firladder._internal.node.orders import Order, Rank


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


@when("a job of 6 small tasks is submitted, and the leader is frozen 0.1 s later")
def freeze(context):
    def lose_authority(leader):
        leader.may_renew = False

    submit_six_small(context, lose_authority)


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


def lead_and_lose(context, lost, then_do):
    """Lead for 1 s, lose the next ``lost`` starts, call ``then_do``, lead for 3 s."""
    leader = context.leader

    async def lose():
        leading = asyncio.create_task(leader.lead(4.0))
        await asyncio.sleep(1.0)
        leader.calls.lost = ["start"] * lost
        then_do(leader)
        leader.request_pass()
        await leading

    run_in_virtual_time(lose())


@when("the start of another task is lost 3 times, and the first is stopped meanwhile")
def stop_beside_lost_start(context):
    def submit_and_cancel(leader):
        leader.engine.submit(make_job("lost", make_step(1, 1), priority=0))

        def cancel():
            context.cancelled_at = leader.clock.read_monotonic()
            leader.core.cancel_job("long")
            leader.request_pass()

        asyncio.get_running_loop().call_later(0.05, cancel)

    lead_and_lose(context, 3, submit_and_cancel)


@then("its stop is sent within {seconds:f} s")
def check_stop_sent(context, seconds):
    sent = context.leader.calls.sent
    (stop,) = (s for s in sent if s.kind == "stop" and s.task.job_id == "long")
    assert stop.at - context.cancelled_at <= seconds, sent


@when("a job of 7 tasks is submitted, and the next {lost:d} starts are lost")
def lose_starts(context, lost):
    def submit(leader):
        leader.engine.submit(make_job("seven", make_step(7, 1)))

    lead_and_lose(context, lost, submit)


@then("{count:d} of its starts were sent within {seconds:f} s")
def check_sent(context, count, seconds):
    sent = [s for s in context.leader.calls.sent if s.kind == "start"]
    until = 1.0 + seconds
    in_time = {s.task for s in sent if s.task.job_id == "seven" and s.at <= until}
    assert len(in_time) == count, sent


@then("an order is overdue after {seconds:f} s or more")
def check_overdue(context, seconds):
    assert context.leader.timeout_estimator.overdue_s >= seconds


@given("a leader of {workers:d} workers that each answer after {seconds:f} s")
def delay_answers_of_many(context, workers, seconds):
    delay_answers(context, seconds, workers=workers)


@when("{count:d} gangs of {size:d} are submitted, one task for each worker")
def submit_gangs(context, count, size):
    for number in range(count):
        step = make_step(size, gang=True)
        context.leader.engine.submit(make_job(f"gang{number}", step))
    run_in_virtual_time(context.leader.lead(4.0))


@then("at most {limit:d} orders were in flight, and all gangs are active in run 1")
def check_in_flight(context, limit):
    assert context.leader.calls.most_in_flight <= limit
    units = [job.units[0] for job in context.leader.core.jobs.values()]
    assert all(u.all_active and u.run == 1 for u in units), units


@given("an order window that is full")
def fill_window(context):
    clock = VirtualClock()
    backlog = LinkBacklog(link_mbps=1000.0, read_clock=clock.read_monotonic)
    context.window = OrderWindow(backlog=backlog, clock=clock, size=1)
    context.granted = []


def make_order(window, rank):
    placement = types.SimpleNamespace(unit=None)
    return Order(rank, next(window.numbers), placement, rank is not Rank.STOP, 0.0)


async def grant_turns(context, turns):
    """Release one turn at a time; record which of ``turns`` are done after each."""
    for _ in turns:
        context.window.release()
        await asyncio.sleep(0)
        done = {name for name, turn in turns.items() if turn.done()}
        context.granted.append(done - set().union(*context.granted))


@when("a start, a stop and an urgent start wait, each for a worker of its own")
def wait_for_turns(context):
    async def wait():
        window = context.window
        await window.request(make_order(window, Rank.START))
        ranks = (Rank.START, Rank.STOP, Rank.URGENT_START)
        turns = {rank: window.request(make_order(window, rank)) for rank in ranks}
        await grant_turns(context, turns)

    run_in_virtual_time(wait())


@then("they get their turns in the order urgent start, stop, start")
def check_turns(context):
    expected = [{Rank.URGENT_START}, {Rank.STOP}, {Rank.START}]
    assert context.granted == expected, context.granted


@when("two starts wait, and an urgent start joins the second")
def promote_second(context):
    async def wait():
        window = context.window
        await window.request(make_order(window, Rank.START))
        turns = {n: window.request(make_order(window, Rank.START)) for n in (1, 2)}
        window.promote(turns[2], make_order(window, Rank.URGENT_START))
        await grant_turns(context, turns)

    run_in_virtual_time(wait())


@then("the second gets its turn first, and only one turn is granted for each release")
def check_promoted(context):
    assert context.granted == [{2}, {1}], context.granted


@given("a leader whose worker runs 8 tasks, and whose answers take {seconds:f} s")
def fill_slow_worker(context, seconds):
    fill_worker(context)
    context.leader.calls.answer_s = seconds


@when("all of them are stopped")
def stop_eight(context):
    leader = context.leader

    async def stop():
        leading = asyncio.create_task(leader.lead(4.0))
        await asyncio.sleep(2.0)
        assert len(leader.calls.running) == 8, leader.calls.running
        leader.core.cancel_job("job")
        leader.request_pass()
        await leading
        assert leader.calls.running == {}

    run_in_virtual_time(stop())
    context.stops = [s.at for s in leader.calls.sent if s.kind == "stop"]


@then("the last stop is sent within {seconds:f} s of the first")
def check_cleared(context, seconds):
    assert len(context.stops) == 8, context.stops
    assert context.stops[-1] - context.stops[0] <= seconds, context.stops


@then("at most {limit:d} stops await their answer at a time")
def check_parallel(context, limit):
    answer_s = context.leader.calls.answer_s
    open_counts = [
        sum(at <= other < at + answer_s - 1e-6 for other in context.stops)
        for at in context.stops
    ]
    assert max(open_counts) <= limit, context.stops


@given("a leader of {workers:d} workers behind a link of 2 Mbit/s")
def lead_behind_link(context, workers):
    context.leader = SimulatedLeader(workers, link_mbps=2.0)
    context.leader.calls.link = context.leader.backlog


@given("a leader of {workers:d} workers behind a link of 2 Mbit/s that is never free")
def lead_behind_full_link(context, workers):
    context.leader = SimulatedLeader(workers, link_mbps=2.0)
    # The other traffic has links of its own to the workers here, so that only the
    # pacing is measured.
    context.leader.backlog.add(10_000_000)


def submit_others(leader, step):
    leader.engine.submit(make_job("others", step, payload="x" * 3000, priority=1))


@when(
    "40 tasks of 3000 bytes are submitted, one for each worker, "
    "and an urgent one 0.1 s later"
)
def submit_forty(context):
    leader = context.leader

    async def submit():
        leading = asyncio.create_task(leader.lead(3.0))
        await asyncio.sleep(0.5)
        submit_others(leader, make_step(40, 8))
        leader.request_pass()
        await asyncio.sleep(0.1)
        leader.engine.submit(make_job("urgent", make_step(1, 1), priority=0))
        leader.request_pass()
        await leading

    run_in_virtual_time(submit())
    context.submitted_s = 0.5


@when("4 tasks of 3000 bytes are submitted")
def submit_four(context):
    context.submitted_s = 0.0
    submit_others(context.leader, make_step(4, 1))
    run_in_virtual_time(context.leader.lead(3.0))


@then("the urgent one is active {seconds:f} s after that")
def check_urgent(context, seconds):
    active_at = context.leader.engine.find_unit("urgent").active_since
    assert 0 < active_at <= context.submitted_s + 0.1 + seconds, active_at


@then("all of the others are active within {seconds:f} s")
def check_others(context, seconds):
    units = context.leader.core.jobs["others"].units
    assert all(unit.all_active for unit in units), units
    last = max(unit.active_since for unit in units)
    assert last <= context.submitted_s + seconds, last


@given("a link of 2 Mbit/s that is busy for 0.2 s")
def fill_link(context):
    context.clock = VirtualClock()
    context.link = LinkBacklog(link_mbps=2.0, read_clock=context.clock.read_monotonic)
    context.link.add(int(0.2 * context.link.bytes_per_s))


@when("starts queued at 3, 1 and 2 s wait for it, and the oldest is withdrawn")
def wait_for_link(context):
    context.left = []

    async def wait():
        window = OrderWindow(backlog=context.link, clock=context.clock)
        turns = {}
        placement = types.SimpleNamespace(unit=None)
        for queued_at in (3, 1, 2):
            order = Order(Rank.START, queued_at, placement, True, float(queued_at))
            turns[queued_at] = window.request(order, size=6000)
            turns[queued_at].add_done_callback(
                lambda turn, queued_at=queued_at: context.left.append(
                    (queued_at, queued_at == 1, context.clock.read_monotonic())
                )
            )
        window.skip(turns[1])
        await asyncio.wait(turns.values())

    run_in_virtual_time(wait())


@then("those of 2 and 3 s leave in this order, 0.17 s later at the earliest")
def check_left(context):
    left = [(queued_at, at) for queued_at, gone, at in context.left if not gone]
    assert [queued_at for queued_at, _ in left] == [2, 3], context.left
    assert 0.169 <= left[0][1] <= left[1][1] <= 0.25, context.left


@when("40 tasks of 3000 bytes are submitted, and cancelled for one more 0.1 s later")
def cancel_forty(context):
    leader = context.leader
    context.submitted_s = 0.5

    async def submit():
        leading = asyncio.create_task(leader.lead(3.0))
        await asyncio.sleep(context.submitted_s)
        submit_others(leader, make_step(40, 8))
        leader.request_pass()
        await asyncio.sleep(0.1)
        leader.core.cancel_job("others")
        leader.engine.submit(make_job("one more", make_step(1, 8)))
        leader.request_pass()
        await leading

    run_in_virtual_time(submit())


@then("that one is active {seconds:f} s after that")
def check_one_more(context, seconds):
    active_at = context.leader.engine.find_unit("one more").active_since
    assert 0 < active_at <= context.submitted_s + 0.1 + seconds, active_at


@given(
    "a leader of {workers:d} workers that run 8 tasks each, whose answers take"
    " {seconds:f} s"
)
def fill_workers(context, workers, seconds):
    delay_answers(context, seconds, workers=workers)
    context.leader.engine.submit(make_job("job", make_step(8 * workers, 1)))


@when("all of them are stopped, and {silent:d} of the workers do not answer")
def stop_beside_silent(context, silent):
    context.silent = {f"w{number}" for number in range(silent)}


@then(
    "a gang of 2 that is submitted 1 s later is active within {seconds:f} s, in its"
    " first run"
)
def check_gang_beside_silent(context, seconds):
    leader = context.leader

    async def submit():
        leading = asyncio.create_task(leader.lead(9.5 + seconds))
        await asyncio.sleep(8.0)
        leader.calls.silent_workers = context.silent
        leader.core.cancel_job("job")
        leader.request_pass()
        await asyncio.sleep(1.0)
        leader.engine.submit(make_job("gang", make_step(2, 8, gang=True)))
        leader.request_pass()
        await asyncio.sleep(seconds)
        unit = leader.engine.find_unit("gang")
        assert unit.all_active and unit.run == 1, (unit.run, unit.placements)
        await leading

    run_in_virtual_time(submit())
