import asyncio

from behave import given, then, when

from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault

JOB = "0000000000000001"
SILENT = 0
SPARE = 2


@given("a worker that starts again under its id")
def describe_worker(context):
    context.play = GangPlay(3, takes_s=8.0, keep_ids=True)


@when("a start meant for its former life is carried out, and it falls silent then")
def fall_silent(context):
    async def script(play):
        play.machines[SPARE].registered = False
        await asyncio.sleep(5.0)
        await play.restart_machine(SILENT, down_s=0.0)
        play.submit(JOB, count=2, gang=False, need=8)
        while not play.machines[SILENT].running:
            await asyncio.sleep(0.001)
        play.faults.append(Fault("any", SILENT, Fate.LOST, since=play.now))
        play.machines[SILENT].registered = False
        play.machines[SPARE].registered = True

    context.play.play(script, seconds=45.0)


@then("the task never runs twice at once, and is completed")
def check_runs(context):
    play = context.play
    assert play.machines[SILENT].lives == 2
    assert not play.find_overlaps(), [
        (m.task.index, m.run, m.machine.number, m.started_at, m.ended_at)
        for m in play.members
    ]
    assert play.terms[-1][0].core.read_state(JOB).value == "completed"
