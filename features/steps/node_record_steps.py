import asyncio

import msgspec
from behave import given, then, when

from features.support.gang_faults import GangPlay
from features.support.gang_store import make_records
from firladder._internal.engine.state import JobState
from firladder._internal.exceptions import OutcomeUnknown
from firladder._internal.node.keys import JOBS, PROGRESS

JOB = "0000000000000001"
OTHER = "0000000000000002"
TAKES_S = 2.0
STATE = 0
UNITS = 1
UNIT_NUMBER = 0
UNIT_STATE = 1
UNIT_PLACED = 5


def cut_short(value):
    return value[: len(value) // 2]


def change(path, new):
    """Return what replaces a field of a record, found by its position."""

    def damage(value):
        record = msgspec.msgpack.decode(value)
        *parents, last = path
        part = record
        for index in parents:
            part = part[index]
        part[last] = new
        return msgspec.msgpack.encode(record)

    return damage


DAMAGES = {
    "its progress is cut short": (PROGRESS, cut_short),
    "its progress has a state that is not known": (PROGRESS, change([STATE], "x")),
    "a unit of it has a state that is not known": (
        PROGRESS,
        change([UNITS, 0, UNIT_STATE], "x"),
    ),
    "its progress names a unit that the job lacks": (
        PROGRESS,
        change([UNITS, 0, UNIT_NUMBER], 7),
    ),
    "its progress names a task that its unit lacks": (
        PROGRESS,
        change([UNITS, 0, UNIT_PLACED, 0, 0], 7),
    ),
    "its submission is cut short": (JOBS, cut_short),
}


@given("a job whose tasks are done while nobody leads")
def describe_job(context):
    context.damage = None


@given("its {what}")
def damage_job(context, what):
    context.damage = DAMAGES[f"its {what}"]


@given("a unit of it {what}")
def damage_unit(context, what):
    context.damage = DAMAGES[f"a unit of it {what}"]


async def read_state(term):
    """Return what a node shows: what the leader says, or else the records."""
    shown = term.core.read_state(JOB)
    if shown is not None:
        return shown
    return await make_records(term.client).read_state(JOB)


@when("a leader that cannot read it leads for {seconds:d} s beside another job")
def lead_unable(context, seconds):
    prefix, damage = context.damage

    async def script(play):
        play.submit(JOB, count=2, gang=False, need=2)
        await asyncio.sleep(1.0)
        await play.kill_leader()
        await asyncio.sleep(TAKES_S + 1.0)
        assert [m.how for m in play.members] == ["done"] * 2, play.members
        sound = play.store.items[prefix + JOB].value
        play.store.put(prefix + JOB, damage(sound))
        term = play.elect()
        play.submit(OTHER, count=1, gang=False, need=2)
        await asyncio.sleep(seconds)
        context.starts = [(m.task.job_id, m.run) for m in play.members]
        context.shown = await read_state(term)
        context.other = term.core.read_state(OTHER)
        await play.kill_leader()
        play.store.put(prefix + JOB, sound)
        term = play.elect()
        await asyncio.sleep(seconds)
        context.shown_at_end = await read_state(term)

    context.play = GangPlay(2, takes_s=TAKES_S).play(script, seconds=30.0)


@then("no task of the job was started by it")
def check_not_started(context):
    started = [run for job, run in context.starts if job == JOB]
    assert started == [1, 1], started


@then("its state is shown as {state}")
def check_shown(context, state):
    shown = context.shown
    told = "unknown" if isinstance(shown, OutcomeUnknown) else shown.value
    assert told == state, shown


@then("the other job is completed")
def check_other(context):
    assert context.other is JobState.COMPLETED, context.other


@when("a leader that can read it leads for {seconds:d} s")
def lead_able(context, seconds):
    """Continue the play of the step before, which has included this."""


@then("the job is completed, and each of its tasks has started once")
def check_completed(context):
    assert context.shown_at_end is JobState.COMPLETED, context.shown_at_end
    starts = [(m.task.index, m.run) for m in context.play.members]
    assert sorted(starts) == [(0, 1), (0, 1), (1, 1)], starts
