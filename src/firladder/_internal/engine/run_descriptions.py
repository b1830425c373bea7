"""What the log tells of a unit's run beside the decision itself."""

from collections.abc import Mapping

from .state import Placement, Unit

Inputs = dict[str, object]
"""The inputs of a decision, by name."""


def describe_spread(unit: Unit, last: Placement, spread_s: float) -> Inputs:
    """Describe a gang whose members started ``spread_s`` seconds apart."""
    return _describe_run(unit) | {
        "spread_s": round(spread_s, 3),
        "index": last.task.index,
        "worker": last.worker_id,
    }


def describe_done(unit: Unit, last: Placement, slowness: Mapping[str, float]) -> Inputs:
    """Describe a unit that is done, by the slowness of each of its workers.

    A gang takes as long as its slowest member.
    """
    slowest = max(slowness, key=slowness.__getitem__)
    return _describe_run(unit) | {
        "declared_s": unit.step.estimate_s,
        "worker": last.worker_id,
        "slowest": slowest,
        "slowness": round(slowness[slowest], 2),
    }


def describe_alone(unit: Unit, placement: Placement) -> Inputs:
    """Describe what the leader believed of all members when one ended alone."""
    others = sorted(unit.placements.items())
    return _describe_run(unit) | {
        "run": placement.run,
        "index": placement.task.index,
        "worker": placement.worker_id,
        "active_at": round(placement.active_at, 3),
        "others": [f"{i} {p.phase.value} {p.worker_id}" for i, p in others],
        "gone": len(unit.indices) - len(others) - 1,
    }


def _describe_run(unit: Unit) -> Inputs:
    return {
        "job": unit.job.accepted.job_id,
        "step": unit.step_index,
        "run": unit.run,
    }
