"""Random plays with jobs that crash their workers, beside other losses of workers."""

import asyncio
import collections
import itertools
import random

from features.support.gang_faults import GangPlay
from features.support.gang_store import Fate, Fault
from firladder._internal.platform.discovery import WORKER_PREFIX

MACHINES = 8
SECONDS = 110.0
EVENTS_UNTIL_S = 30.0
DRAIN_S = 2.0
CRASHING = "crashing"


def choose_faults(rng: random.Random) -> list[Fault]:
    """Return faults of some calls in the first part of a play."""
    share = rng.choice((0.0, 0.0, 0.05, 0.1))
    fates = rng.sample((Fate.LOST, Fate.UNANSWERED, Fate.LATE), 2)
    return [
        Fault(
            rng.choice(("start", "stop", "poll", "any")),
            None,
            fate,
            share=share,
            until=EVENTS_UNTIL_S,
            late_s=rng.choice((0.5, 2.0, 6.0)),
        )
        for fate in fates
    ]


async def submit_jobs(play: GangPlay, rng: random.Random) -> None:
    """Submit sound jobs and, among them, some that crash their workers."""
    for number in range(24):
        crashes = number % 8 == 3
        name = f"{CRASHING}-{number}" if crashes else f"sound-{number}"
        if crashes:
            play.crash_after_s[name] = rng.choice((0.0, 0.01, 0.3, 2.0))
        play.submit(
            name,
            count=rng.randint(1, 3),
            need=rng.choice((1, 2, 4, 8)),
            gang=rng.random() < 0.5,
            priority=rng.randint(0, 2),
        )
        await asyncio.sleep(rng.uniform(0.1, 1.5))


async def drain(play: GangPlay, number: int) -> None:
    """Let a machine leave as planned, and come back."""
    machine = play.machines[number]
    if machine.down or machine.leaves_at is not None:
        return
    machine.leaves_at = play.now + DRAIN_S
    play.write_entry(machine)
    await asyncio.sleep(DRAIN_S + 0.5)
    if not machine.down:
        play.store.remove(WORKER_PREFIX + machine.worker_id)
        await play.restart_machine(number, down_s=1.0)


async def disturb(play: GangPlay, rng: random.Random) -> None:
    """Change leaders, cut machines off, and let them leave, shrink and crash."""
    while play.now < EVENTS_UNTIL_S:
        await asyncio.sleep(rng.uniform(1.0, 5.0))
        number = rng.randrange(MACHINES)
        event = rng.choice(("killed", "handed over", "cut", "drain", "crash", "resize"))
        play.events.append((event, number, round(play.now, 2)))
        if event in ("killed", "handed over"):
            await play.succeed(event)
        elif event == "cut":
            until = play.now + rng.uniform(1.0, 8.0)
            play.faults.append(Fault("any", number, Fate.LOST, until=until))
        elif event == "drain":
            play.spawn(drain(play, number))
        elif event == "crash" and not play.machines[number].down:
            down_s = rng.choice((0.5, 3.0, 9.0))
            play.spawn(play.restart_machine(number, down_s=down_s))
        elif event == "resize":
            play.machines[number].resize(rng.choice((2, 4, 8, 8)))


def play_crashes(seed: int, *, keep_ids: bool = False) -> GangPlay:
    """Play 24 jobs, of which 3 crash their workers, beside other disturbances.

    With ``keep_ids`` workers restart under the ids that they had.
    """
    rng = random.Random(seed)
    play = GangPlay(
        MACHINES,
        faults=choose_faults(rng),
        seed=seed,
        per_rack=4,
        takes_s=3.0,
        keep_ids=keep_ids,
    )
    play.down_s = rng.choice((0.5, 3.3, 6.0))
    play.events = []

    async def script(play: GangPlay) -> None:
        play.spawn(submit_jobs(play, rng))
        await disturb(play, rng)
        for machine in play.machines:
            machine.resize(8)

    return play.play(script, seconds=SECONDS)


def find_double_runs(play: GangPlay) -> list[str]:
    """Return the runs of a task that began while a former one was at work."""
    by_task = collections.defaultdict(list)
    for member in play.members:
        by_task[member.task].append(member)
    return [
        f"{task} run {later.run} began at {later.started_at:.2f} beside run {first.run}"
        for task, members in by_task.items()
        for first, later in itertools.combinations(members, 2)
        if first.ended_at is None or later.started_at < first.ended_at
    ]


def find_problems(play: GangPlay) -> list[str]:
    """Return what a play shows that must not happen."""
    term, _ = play.terms[-1]
    states = {name: term.core.read_state(name).value for name in play.jobs}
    starts: dict[tuple, int] = {}
    for member in play.members:
        key = (member.task.job_id, member.task.index)
        starts[key] = starts.get(key, 0) + 1
    problems = [
        f"{name} is {state}"
        for name, state in states.items()
        if state != ("failed" if name in play.crash_after_s else "completed")
    ]
    problems += [
        f"{a.task} started as run {b.run} after run {a.run} had ended as done"
        for a, b in play.find_starts_after_done()
    ]
    problems += [
        f"task {index} of {name} was started {count} times"
        for (name, index), count in starts.items()
        if name in play.crash_after_s and not index and count > 5
    ]
    return problems
