import asyncio
import itertools

from behave import given, then, when

from features.support.crash_plays import (
    find_double_runs,
    find_problems,
    play_crashes,
)
from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault
from firladder._internal.platform.discovery import WORKER_PREFIX

CRASHING = "crashing"
SOUND = "sound"
DRAIN_S = 5.0
CUT_S = 5.0
LEASE_AND_MORE_S = 14.0
SOUND_UNTIL_S = 60.0
FLAPPING_UNTIL_S = 60.0


@given(
    "{workers:d} workers, and a job that crashes each worker {after:f} s after its"
    " start"
)
@given(
    "{workers:d} workers, and a job that crashes each worker {after:d} s after its"
    " start"
)
def make_play(context, workers, after):
    context.play = GangPlay(workers)
    context.play.crash_after_s[CRASHING] = after


@given("crashed workers come back {down:f} s later")
@given("crashed workers come back {down:d} s later")
def choose_down(context, down):
    context.play.down_s = down


@when("the job is submitted and {seconds:d} s pass")
def submit(context, seconds):
    async def script(play):
        play.submit(CRASHING, count=1, gang=False)

    context.play.play(script, seconds=seconds)


@when("the job is submitted as a gang of {count:d} and {seconds:d} s pass")
def submit_gang(context, count, seconds):
    async def script(play):
        play.submit(CRASHING, count=count)

    context.play.play(script, seconds=seconds)


@when(
    "the job is submitted as a gang of 2, whose other member is silent in run {run:d}"
)
def submit_beside_silence(context, run):
    async def script(play):
        play.submit(CRASHING, count=2)
        await await_start(play, CRASHING, run)
        await asyncio.sleep(0.1)
        other = next(m for m in reversed(play.members) if m.task.index).machine
        until = play.now + LEASE_AND_MORE_S
        play.faults.append(Fault("any", other.number, Fate.LOST, until=until))

    context.play.play(script, seconds=40.0)


@when(
    "the job is submitted and the leader is {how} {wait:f} s after each of its starts"
)
@when(
    "the job is submitted and the leader is {how} {wait:d} s after each of its starts"
)
def change_leaders(context, how, wait):
    async def script(play):
        play.submit(CRASHING, count=1, gang=False)
        starts = 0
        while True:
            await await_start(play, CRASHING, starts + 1)
            starts = len(list_starts(play, CRASHING))
            await asyncio.sleep(wait)
            await play.succeed(how)

    context.play.play(script, seconds=90.0)


@given("{workers:d} workers, and a sound job of {takes:d} s")
def make_sound_play(context, workers, takes):
    context.play = GangPlay(workers, takes_s=takes)


@when(
    "its worker {goes}, {after:f} s after its start, {times:d} times, and {seconds:d} s"
    " pass"
)
def lose_workers(context, goes, after, times, seconds):
    async def script(play):
        play.submit(SOUND, count=1, gang=False)
        for number in range(times):
            await await_start(play, SOUND, number + 1)
            await asyncio.sleep(after)
            machine = list_starts(play, SOUND)[-1].machine
            await LOSSES[goes](play, machine)

    context.play.play(script, seconds=seconds)


async def drain(play, machine):
    machine.leaves_at = play.now + DRAIN_S
    play.write_entry(machine)
    await asyncio.sleep(DRAIN_S)
    await play.restart_machine(machine.number, down_s=1.0)


async def drain_beside_change(play, machine):
    machine.leaves_at = play.now + DRAIN_S
    play.write_entry(machine)
    await asyncio.sleep(DRAIN_S)
    await play.kill_leader()
    play.store.remove(WORKER_PREFIX + machine.worker_id)
    await play.restart_machine(machine.number, down_s=1.0)
    play.elect()


async def restart_behind_cut(play, machine):
    until = play.now + CUT_S
    play.faults.append(Fault("any", machine.number, Fate.LOST, until=until))
    await asyncio.sleep(CUT_S / 2)
    await play.restart_machine(machine.number, down_s=1.0)


async def cut_off(play, machine):
    until = play.now + LEASE_AND_MORE_S
    play.faults.append(Fault("any", machine.number, Fate.LOST, until=until))
    await asyncio.sleep(LEASE_AND_MORE_S)


async def flap(play, number, up_s, down_s):
    while play.now < FLAPPING_UNTIL_S:
        await asyncio.sleep(up_s)
        await play.restart_machine(number, down_s=down_s)


async def crash(play, machine):
    await play.restart_machine(machine.number, down_s=play.down_s)


LOSSES = {
    "drains and leaves": drain,
    "drains and leaves as the leader changes": drain_beside_change,
    "is cut off and restarts behind the cut": restart_behind_cut,
    "is cut off until its lease has expired": cut_off,
    "crashes": crash,
}


async def await_start(play, name, number):
    while len(list_starts(play, name)) < number:
        await asyncio.sleep(0.01)


def list_starts(play, name):
    return [m for m in play.members if m.task.job_id == name and not m.task.index]


def read_state(play, name):
    return play.terms[-1][0].core.read_state(name).value


@then('the job is shown as "{state}" after at most {most:d} starts')
def check_given_up(context, state, most):
    starts = [round(m.started_at, 2) for m in list_starts(context.play, CRASHING)]
    shown = read_state(context.play, CRASHING)
    assert (shown, len(starts) <= most) == (state, True), (shown, starts)


