import asyncio

from behave import given, then, when

from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault

FIRST, SECOND = "first", "second"
UNSEEN_S = 0.6
"""Seconds for which polls of the restarted worker are lost."""


@given("2 workers that keep their ids, where {count:d} tasks have ended as done")
def prepare(context, count):
    context.count = count
    context.play = GangPlay(2, keep_ids=True, takes_s=0.1)


async def await_ends(play):
    """Wait until the leader has read all ends of the first worker."""
    core = play.terms[-1][0].core
    worker = core.workers[play.machines[0].worker_id]
    while worker.last_end_read < len(play.machines[0].members_ended) or not (
        worker.last_end_read
    ):
        await asyncio.sleep(0.001)


async def restart_acknowledged(play, count):
    play.submit(FIRST, count=count, need=0, gang=False)
    await asyncio.sleep(3.0)
    play.machines[0].registered = False
    await play.restart_machine(0, down_s=0.02)
    play.submit(SECOND, count=count, need=0, gang=False)
    play.faults.append(Fault("poll", 0, Fate.LOST, until=play.now + UNSEEN_S))
    await asyncio.sleep(3.2)
    play.machines[0].registered = True


async def restart_unanswered(play, count):
    play.submit(FIRST, count=count, need=0, gang=False)
    await asyncio.sleep(0.3)
    await await_ends(play)
    late = Fault("start", 0, Fate.LATE, late_s=0.4, until=play.now + 0.3)
    lost = Fault("poll", 0, Fate.UNANSWERED, until=play.now + UNSEEN_S)
    play.faults += [late, lost]
    play.submit(SECOND, count=count, need=0, gang=False)
    await asyncio.sleep(0.2)
    await play.restart_machine(0, down_s=0.02)


SCRIPTS = {
    "its ends were acknowledged": restart_acknowledged,
    "an acknowledgement got no answer": restart_unanswered,
}


@when("one starts again under its id after {before}, and {count:d} tasks of 0.1 s come")
def restart(context, before, count):
    context.script = SCRIPTS[before]


@when("the first polls of it and its first entry are lost")
def play(context):
    async def script(play):
        await context.script(play, context.count)

    context.play.play(script, seconds=40.0)


@then(
    "each of the {count:d} tasks is done, and none starts after its end was"
    " acknowledged"
)
def check_once(context, count):
    play = context.play
    core = play.terms[-1][0].core
    shown = [core.read_state(name).value for name in (FIRST, SECOND)]
    assert shown == ["completed"] * 2, shown
    done = {m.task for m in play.members if m.how == "done"}
    assert len(done) == count, len(done)
    again = [
        (a.task.job_id, a.task.index, a.run, b.run)
        for a, b in play.find_starts_after_done()
    ]
    assert not again, again
