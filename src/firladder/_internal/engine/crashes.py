"""Tell the task that crashes its workers from those that only shared them."""

from collections import Counter

from .state import Placement, Unit

PROMPT_S = 1.0
"""Seconds after its start within which a crash is prompt. Workers that crash for
another reason do so at any moment of a run, which takes several seconds."""

MAX_LONE_PROMPT_CRASHES = 2
"""Prompt crashes, on workers where only its job ran, from which a task counts as their
cause."""

MAX_LONE_CRASHES = 3
"""The same for crashes at any time of its run."""

MAX_CRASHES = 4
"""The same wherever it ran. Units that are suspected run alone if there is room, so a
task meets other tasks that crash workers seldom more than once."""


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


def may_be_charged(unit: Unit, *, prompt: bool) -> bool:
    """Return whether a crash counts against a unit.

    Tasks that last run until they are cancelled: in that time any of them sees several
    workers crash for other reasons.
    """
    return prompt or not unit.step.lasting


def uses_up_crashes(unit: Unit) -> bool:
    """Return whether a task of the unit counts as the cause of its crashes."""
    charged = Counter(c.index for c in unit.crashes)
    lone = Counter(c.index for c in unit.crashes if c.alone)
    prompt = Counter(c.index for c in unit.crashes if c.alone and c.prompt)
    return any(
        count >= MAX_CRASHES
        or lone[index] >= MAX_LONE_CRASHES
        or prompt[index] >= MAX_LONE_PROMPT_CRASHES
        for index, count in charged.items()
    )
