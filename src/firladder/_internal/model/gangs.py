"""Model of one gang of two members that must run once, under two leaders.

The second leader has a higher epoch and may take over while the first is paused with
a write in flight. Leases are abstract: a short one may expire at any step, a long one
once it is not renewed.
"""

from collections.abc import Iterator
from typing import NamedTuple

from ..charts.interpreter import load_chart
from ..exceptions import IllegalTransition
from .specification import Guards, Specification, Step, register

CHART = load_chart("gang")
MAX_ATTEMPTS = 2
MEMBERS = (0, 1)


class Task(NamedTuple):
    """A member on its worker; its ``lease`` is short, long or none."""

    attempt: int = 0
    state: str = "none"
    lease: str = "none"


class Gang(NamedTuple):
    """The job in the store, its runner, and its members on two workers."""

    job: str = "queued"
    attempt: int = 0
    phase: str = "planned"
    """The state of the leader's gang chart."""
    tries: int = 0
    """Attempts begun by any leader; the number identifies the tasks."""
    leader: int = 1
    late_write: bool = False
    """The former leader's write that queues the job again is in flight."""
    tasks: tuple[Task, ...] = (Task(), Task())
    reachable: tuple[bool, ...] = (True, True)
    started: frozenset[int] = frozenset()
    overlap: bool = False
    partial_long: bool = False
    orphan_renewed: bool = False
    late_write_applied: bool = False


def _advance(gang: Gang, event: str) -> str | None:
    """Return the next phase from the state chart that the real code uses, or None."""
    moved = CHART.advance(gang.phase, event)
    return None if isinstance(moved, IllegalTransition) else moved[0]


def _replace_at(tasks: tuple[Task, ...], index: int, task: Task) -> tuple[Task, ...]:
    return (*tasks[:index], task, *tasks[index + 1 :])


