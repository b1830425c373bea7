import asyncio

from behave import given, then, when

from features.support.gang_faults import Fate, Fault, GangPlay

ORDERS = {
    "the starts of 12 tasks": 12,
    "the stops of 12 tasks": 12,
    "the starts of 4 tasks, which are lost": 4,
}
START_ATTEMPTS = 3


async def settle(play, answer_s):
    """Replace the first leader by one with that round trip, and let it begin."""
    await play.kill_leader()
    await asyncio.sleep(0.1)
    play.elect(answer_s=answer_s)
    await asyncio.sleep(3.0)


@given("a leader of 2 workers, all of whose answers take {answer:f} s")
def choose_answers(context, answer):
    context.answer_s = answer


@when("a gang of 2 is submitted while one worker has {orders} to be sent first")
def submit_behind(context, orders):
    count, answer_s = ORDERS[orders], context.answer_s
    stops = orders.startswith("the stops")
    lost = START_ATTEMPTS * count if orders.endswith("lost") else 0
    faults = [Fault("start", 0, Fate.LOST, number=n + 1) for n in range(lost)]

    async def script(play):
        await settle(play, answer_s)
        # The small tasks are packed on one worker, beside which the gang still fits.
        play.submit("small", count=count, gang=False, need=1)
        if stops:
            await asyncio.sleep(count * answer_s + 1.0)
            play.cancel("small")
        else:
            await asyncio.sleep(0.005)
        play.submit("gang", count=2, need=17)

    context.play = GangPlay(2, faults=faults, accelerators=32, takes_s=12.0)
    context.play.play(script, seconds=25.0)


@when(
    "the leader hands over while one start of a gang of 2 is lost, and the worker of"
    " that start is silent to the successor for {silent:d} s"
)
def hand_over(context, silent):
    handover_s = 0.2
    faults = [Fault("start", 1, Fate.LOST, number=n + 1) for n in range(START_ATTEMPTS)]

    async def script(play):
        play.submit("gang", count=2)
        await asyncio.sleep(handover_s)
        play.faults.append(Fault("any", 1, Fate.LOST, until=play.now + silent))
        await play.succeed("handed over")

    context.play = GangPlay(2, faults=faults).play(script, seconds=20.0)


@when("a gang of 2 is submitted to it")
def submit_slow(context):
    async def script(play):
        await settle(play, context.answer_s)
        play.submit("gang", count=2)

    context.play = GangPlay(2).play(script, seconds=23.2)


def describe(play):
    return [
        (m.task.index, m.run, m.machine.number, m.how, round(m.started_at, 2))
        for m in play.members
        if m.size > 1
    ]


@then("no member of the gang ends alone")
def check_together(context):
    play = context.play
    wait_s = play.measure_longest_wait()
    assert not play.list_alone(), f"one waited {wait_s} s: {describe(play)}"


@then("the gang is done within 20 s")
def check_done(context):
    play = context.play
    assert "gang" in play.done_at, describe(play)
