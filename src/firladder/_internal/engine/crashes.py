"""Tell the task that crashes its workers from those that only shared them."""

import msgspec

from .state import Crash, Placement, Unit, Worker

PROMPT_S = 1.0
"""Seconds after its start within which a crash is prompt. Workers that crash for
another reason do so at any moment of a run, which takes several seconds."""

MAX_CRASHES = {2: 2, 1: 3, 0: 4}
"""Crashes from which a task counts as their cause, by how many of two signs point to it
at least: its job was the only one there, and the crash was prompt.

A suspected unit runs alone if there is room. So a sound task meets one that crashes its
workers twice at most, and is cleared when that one is given up."""

MAX_RUNS_CRASHED = 5
"""Runs of a task that may end with a crash of the worker, whatever explains it. Without
such a limit a task is started without end if each crash has another explanation."""

RECENT_ANSWER_S = 0.2
"""Seconds before a start within which an answer shows that its worker was up. A round
trip takes milliseconds; a worker seldom loses power in the time between."""


def has_answered_lately(worker: Worker, now: float) -> bool:
    """Return whether an answer shows that a worker is up."""
    return worker.answered_at >= now - RECENT_ANSWER_S


def is_unproven(placement: Placement, worker: Worker) -> bool:
    """Return whether a worker may have been gone before a start reached it.

    A worker on which nothing runs is not polled, so that its loss may show only by a
    start that gets no answer.
    """
    if placement.reported or placement.recovered:
        return False
    return not has_answered_lately(worker, placement.sent_at)


def is_prompt(placement: Placement, unit: Unit, crashed_at: float) -> bool:
    """Return whether a worker crashed shortly after a task had begun there.

    A start that was never answered may have begun at any time, most likely just before
    the crash.
    """
    if not placement.active_at:
        return not placement.recovered
    return crashed_at - _find_begin(placement, unit) <= PROMPT_S


def is_late(placement: Placement, unit: Unit) -> bool:
    """Return whether a task is known to have run for longer than a prompt crash takes.

    When the worker closed its connections says less: it may be noticed late.
    """
    if not placement.active_at:
        return False
    return placement.listed_at - _find_begin(placement, unit) > PROMPT_S


def _find_begin(placement: Placement, unit: Unit) -> float:
    """Return when a task began; the members of a gang do with the last one."""
    members = [p for p in unit.placements.values() if p.run == placement.run]
    return max(p.active_at for p in [placement, *members])


def may_be_charged(unit: Unit, crash: Crash) -> bool:
    """Return whether a crash counts against a unit.

    Tasks that last run until they are cancelled: in that time any of them sees several
    workers crash for other reasons.
    """
    return crash.prompt or not unit.step.lasting


def list_proven(unit: Unit) -> list[Crash]:
    """Return the crashes of workers on which one of a unit's tasks may have begun."""
    return [crash for crash in unit.crashes if not crash.unproven]


def list_plausible(unit: Unit, index: int) -> list[Crash]:
    """Return the crashes that one of a unit's tasks may have caused.

    A task that crashes its workers does so at the same point of each run. One that has
    run longer did not cause the prompt ones.
    """
    crashes = [c for c in list_proven(unit) if c.index == index and not c.cleared]
    if any(c.late for c in crashes):
        return [c for c in crashes if not c.prompt]
    return crashes


def count_runs_crashed(unit: Unit, index: int) -> int:
    """Return how many runs of one of a unit's tasks have ended with a crash.

    Unproven losses count as one at most, so that they use up no job by themselves.
    """
    unproven = [c.unproven for c in unit.crashes if c.index == index]
    return unproven.count(False) + any(unproven)


def uses_up_crashes(unit: Unit) -> bool:
    """Return whether a task of the unit counts as the cause of its crashes."""
    indices = {c.index for c in list_proven(unit)}
    if any(count_runs_crashed(unit, index) >= MAX_RUNS_CRASHED for index in indices):
        return True
    return any(
        sum(c.signs >= signs for c in list_plausible(unit, index)) >= most
        for index in indices
        for signs, most in MAX_CRASHES.items()
    )


def clear_crash(crash: Crash) -> Crash:
    """Return a crash as one that another job has caused."""
    return msgspec.structs.replace(crash, cleared=True)


def weigh_crashes(unit: Unit) -> int:
    """Return how strongly its crashes point to a unit, compared with other units."""
    return sum(1 + c.signs for c in unit.crashes if not c.explained)
