"""Tell the task that crashes its workers from those that only shared them."""

from collections import Counter

from .state import Crash, Placement, Unit

PROMPT_S = 1.0
"""Seconds after its start within which a crash is prompt. Workers that crash for
another reason do so at any moment of a run, which takes several seconds."""

MAX_CRASHES = {2: 2, 1: 3, 0: 4}
"""Crashes from which a task counts as their cause, by how many of two signs point to it
at least: its job was the only one there, and the crash was prompt.

A suspected unit runs alone if there is room. So a sound task meets one that crashes its
workers twice at most, and is cleared when that one is given up."""


def is_prompt(placement: Placement, unit: Unit, crashed_at: float) -> bool:
    """Return whether a worker crashed shortly after a task had begun there.

    The members of a gang begin when the last one has started. A start that was never
    answered may have begun at any time, most likely just before the crash.
    """
    if not placement.active_at:
        return not placement.recovered
    members = [p for p in unit.placements.values() if p.run == placement.run]
    began_at = max(p.active_at for p in [placement, *members])
    return crashed_at - began_at <= PROMPT_S


def may_be_charged(unit: Unit, crash: Crash) -> bool:
    """Return whether a crash counts against a unit.

    Tasks that last run until they are cancelled: in that time any of them sees several
    workers crash for other reasons.
    """
    return crash.prompt or not unit.step.lasting


def uses_up_crashes(unit: Unit) -> bool:
    """Return whether a task of the unit counts as the cause of its crashes."""
    return any(
        count >= most
        for signs, most in MAX_CRASHES.items()
        for count in Counter(c.index for c in unit.crashes if c.signs >= signs).values()
    )


def weigh_crashes(unit: Unit) -> int:
    """Return how strongly its crashes point to a unit, compared with other units."""
    return sum(1 + c.signs for c in unit.crashes if not c.unstable)
