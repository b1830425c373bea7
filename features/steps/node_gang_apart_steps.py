import asyncio
import itertools

from behave import given, then, when

from features.support.gang_faults import GangPlay, play_at_random
from features.support.gang_store import STORE, Fate, Fault

ORDERS = {
    "the starts of 12 tasks": 12,
    "the stops of 12 tasks": 12,
    "the starts of 4 tasks, which are lost": 4,
    "an urgent start each 0.2 s": 40,
}
START_ATTEMPTS = 3


async def settle(play, answer_s):
    """Replace the first leader by one with that round trip, and let it begin."""
    await play.kill_leader()
    await asyncio.sleep(0.1)
    play.elect(answer_s=answer_s)
    await asyncio.sleep(3.0)


@given("a leader of {workers:d} workers, all of whose answers take {answer:f} s")
def choose_answers(context, workers, answer):
    context.workers = workers
    context.answer_s = answer


@when("a gang of 2 is submitted while one worker has {orders} to be sent first")
def submit_behind(context, orders):
    count, answer_s = ORDERS[orders], context.answer_s
    stops = orders.startswith("the stops")
    lost = START_ATTEMPTS * count if orders.endswith("lost") else 0
    faults = [Fault("start", 0, Fate.LOST, number=n + 1) for n in range(lost)]

    async def submit_urgent(play):
        for number in range(count):
            play.submit(f"urgent-{number}", count=1, need=1, gang=False, priority=0)
            await asyncio.sleep(0.2)

    async def script(play):
        await settle(play, answer_s)
        # The small tasks are packed on one worker, beside which the gang still fits.
        if orders.startswith("an urgent"):
            play.spawn(submit_urgent(play))
            await asyncio.sleep(0.8)
        else:
            play.submit("small", count=count, gang=False, need=1)
            await asyncio.sleep(count * answer_s + 1.0 if stops else 0.005)
        if stops:
            play.cancel("small")
        play.submit("gang", count=2, need=17)

    takes_s = 2.0 if orders.startswith("an urgent") else 12.0
    context.play = GangPlay(2, faults=faults, accelerators=32, takes_s=takes_s)
    context.play.play(script, seconds=25.0)


