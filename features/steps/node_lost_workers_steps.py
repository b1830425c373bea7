import asyncio

from behave import given, then, when

from features.support.gang_faults import GangPlay, play_at_random
from features.support.gang_store import Fate, Fault

LONG_S = 25.0


def play_gang(context, disturb, *, takes_s, seconds):
    """Submit a gang of 2; ``disturb`` returns when the disturbance ends."""

    async def script(play):
        play.over_at = await disturb(play)

    context.play = GangPlay(2, takes_s=takes_s).play(script, seconds=seconds)


def submit(play):
    play.submit("gang", count=2)


@given("two workers that a gang of 2 needs")
def choose_gang(context):
    pass


@when(
    "the gang is submitted while one of them cannot be connected to for {seconds:f} s"
)
@when(
    "the gang is submitted while one of them cannot be connected to for {seconds:d} s"
)
def refuse(context, seconds):
    async def disturb(play):
        over_at = play.now + seconds
        play.faults.append(Fault("any", 1, Fate.NOT_SENT, until=over_at))
        submit(play)
        return over_at

    play_gang(context, disturb, takes_s=5.0, seconds=seconds + 20.0)


@when("one of them does not answer the leader for {seconds:d} s while the gang runs")
def fall_silent(context, seconds):
    async def disturb(play):
        submit(play)
        await asyncio.sleep(1.0)
        over_at = play.now + seconds
        play.faults.append(Fault("any", 1, Fate.LOST, until=over_at))
        return over_at

    play_gang(context, disturb, takes_s=LONG_S, seconds=seconds + 50.0)


@when(
    "all answers to the leader take {answer:f} s for {seconds:d} s while the gang runs"
)
def slow_down_for(context, answer, seconds):
    async def disturb(play):
        submit(play)
        await asyncio.sleep(1.0)
        calls = play.terms[-1][0].calls
        usual_s, calls.answer_s = calls.answer_s, answer
        await asyncio.sleep(seconds)
        calls.answer_s = usual_s
        return play.now

    play_gang(context, disturb, takes_s=LONG_S, seconds=seconds + 50.0)


@when("all answers to the leader take {answer:f} s from some time after its start on")
def stay_slow(context, answer):
    async def disturb(play):
        submit(play)
        await asyncio.sleep(1.0)
        play.terms[-1][0].calls.answer_s = answer
        return play.now

    play_gang(context, disturb, takes_s=LONG_S, seconds=35.0)


def describe(play):
    workers = play.terms[-1][0].core.workers.values()
    reached = {w.worker_id: w.reachable for w in workers}
    runs = [(m.task.index, m.run, m.how) for m in play.members]
    return f"runs: {runs}; reachable: {reached}"


@then("the gang is done within {seconds:d} s of that")
def check_done(context, seconds):
    play = context.play
    done_at = play.done_at.get("gang")
    assert done_at is not None, f"never done; {describe(play)}"
    assert done_at <= play.over_at + seconds, (done_at, play.over_at)


@then("its first run is done")
def check_first(context):
    play = context.play
    assert [m.run for m in play.members] == [1, 1], describe(play)
    assert "gang" in play.done_at, describe(play)


@when("{plays:d} plays of 6 jobs have faults and changes, drawn from seed {seed:d} on")
def play_seeds(context, plays, seed):
    context.plays = {n: play_at_random(n) for n in range(seed, seed + plays)}


@then("each job is done, and the last leader reaches every worker")
def check_reached(context):
    for seed, play in context.plays.items():
        workers = play.terms[-1][0].core.workers.values()
        lost = [w.worker_id for w in workers if not w.reachable]
        undone = set(play.jobs) - set(play.done_at)
        assert not lost, f"seed {seed}: not reached: {lost}; not done: {undone}"
        assert not undone, f"seed {seed}: not done: {undone}"
        assert not play.find_starts_after_done(), f"seed {seed}: started after done"
