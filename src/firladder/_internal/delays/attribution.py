"""Attribute the time of a job to stages, and find the main cause of its delay.

The time from the first try to the durable end is followed backwards along the units
that determined it: the one that ended last, the one that its start waited for, and so
on. Each part of that time goes to one stage.
"""

import dataclasses
import enum
from collections.abc import Mapping

from .history import JobHistory, UnitRun
from .verdicts import DELAYED, Objective, Verdict, judge


class Stage(enum.StrEnum):
    """Where time goes. ``WORK`` is the time on usual workers, and never a cause."""

    ACCEPT = "accept"
    STORE = "store"
    CAPACITY = "capacity"
    STOPS = "stops"
    ORDERS = "orders"
    WORKER = "worker"
    RACK = "rack"
    LAPSED = "lapsed"
    PREEMPTED = "preempted"
    SHOWN = "shown"
    WORK = "work"


NO_CAUSE = "none"
UNKNOWN_CAUSE = "unknown"

USUAL_SLOWNESS = 1.1
"""Slowness up to which a worker counts as usual: members of one gang differ by more."""

MIN_CAUSE_S = 0.001
"""Shortest time, in seconds, that is a cause: walls of logs are given in about that."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobDelay:
    """Where the time of a job went; ``objective_s`` is None if it is not known."""

    history: JobHistory
    verdict: Verdict
    cause: str
    age_s: float
    objective_s: float | None
    stages: Mapping[Stage, float]


def attribute_job(
    history: JobHistory, until: float, objective: Objective | None
) -> JobDelay:
    """Return where a job's time went up to its end, or to ``until`` without an end.

    ``objective`` serves if the lines of the job do not tell it.
    """
    end = _find_end(history, until)
    # Times of a job of which only the end is in the logs begin there.
    first = history.first_try_at
    if first is None:
        first = min((r.first_known_at for r in history.runs.values()), default=end)
    work_s, stages = _divide(history, first, end)
    if history.stretch is not None and history.slo_s is not None:
        objective = Objective(history.stretch, history.slo_s)
    objective_s = None
    if objective is not None and work_s is not None:
        objective_s = objective.stretch * work_s + objective.slo_s
    verdict = judge(history, end - first, objective_s)
    return JobDelay(
        history,
        verdict,
        _choose_cause(history, verdict, stages),
        end - first,
        objective_s,
        stages,
    )


def _find_end(history: JobHistory, until: float) -> float:
    if history.ended_at is not None:
        return max(history.ended_at, history.durable_at or 0.0)
    if history.stored_at is None and not history.runs:
        return history.last_line_at
    return until


def _choose_cause(
    history: JobHistory, verdict: Verdict, stages: Mapping[Stage, float]
) -> str:
    if verdict not in DELAYED:
        return NO_CAUSE
    if verdict is Verdict.REFUSED:
        return Stage.ACCEPT
    if history.outcome == "failed":
        # All its attempts failed, or crashed their workers.
        return Stage.WORKER
    delays = {s: t for s, t in stages.items() if s is not Stage.WORK}
    longest = max(delays, key=delays.__getitem__, default=None)
    if longest is None or delays[longest] < MIN_CAUSE_S:
        return UNKNOWN_CAUSE
    return longest


def _divide(
    history: JobHistory, first: float, end: float
) -> tuple[float | None, dict[Stage, float]]:
    """Return the time on usual workers, if known, and the time in each stage."""
    stages: dict[Stage, float] = dict.fromkeys(Stage, 0.0)
    stored_at = history.stored_at if history.stored_at is not None else first
    ended_at = history.ended_at if history.ended_at is not None else end
    if history.stored_at is None and not history.runs:
        return None, {Stage.ACCEPT: end - first}
    stages[Stage.ACCEPT] = max(0.0, min(stored_at, ended_at) - first)
    stages[Stage.SHOWN] = end - ended_at
    chain = _follow_chain(history)
    usual: list[float | None] = []
    cursor = max(first, min(stored_at, ended_at))
    for number, runs in enumerate(chain):
        until = ended_at
        if number + 1 < len(chain):
            until = _find_start(chain[number + 1][0])
        usual.append(_divide_unit(runs, cursor, until, history, stages))
        cursor = max(cursor, until)
    if not chain:
        stages[Stage.CAPACITY] += max(0.0, ended_at - cursor)
    work_s = history.work_s
    if work_s is None and usual and None not in usual:
        work_s = sum(u for u in usual if u is not None)
    if history.work_s is not None:
        _move_excess(stages, history.work_s, chain)
    return work_s, {stage: t for stage, t in stages.items() if t >= MIN_CAUSE_S}


def _find_start(run: UnitRun) -> float:
    """Return when a unit's first run could be planned, as far as the logs tell."""
    return run.first_known_at if run.ready_at is None else run.ready_at