@when(
    "the leader hands over while a start is lost, to a worker that is then silent for"
    " {silent:d} s"
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


def lose_starts(count, *, after=0):
    """Return faults that lose the next starts to the second worker."""
    return [Fault("start", 1, Fate.LOST, number=after + n + 1) for n in range(count)]


@when(
    "the leader hands over while a start is lost, and each listing then takes"
    " {listing:f} s"
)
def hand_over_slowly(context, listing):
    async def script(play):
        play.submit("gang", count=2)
        await asyncio.sleep(0.2)
        play.store.listing_s = listing
        await play.succeed("handed over")

    context.play = GangPlay(2, faults=lose_starts(START_ATTEMPTS))
    context.play.play(script, seconds=20.0)


@when(
    "a gang is aborted as no start to one worker is answered, and {stops:d} stops are"
    " lost"
)
def lose_stops(context, stops):
    async def script(play):
        play.submit("gang", count=2)

    faults = lose_starts(START_ATTEMPTS)
    faults += [Fault("stop", 0, Fate.LOST, number=n + 1) for n in range(stops)]
    context.play = GangPlay(2, faults=faults).play(script, seconds=20.0)


@when(
    "its answers come to take {answer:f} s, and {starts:d} starts of a gang are then"
    " lost"
)
def slow_down(context, answer, starts):
    async def script(play):
        play.submit("first", count=8, gang=False, need=1)
        await asyncio.sleep(0.3)
        term, _ = play.terms[-1]
        term.calls.answer_s = answer
        # The timeout of the next orders adapts to the answers to these starts.
        play.submit("second", count=5, gang=False, need=1)
        await asyncio.sleep(4.0)
        play.faults += lose_starts(starts, after=play.calls.get(("start", 1), 0))
        play.submit("gang", count=2, need=17)

    context.play = GangPlay(2, accelerators=32, takes_s=12.0)
    context.play.play(script, seconds=25.0)


@then("no run of the gang is stopped once it is whole")
def check_goes_on(context):
    play = context.play
    aborted = [m for m in play.members if m.size > 1 and m.whole_at and m.how != "done"]
    decisions = [what for what, _ in play.decisions if what == "run stands still"]
    assert not aborted, (describe(play), decisions)


@when("a gang of 2 is submitted to it")
def submit_slow(context):
    async def script(play):
        await settle(play, context.answer_s)
        play.submit("gang", count=2)

    context.play = GangPlay(2).play(script, seconds=23.2)


@when("a gang of 16 is submitted to it, 8 members for each worker")
def submit_wide(context):
    async def script(play):
        await settle(play, context.answer_s)
        play.submit("gang", count=16, need=1)

    context.play = GangPlay(2).play(script, seconds=23.2)


@when("a gang of {count:d} is submitted to it, one member for each worker")
def submit_to_all(context, count):
    async def script(play):
        await settle(play, context.answer_s)
        # The first polls of so many workers take longer than the others.
        await asyncio.sleep(3.0)
        play.submit("gang", count=count)

    play = GangPlay(context.workers, per_rack=count)
    context.play = play.play(script, seconds=26.2)


@when("the leader is killed while a start is lost, to a worker that is then silent")
def kill_beside_silence(context):
    faults = [Fault("start", 1, Fate.LOST, number=n + 1) for n in range(START_ATTEMPTS)]

    async def script(play):
        play.submit("gang", count=2)
        await asyncio.sleep(0.6)
        play.faults.append(Fault("any", 1, Fate.LOST, until=play.now + 4.0))
        await play.succeed("killed")

    context.play = GangPlay(2, faults=faults).play(script, seconds=20.0)


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


FATES = [(Fate.NOT_SENT, 0.0), (Fate.LOST, 0.0), (Fate.UNANSWERED, 0.0)]
FATES += [(Fate.LATE, late_s) for late_s in (0.6, 2.0, 6.0, 11.0)]
FATES += [(Fate.DOUBLED, late_s) for late_s in (0.6, 2.0, 6.0, 11.0)]


@when(
    "each of the first {calls:d} calls of each kind to each worker of a gang of 2 has a"
    " fault"
)
def play_single_faults(context, calls):
    async def script(play):
        play.submit("gang", count=2)

    context.plays = {}
    chosen = itertools.product(("start", "poll"), (0, 1), range(1, calls + 1), FATES)
    for kind, machine, number, (fate, late_s) in chosen:
        fault = Fault(kind, machine, fate, number=number, late_s=late_s)
        context.plays[fault] = GangPlay(3, faults=[fault]).play(script, seconds=20.0)


@when("the leader changes in each way at each of 6 times after a start with a fault")
def play_changes(context):
    ways = ("killed", "handed over", "cut off")
    times_s = (0.005, 0.02, 0.2, 0.6, 1.13, 2.0)
    fates = [(Fate.DELIVERED, 0.0), *FATES[1:5]]
    context.plays = {}
    for way, at_s, (fate, late_s) in itertools.product(ways, times_s, fates):

        async def script(play, way=way, at_s=at_s):
            play.submit("gang", count=2)
            await asyncio.sleep(at_s)
            await play.succeed(way)

        faults = [
            Fault("start", 1, fate, number=n + 1, late_s=late_s)
            for n in range(START_ATTEMPTS)
        ]
        play = GangPlay(3, faults=faults).play(script, seconds=25.0)
        context.plays[way, at_s, fate, late_s] = play


@then(
    "in each play no member waits for longer than {seconds:f} s, and the gang is done"
)
def check_waits(context, seconds):
    waits = {what: p.measure_longest_wait() for what, p in context.plays.items()}
    longest = max(waits, key=waits.get)
    assert waits[longest] <= seconds, (longest, waits[longest])
    for what, play in context.plays.items():
        assert "gang" in play.done_at, (what, describe(play))
        assert not play.find_overlaps(), (what, describe(play))
        assert not play.find_starts_after_done(), (what, describe(play))


@when(
    "each of the first {writes:d} writes has a fault, with and without a change of the"
    " leader"
)
def play_writes(context, writes):
    ways = (None, "killed", "handed over", "cut off")
    context.plays = {}
    fates = FATES[1:6]
    for way, number, (fate, late_s) in itertools.product(
        ways, range(1, writes + 1), fates
    ):

        async def script(play, way=way):
            play.submit("gang", count=2)
            await asyncio.sleep(1.13)
            if way is not None:
                await play.succeed(way)

        faults = lose_starts(START_ATTEMPTS)
        faults.append(Fault("write", STORE, fate, number=number, late_s=late_s))
        play = GangPlay(3, faults=faults).play(script, seconds=25.0)
        context.plays[way, number, fate, late_s] = play


@when(
    "{plays:d} plays of 6 jobs have faults, restarts, outages and changes of the leader"
)
def play_random(context, plays):
    context.plays = {seed: play_at_random(seed) for seed in range(plays)}


@then("in each play no task runs twice at once, and each job is done")
def check_random(context):
    for seed, play in context.plays.items():
        assert not play.find_overlaps(), (seed, play.find_overlaps()[:2])
        assert not play.find_starts_after_done(), (seed, play.find_starts_after_done())
        assert set(play.done_at) == set(play.jobs), (seed, play.events, play.done_at)