@then('it is shown as "{state}" within {seconds:f} s of the loss of the last worker')
def check_prompt(context, state, seconds):
    play = context.play
    term, _ = play.terms[-1]
    decided = [(e.details.get("what"), e.wall) for e in term.timeline.list_events()]
    lost_at = max(at for what, at in decided if what == "worker lost")
    ended_at = max(at for what, at in decided if what == "job ended")
    assert read_state(play, CRASHING) == state
    assert ended_at - lost_at <= seconds, decided


@then("the job is done")
def check_done(context):
    play = context.play
    runs = [(round(m.started_at, 2), m.how) for m in list_starts(play, SOUND)]
    assert read_state(play, SOUND) == "completed", (read_state(play, SOUND), runs)


@given(
    "{workers:d} workers of 8 accelerators, a third used by sound jobs of 1 accelerator"
    " for {takes:d} s"
)
def use_third(context, workers, takes):
    async def submit_sound(play):
        for number in itertools.count():
            play.submit(f"{SOUND}-{number}", count=1, need=1, gang=False)
            await asyncio.sleep(3 * takes / (8 * workers))
            if play.now > SOUND_UNTIL_S:
                return

    context.play = GangPlay(workers, takes_s=takes)
    context.submit_sound = submit_sound


@given(
    "{workers:d} workers of 8 accelerators, each used by a sound job of 5 accelerators"
    " for {takes:d} s"
)
def use_each(context, workers, takes):
    async def submit_sound(play):
        for number in range(workers):
            # Two of the larger ones do not fit on one worker.
            play.submit(f"{SOUND}-{number}", count=1, need=5, gang=False)

    context.play = GangPlay(workers, takes_s=takes)
    context.submit_sound = submit_sound


@when(
    "{count:d} jobs that crash each worker {after:f} s after their start come {gap:f} s"
    " apart"
)
def submit_many(context, count, after, gap):
    async def script(play):
        play.spawn(context.submit_sound(play))
        await asyncio.sleep(6.0)
        for number in range(count):
            name = f"{CRASHING}-{number}"
            play.crash_after_s[name] = after
            play.submit(name, count=1, need=1, gang=False, priority=0)
            await asyncio.sleep(gap)

    context.play.play(script, seconds=120.0)


@when("1 job that crashes each worker {after:f} s after their start comes")
def submit_one(context, after):
    submit_many(context, 1, after, 0.0)


@then('each of them is shown as "{state}" after at most {most:d} starts')
def check_each_given_up(context, state, most):
    play = context.play
    found = {
        n: (read_state(play, n), len(list_starts(play, n))) for n in play.crash_after_s
    }
    assert all((s, n <= most) == (state, True) for s, n in found.values()), found


@then("from its second start on nothing else runs on the workers that it crashes")
def check_alone(context):
    shared = [
        (member.task.job_id, member.run, len(others))
        for member, others in context.play.crashes
        if member.run > 1 and others
    ]
    assert not shared, f"shared: {shared}"


@then("each sound job is done")
def check_sound(context):
    play = context.play
    names = [n for n in play.jobs if n.startswith(SOUND)]
    lost = {n: read_state(play, n) for n in names if n not in play.done_at}
    assert not lost, lost


@when(
    "{count:d} such jobs come {gap:f} s apart, while {workers:d} workers are {up:f} s"
    " up and {down:f} s down in turn"
)
def submit_beside_flapping(context, count, gap, workers, up, down):
    async def script(play):
        for number in range(workers):
            play.spawn(flap(play, number, up, down))
        await asyncio.sleep(3.0)
        for number in range(count):
            play.submit(f"{SOUND}-{number}", count=1, gang=False)
            await asyncio.sleep(gap)

    context.play.play(script, seconds=150.0)


async def lose_power(play, number, seconds):
    """Let a machine answer nothing, without closing its connections, then restart."""
    until = play.now + seconds
    play.faults.append(Fault("any", number, Fate.LOST, until=until))
    await play.restart_machine(number, down_s=seconds)


@when(
    "the workers are without power for {least:f} to {most:f} s, and {count:d} such jobs"
    " come meanwhile"
)
def submit_without_power(context, least, most, count):
    async def script(play):
        await asyncio.sleep(3.0)
        for machine in play.machines:
            seconds = play.rng.uniform(least, most)
            play.spawn(lose_power(play, machine.number, seconds))
        for number in range(count):
            play.submit(f"{SOUND}-{number}", count=1, gang=False)

    context.play.play(script, seconds=60.0)


@when(
    "{plays:d} plays of 24 jobs, of which 3 crash their workers, are drawn from seed"
    " {seed:d} on"
)
def play_at_random(context, plays, seed):
    context.problems = {
        number: problems
        for number in range(seed, seed + plays)
        if (problems := find_problems(play_crashes(number)))
    }


@when(
    "a play of 24 jobs, of which 3 crash their workers, is drawn from seed {seed:d},"
    " with workers that keep their ids"
)
def play_with_ids(context, seed):
    context.play = play_crashes(seed, keep_ids=True)
    problems = find_problems(context.play)
    context.problems = {seed: problems} if problems else {}


@then("no task runs twice at the same time")
def check_double_runs(context):
    found = find_double_runs(context.play)
    assert not found, found


@then("each crashing task is started 5 times at most, and each sound job is done")
def check_problems(context):
    assert not context.problems, context.problems