def _follow_chain(history: JobHistory) -> list[list[UnitRun]]:
    """Return the runs of the units that determined the end, the first unit first.

    Ends without loss have no line, so of the units of earlier steps the one whose last
    run was planned last is taken to be the one that the next step waited for.
    """
    units = list(history.list_unit_runs().values())
    chain: list[list[UnitRun]] = []
    steps: set[tuple[int, int]] = set()
    while units:
        last = max(units, key=lambda runs: runs[-1].first_known_at)
        chain.append(last)
        steps.add(last[0].key[:2])
        start = _find_start(last[0])
        units = [
            runs
            for runs in units
            if runs[0].key[:2] not in steps and runs[-1].first_known_at < start
        ]
    return chain[::-1]


def _divide_unit(
    runs: list[UnitRun],
    start: float,
    end: float,
    history: JobHistory,
    stages: dict[Stage, float],
) -> float | None:
    """Add the time of a unit's runs from ``start`` to ``end`` to the stages.

    Return the time of its last run on a usual worker, or None if it is not known.
    """
    if runs[0].ready_at is not None and runs[0].run == 1:
        # Accepted, and the leader did not know it yet.
        stages[Stage.ACCEPT] += max(0.0, runs[0].ready_at - start)
        start = max(start, runs[0].ready_at)
    waits_for = Stage.CAPACITY
    for run in runs[:-1]:
        start = _add_wait(run, start, waits_for, history, stages)
        lost_at = run.ended_at if run.ended_at is not None else start
        loss = classify_loss(run)
        stages[loss] += max(0.0, min(lost_at, end) - start)
        start = max(start, lost_at)
        waits_for = loss if loss is Stage.PREEMPTED else Stage.CAPACITY
    run = runs[-1]
    start = _add_wait(run, start, waits_for, history, stages)
    if run.lost and run.ended_at is not None and run.ended_at <= end:
        stages[classify_loss(run)] += max(0.0, run.ended_at - start)
        stages[Stage.CAPACITY] += max(0.0, end - run.ended_at)
        return None
    done_at = end if run.done_at is None else min(run.done_at, end)
    took_s = max(0.0, done_at - start)
    # What follows a unit that is done is the leader's time.
    stages[Stage.SHOWN] += max(0.0, end - max(start, done_at))
    if history.work_s is not None:
        stages[Stage.WORK] += took_s
        return None
    if run.usual_s is not None:
        stages[Stage.WORK] += min(took_s, run.usual_s)
        stages[_choose_slow_stage(run)] += max(0.0, took_s - run.usual_s)
        return run.usual_s
    if not run.slowness:
        stages[Stage.WORK] += took_s
        return None
    usual_s = took_s / run.slowness if run.slowness > 1.0 else took_s
    stages[Stage.WORK] += usual_s
    stages[_choose_slow_stage(run)] += took_s - usual_s
    return took_s / run.slowness


def _add_wait(
    run: UnitRun,
    start: float,
    waits_for: Stage,
    history: JobHistory,
    stages: dict[Stage, float],
) -> float:
    """Add the time from ``start`` until a run began; return when it began."""
    planned_at = max(start, run.first_known_at)
    # Room may be made for other units of the job; the last one is this run's.
    room_at = [at for at in history.room_made_at if start <= at <= planned_at]
    made_at = room_at[-1] if room_at else planned_at
    stages[waits_for] += made_at - start
    stages[Stage.STOPS] += planned_at - made_at
    if run.began_at is None or run.began_at < planned_at:
        return planned_at
    waited_s = run.began_at - planned_at
    orders_s = waited_s if run.orders_s is None else min(run.orders_s, waited_s)
    stages[Stage.STORE] += waited_s - orders_s
    stages[Stage.ORDERS] += orders_s
    return run.began_at


def classify_loss(run: UnitRun) -> Stage:
    """Return the stage that the time of a lost run goes to."""
    if "failed" in run.hows:
        return Stage.WORKER
    if run.reason == "room made":
        return Stage.PREEMPTED
    # A member that ended alone has waited for others whose starts did not come.
    if run.reason == "gang aborted" or "alone" in run.hows:
        return Stage.ORDERS
    if "lapsed" in run.hows or run.reason == "runs lapsed":
        return Stage.LAPSED
    return Stage.WORKER


def _choose_slow_stage(run: UnitRun) -> Stage:
    """Return the stage of the time that a run took beyond the usual."""
    spread = run.racks > 1 and run.slowness <= USUAL_SLOWNESS
    return Stage.RACK if spread else Stage.WORKER


def _move_excess(
    stages: dict[Stage, float], work_s: float, chain: list[list[UnitRun]]
) -> None:
    """Move the time that the last runs took beyond ``work_s`` out of the work."""
    excess_s = stages[Stage.WORK] - work_s
    if excess_s <= 0 or not chain:
        return
    stages[Stage.WORK] = work_s
    longest = max(
        (runs[-1] for runs in chain),
        key=lambda run: (run.slowness, run.racks),
    )
    stages[_choose_slow_stage(longest)] += excess_s