def expand(gang: Gang, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    yield from _claim(gang, guards)
    for member in MEMBERS:
        yield from _start(gang, guards, member)
        yield from _expire(gang, member)
        yield from _stop(gang, member)
        yield from _reconnect(gang, guards, member)
    yield from _confirm(gang, guards)
    yield from _renew(gang)
    yield from _end(gang, guards)
    yield from _succeed(gang, guards)


def _claim(gang: Gang, guards: Guards) -> Iterator[Step]:
    phase = _advance(gang, "claim")
    if gang.job != "queued" or phase is None or gang.tries == MAX_ATTEMPTS:
        return
    begun = gang._replace(tries=gang.tries + 1, phase=phase)
    written = begun._replace(job="starting", attempt=begun.tries)
    if "attempt_written" in guards:
        yield f"leader {gang.leader} writes attempt {begun.tries}", written
    else:
        yield f"leader {gang.leader} begins attempt {begun.tries} unwritten", begun


def _start(gang: Gang, guards: Guards, member: int) -> Iterator[Step]:
    if gang.phase not in ("claimed", "started") or not gang.reachable[member]:
        return
    if gang.tasks[member].attempt == gang.tries:
        return
    lease = "short" if "short_start_lease" in guards else "long"
    task = Task(gang.tries, "running", lease)
    overlapping = [
        t for t in gang.tasks if t.state == "running" and t.attempt != gang.tries
    ]
    yield (
        f"member {member + 1} of attempt {gang.tries} starts",
        _check_leases(
            gang._replace(
                phase="started",
                tasks=_replace_at(gang.tasks, member, task),
                started=gang.started | {gang.tries},
                overlap=gang.overlap or bool(overlapping),
            )
        ),
    )


def _check_leases(gang: Gang) -> Gang:
    """Record a long lease in a gang of which a member has not started."""
    long = {t.attempt for t in gang.tasks if t.lease == "long"}
    partial = any(any(t.attempt != a for t in gang.tasks) for a in long)
    newly_partial = gang.phase == "started" and partial
    return gang._replace(partial_long=gang.partial_long or newly_partial)


def _confirm(gang: Gang, guards: Guards) -> Iterator[Step]:
    if gang.phase != "started":
        return
    mine = [t.attempt == gang.tries for t in gang.tasks]
    if not (all(mine) if "confirm_when_whole" in guards else any(mine)):
        return
    tasks = tuple(
        t._replace(lease="long")
        if t.state == "running" and t.attempt == gang.tries and gang.reachable[m]
        else t
        for m, t in enumerate(gang.tasks)
    )
    yield (
        "the leader confirms the gang",
        _check_leases(gang._replace(tasks=tasks))._replace(phase="running"),
    )


def _renew(gang: Gang) -> Iterator[Step]:
    """Renew each worker's long leases together, as the real message does."""
    for member in MEMBERS:
        task = gang.tasks[member]
        given_up = gang.phase == "planned" or task.attempt != gang.tries
        running = task.state == "running" and task.lease == "long"
        if gang.reachable[member] and running and given_up:
            yield (
                f"worker {member + 1} renews a member of a gang that has ended",
                gang._replace(orphan_renewed=True),
            )


def _expire(gang: Gang, member: int) -> Iterator[Step]:
    task = gang.tasks[member]
    renewed = (
        task.lease == "long" and gang.reachable[member] and gang.phase == "running"
    )
    if task.state == "running" and not renewed:
        ended = task._replace(state="ended", lease="none")
        yield (
            f"the lease on member {member + 1} of attempt {task.attempt} expires",
            gang._replace(tasks=_replace_at(gang.tasks, member, ended)),
        )


def _stop(gang: Gang, member: int) -> Iterator[Step]:
    if gang.reachable[member] and gang.phase == "running":
        reachable_after = tuple(r and m != member for m, r in enumerate(gang.reachable))
        yield (
            f"worker {member + 1} becomes unreachable",
            gang._replace(reachable=reachable_after),
        )
    task = gang.tasks[member]
    if gang.phase == "stopping" and gang.reachable[member] and task.state == "running":
        ended = task._replace(state="ended", lease="none")
        yield (
            f"member {member + 1} is stopped",
            gang._replace(tasks=_replace_at(gang.tasks, member, ended)),
        )


def _reconnect(gang: Gang, guards: Guards, member: int) -> Iterator[Step]:
    if gang.reachable[member]:
        return
    task = gang.tasks[member]
    orphan = gang.phase != "running" or task.attempt != gang.tries
    if orphan and task.state == "running" and "stray_stopped_first" in guards:
        task = task._replace(state="ended", lease="none")
    reachable_after = tuple(r or m == member for m, r in enumerate(gang.reachable))
    yield (
        f"worker {member + 1} is reachable again",
        gang._replace(
            reachable=reachable_after, tasks=_replace_at(gang.tasks, member, task)
        ),
    )


def _end(gang: Gang, guards: Guards) -> Iterator[Step]:
    phase = _advance(gang, "stop")
    if phase is not None and gang.phase != "claimed":
        yield "the leader ends the gang", gang._replace(phase=phase)
    if gang.phase != "stopping":
        return
    alive = [
        t
        for m, t in enumerate(gang.tasks)
        if t.state == "running" and (gang.reachable[m] or "outwait_lapse" in guards)
    ]
    if alive:
        return
    if "once_stays_once" in guards:
        yield (
            "the job that must run once ends as unknown",
            gang._replace(job="finished", phase="planned"),
        )
    else:
        yield "the job is queued again", gang._replace(job="queued", phase="planned")


def _succeed(gang: Gang, guards: Guards) -> Iterator[Step]:
    """Replace the leader; the successor ends a gang that has not started whole."""
    if gang.leader == 1 and gang.phase != "planned":
        # The former leader may have decided that nothing has started, and be
        # paused with that write in flight.
        late = gang.phase == "claimed"
        unwritten = gang.job == "queued"
        yield (
            "leader 1 is lost, leader 2 recovers",
            gang._replace(
                leader=2,
                late_write=late,
                phase="planned" if unwritten else "stopping",
            ),
        )
    if gang.leader == 2 and gang.late_write and "write_compares_leader" not in guards:
        yield (
            "the late write of leader 1 is applied",
            gang._replace(
                late_write=False,
                late_write_applied=True,
                job="queued" if gang.job != "queued" else gang.job,
            ),
        )


GANGS = register(
    Specification(
        name="gang",
        summary="one gang of two that must run once, two leaders, partitions, expiry",
        initial=Gang(),
        fields=Gang._fields,
        expand=expand,
        invariants={
            "a job that must run once is started in one attempt only": (
                lambda g: len(g.started) < 2
            ),
            "two attempts of a job never run at once": lambda g: not g.overlap,
            "a long lease is given only to a gang that has started whole": (
                lambda g: not g.partial_long
            ),
            "no member is renewed once its gang has ended": (
                lambda g: not g.orphan_renewed
            ),
            "a former leader's write is never applied in its successor's term": (
                lambda g: not g.late_write_applied
            ),
        },
        guards={
            "attempt_written": "the attempt is in the store before a member starts",
            "short_start_lease": "a member's lease is short until its gang is whole",
            "confirm_when_whole": "long leases are given when all have started",
            "stray_stopped_first": "orphans on a worker end before it is renewed again",
            "once_stays_once": "a job that must run once is not queued after a start",
            "write_compares_leader": "a job's write compares the leader's own key",
        },
    )
)

RERUN = register(
    Specification(
        name="gang-rerun",
        summary="the same gang, idempotent: attempts may follow, but not overlap",
        initial=Gang(),
        fields=Gang._fields,
        expand=lambda gang, guards: expand(
            gang,
            guards | (GANGS.guards.keys() - {"once_stays_once"}),
        ),
        invariants={
            "two attempts of a job never run at once": lambda g: not g.overlap,
            "no member is renewed once its gang has ended": (
                lambda g: not g.orphan_renewed
            ),
        },
        guards={
            "outwait_lapse": "a job is queued again when no member can still run",
        },
    )
)
