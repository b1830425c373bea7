"""Doubt about workers that fail or stall what they run."""

import math

from .machines import Machine
from .pool_spread import PoolSpread

USUAL_FAILED_SHARE = 0.05
"""Share of runs that fail through their own fault, until a pool's own is learned."""

USUAL_RUNS = 40.0
"""Weight of that share, in runs."""

MIN_FAILED_SHARE = 0.03
"""Least share that is assumed: one failure of a task must not condemn its worker where
nothing has failed for long."""

BROKEN_SHARE = 0.02
"""Share of workers that fail everything at any time."""

BROKEN_FAILED_SHARE = 0.95
"""Share of its runs that a broken worker fails."""

MAX_BROKEN = 0.99
"""Highest probability that a worker counts as broken. A dozen failures at the same
moment would round it to 1, and the odds of certainty are infinite."""

MEMORY_S = 6.0
"""Seconds in which doubt falls to a third without news: workers that fail everything do
so for some six seconds."""

MIN_DOUBT = 0.02
"""Doubt below which a worker counts as any other."""


def record_failed_run(machine: Machine, now: float, *, failures: int = 0) -> float:
    """Update the doubt after a run failed or stalled; return it.

    The odds that the worker is broken rise by how much more often a broken worker
    fails a run than a sound one. ``failures`` is how often the task had failed
    elsewhere: a task that fails everywhere says little of its workers.
    """
    pool = machine.pool
    own_fault = max(compute_failed_share(pool), failures / (failures + 1))
    prior = max(BROKEN_SHARE, _decay(machine, now))
    odds = prior / (1 - prior) * BROKEN_FAILED_SHARE / own_fault
    machine.broken = min(MAX_BROKEN, odds / (1 + odds))
    machine.broken_at = now
    machine.failures += 1
    pool.runs += 1
    pool.failed_runs += 1 - machine.broken
    return machine.broken


def record_good_run(machine: Machine) -> None:
    """Clear the doubt after a run has succeeded."""
    machine.broken = 0.0


def count_good_run(pool: PoolSpread) -> None:
    """Count a run of a unit that succeeded in the pool's usual share of failures."""
    pool.runs += 1


def compute_failed_share(pool: PoolSpread) -> float:
    """Return the share of runs that fail in a pool through their own fault."""
    failed = USUAL_FAILED_SHARE * USUAL_RUNS + pool.failed_runs
    return max(MIN_FAILED_SHARE, failed / (USUAL_RUNS + pool.runs))


def compute_doubt(machine: Machine, now: float) -> float:
    """Return the probability that a run that starts now fails by the worker's fault."""
    if not machine.broken:
        return 0.0
    doubt = BROKEN_FAILED_SHARE * _decay(machine, now)
    if doubt < MIN_DOUBT:
        machine.broken = 0.0
        return 0.0
    return doubt


def _decay(machine: Machine, now: float) -> float:
    if not machine.broken:
        return 0.0
    return machine.broken * math.exp(-max(0.0, now - machine.broken_at) / MEMORY_S)
