"""Model of two concurrent operators, three processes, and lost answers."""

from collections.abc import Iterator
from typing import NamedTuple

from .specification import Guards, Specification, Step, register

MAX_REVISION = 3


class Fleet(NamedTuple):
    """The store's history, the revisions in force, and the states of the operators.

    ``history`` lists who wrote each revision; an operator has read a revision
    (``seen``), and is idle, editing, unsure, or told accepted or refused.
    """

    history: tuple[str, ...] = ()
    in_force: tuple[int, int, int] = (0, 0, 0)
    operators: tuple[tuple[str, int], ...] = (("idle", 0), ("idle", 0))
    reverted: bool = False
    overwritten: bool = False
    misinformed: bool = False


def expand(fleet: Fleet, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    for who, name in enumerate("PQ"):
        yield from _expand_operator(fleet, guards, who, name)
    yield from _expand_adoption(fleet, guards)


def _set_operator(fleet: Fleet, who: int, state: str, seen: int) -> Fleet:
    pairs = tuple(
        (state, seen) if i == who else o for i, o in enumerate(fleet.operators)
    )
    return fleet._replace(operators=pairs)


def _expand_operator(
    fleet: Fleet, guards: Guards, who: int, name: str
) -> Iterator[Step]:
    state, seen = fleet.operators[who]
    latest = len(fleet.history)
    if state == "idle":
        yield (
            f"{name} reads revision {latest}",
            _set_operator(fleet, who, "editing", latest),
        )
    elif state == "editing":
        may_write = seen == latest or "compare_head" not in guards
        if may_write and latest < MAX_REVISION:
            written = fleet._replace(
                history=(*fleet.history, name),
                overwritten=fleet.overwritten or seen != latest,
            )
            yield (
                f"{name}'s change is accepted",
                _set_operator(written, who, "accepted", seen),
            )
            yield (
                f"{name}'s change is written and its answer lost",
                _set_operator(written, who, "unsure", seen),
            )
        elif not may_write:
            yield (
                f"{name} is told of a conflict",
                _set_operator(fleet, who, "refused", seen),
            )
    elif state == "unsure":
        # Only the write id in the value distinguishes the own change from another's.
        mine = fleet.history[seen] == name
        told = mine if "read_back_write_id" in guards else False
        wrong = fleet.misinformed or told != mine
        after = _set_operator(fleet, who, "accepted" if told else "refused", seen)
        yield (
            f"{name} reads back and is told {'accepted' if told else 'conflict'}",
            after._replace(misinformed=wrong),
        )


def _expand_adoption(fleet: Fleet, guards: Guards) -> Iterator[Step]:
    latest = len(fleet.history)
    for index, mine in enumerate(fleet.in_force):
        # A lagging watch or an old peer may offer any earlier revision.
        for offered in range(latest + 1):
            if offered == mine or (offered < mine and "adopt_higher_only" in guards):
                continue
            revisions = tuple(
                offered if i == index else r for i, r in enumerate(fleet.in_force)
            )
            yield (
                f"process {index + 1} adopts revision {offered} after {mine}",
                fleet._replace(
                    in_force=revisions,  # type: ignore[arg-type]
                    reverted=fleet.reverted or offered < mine,
                ),
            )


CONFIGURATION = register(
    Specification(
        name="configuration",
        summary="two operators, three processes, lagging watches, lost answers",
        initial=Fleet(),
        fields=Fleet._fields,
        expand=expand,
        invariants={
            "a configuration in force never reverts": lambda f: not f.reverted,
            "no change overwrites one it has not seen": lambda f: not f.overwritten,
            "an operator is told what became of the change": (
                lambda f: not f.misinformed
            ),
        },
        guards={
            "compare_head": "a change is written only onto the revision it saw",
            "adopt_higher_only": "a process adopts only a higher revision",
            "read_back_write_id": "a lost answer is read back by its write id",
        },
    )
)
