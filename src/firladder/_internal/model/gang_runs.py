"""Model of one gang of two on the platform, two leaders, and late start orders.

Each member has a worker of its own. A worker ends both members of a run when one of
them ends. A former leader's orders may arrive until the worker has been asked by the
successor. Leases and acknowledgements are left out: see the model of one task.
"""

from collections.abc import Iterator
from typing import NamedTuple

from .specification import Guards, Specification, Step, register

MAX_RUNS = 2
MEMBERS = (0, 1)


class Member(NamedTuple):
    """A member: what the leader believes, and the state of its worker."""

    belief: str = "none"
    token: int = 1
    running: int = 0
    given_up: int = 0


class Gang(NamedTuple):
    """The gang in the store, in the current leader and on its workers."""

    leader: int = 1
    run: int = 0
    record: tuple[int, bool, bool] = (0, False, False)
    """The recorded run, and which members it has placed."""
    written: bool = True
    members: tuple[Member, Member] = (Member(), Member())
    late: frozenset[tuple[int, int, int]] = frozenset()
    """Starts in flight: member, run, token."""
    overlap: bool = False


def expand(gang: Gang, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    yield from _plan(gang)
    yield from _write(gang)
    for index in MEMBERS:
        yield from _send(gang, guards, index)
        yield from _stop(gang, index)
        yield from _poll(gang, guards, index)
        yield from _end(gang, index)
    yield from _deliver_late_start(gang)
    yield from _succeed(gang, guards)


def _replace(gang: Gang, index: int, member: Member) -> Gang:
    first, second = gang.members
    pair = (member, second) if index == 0 else (first, member)
    return gang._replace(members=pair)


def _plan(gang: Gang) -> Iterator[Step]:
    waits = all(m.belief == "none" for m in gang.members)
    if not waits or not gang.written or gang.run == MAX_RUNS:
        return
    first, second = (m._replace(belief="planned") for m in gang.members)
    planned = gang._replace(run=gang.run + 1, written=False, members=(first, second))
    yield f"leader {gang.leader} plans run {planned.run}", planned


def _write(gang: Gang) -> Iterator[Step]:
    if gang.written:
        return
    first, second = (
        m._replace(belief="sent") if m.belief == "planned" else m for m in gang.members
    )
    placed = (first.belief != "none", second.belief != "none")
    yield (
        f"leader {gang.leader} writes its progress",
        gang._replace(
            record=(gang.run, *placed), written=True, members=(first, second)
        ),
    )


def _accept(gang: Gang, index: int, run: int, token: int) -> Gang:
    """Deliver a start to a worker."""
    member, other = gang.members[index], gang.members[1 - index]
    if token < member.token or run <= member.given_up:
        return gang
    overlap = any(m.running not in (0, run) for m in (member, other))
    begun = member._replace(token=token, running=run)
    return _replace(gang, index, begun)._replace(overlap=gang.overlap or overlap)


def _abort(gang: Gang, index: int, guards: Guards, guard: str) -> Gang:
    """Stop the members of a run that has lost the member ``index``."""
    other = gang.members[1 - index]
    if other.belief == "none":
        return gang
    if guard in guards:
        return _replace(gang, 1 - index, other._replace(belief="stopping"))
    if guard == "members_stopped":
        # Without the guard the run is forgotten, and the gang may be planned again.
        return _replace(gang, 1 - index, other._replace(belief="none"))
    return gang


def _send(gang: Gang, guards: Guards, index: int) -> Iterator[Step]:
    member = gang.members[index]
    if member.belief != "sent" or member.token > gang.leader:
        return
    name, run = f"member {index + 1} of run {gang.run}", gang.run
    sent = _accept(gang, index, run, gang.leader)
    active = sent.members[index]._replace(belief="active")
    yield f"{name} starts", _replace(sent, index, active)
    lost = sent.members[index]._replace(belief="stopping")
    yield (
        f"{name} starts, and its answer is lost",
        _abort(_replace(sent, index, lost), index, guards, "members_stopped"),
    )
    late = gang._replace(late=gang.late | {(index, run, gang.leader)})
    delayed = _replace(late, index, member._replace(belief="stopping"))
    yield (
        f"the start of {name} is delayed",
        _abort(delayed, index, guards, "members_stopped"),
    )
    refused = _replace(gang, index, member._replace(belief="none"))
    yield (
        f"the start of {name} is rejected",
        _abort(refused._replace(written=False), index, guards, "members_stopped"),
    )


def _give_up(gang: Gang, run: int) -> Gang:
    """End both members of a run on their workers."""
    first, second = (
        m._replace(running=0, given_up=run) if m.running == run else m
        for m in gang.members
    )
    return gang._replace(members=(first, second))


def _stop(gang: Gang, index: int) -> Iterator[Step]:
    """Stop a member, and prove by a poll that it does not run."""
    member = gang.members[index]
    if member.belief != "stopping" or member.token > gang.leader:
        return
    ended = _give_up(gang, gang.run) if member.running == gang.run else gang
    stopped = ended.members[index]._replace(
        belief="none", token=gang.leader, given_up=gang.run
    )
    yield (
        f"member {index + 1} of run {gang.run} is stopped and not listed any more",
        _replace(ended, index, stopped)._replace(written=False),
    )


def _poll(gang: Gang, guards: Guards, index: int) -> Iterator[Step]:
    member = gang.members[index]
    if member.belief not in ("active", "recovered") or member.token > gang.leader:
        return
    asked = member._replace(token=gang.leader)
    name = f"member {index + 1} of run {gang.run}"
    if member.running == gang.run:
        if asked._replace(belief="active") != member:
            yield (
                f"leader {gang.leader} finds {name}",
                _replace(gang, index, asked._replace(belief="active")),
            )
        return
    gone = _replace(gang, index, asked._replace(belief="none"))._replace(written=False)
    yield (
        f"leader {gang.leader} does not find {name}",
        _abort(gone, index, guards, "absent_ends_run"),
    )


def _end(gang: Gang, index: int) -> Iterator[Step]:
    run = gang.members[index].running
    if run:
        yield f"member {index + 1} of run {run} ends", _give_up(gang, run)


def _deliver_late_start(gang: Gang) -> Iterator[Step]:
    for index, run, token in sorted(gang.late):
        rest = gang._replace(late=gang.late - {(index, run, token)})
        yield (
            f"the late start of member {index + 1} of run {run} arrives",
            _accept(rest, index, run, token),
        )


def _succeed(gang: Gang, guards: Guards) -> Iterator[Step]:
    if gang.leader == 2:
        return
    run, *placed = gang.record
    # The former leader may still send the starts that it has made durable.
    unsent = {(i, gang.run, 1) for i in MEMBERS if gang.members[i].belief == "sent"}
    belief = "recovered"
    if sum(placed) == 1 and "incomplete_ended" in guards:
        belief = "stopping"
    first, second = (
        m._replace(belief=belief if is_placed else "none")
        for m, is_placed in zip(gang.members, placed, strict=True)
    )
    yield (
        "leader 2 reads the records",
        gang._replace(
            leader=2,
            run=run,
            written=True,
            members=(first, second),
            late=gang.late | unsent,
        ),
    )


def _is_left_waiting(gang: Gang) -> bool:
    """Return whether a member runs for one that nobody will start, unnoticed."""
    return any(
        member.running
        and not other.running
        and member.belief in ("active", "recovered")
        and other.belief == "none"
        for member, other in (gang.members, gang.members[::-1])
    )


GANG_RUNS = register(
    Specification(
        name="gang-run",
        summary="one gang of two on the platform, two leaders, late starts",
        initial=Gang(),
        fields=Gang._fields,
        expand=expand,
        invariants={
            "no run of a gang starts beside a member of another": (
                lambda g: not g.overlap
            ),
            "no member is left waiting for one that nobody will start": (
                lambda g: not _is_left_waiting(g)
            ),
        },
        guards={
            "members_stopped": "a start that fails stops the other members first",
            "absent_ends_run": "a member that is not listed ends its gang's run",
            "incomplete_ended": "a successor ends a run whose record lacks a member",
        },
    )
)
