"""What the log tells of a unit's run beside the decision itself."""

from collections.abc import Mapping

from ..models.order import Ending, TaskId
from .state import Job, Placement, Unit, Worker

Inputs = dict[str, object]
"""The inputs of a decision, by name."""


def describe_size(unit: Unit, workers: Mapping[str, Worker]) -> Inputs:
    """Describe how much of the pool a planned run holds."""
    return {
        "members": len(unit.indices),
        "cores": unit.step.need.cpu_milli / 1000,
        "racks": len({workers[p.worker_id].rack for p in unit.placements.values()}),
    }


def describe_begin(unit: Unit, now: float) -> Inputs:
    """Describe a unit that is at work.

    ``orders_s`` is the time since its run was durable. A new leader does not know that,
    nor since when the unit waited; it finds that the unit has run for ``ran_s``.
    """
    ready, durable_at = unit.ready_at >= 0, unit.durable_at
    return _describe_unit(unit) | {
        "run": unit.run,
        "waited_s": round(now - unit.ready_at, 3) if ready else None,
        "orders_s": None if durable_at is None else round(now - durable_at, 3),
        "ran_s": round(now - unit.active_since, 3),
    }


def describe_end(unit: Unit, placement: Placement, ending: Ending | None) -> Inputs:
    """Describe the end of a task without a result, and whether its work is saved."""
    return _describe_unit(unit) | {
        "index": placement.task.index,
        "run": placement.run,
        "worker": placement.worker_id,
        "how": ending or "not there",
        "saved": bool(unit.checkpoint),
    }


def describe_listed(
    worker: Worker, task: TaskId, run: int, unit: Unit | None
) -> Inputs:
    """Describe a run that a worker lists, or should list, against what is known of it.

    ``newest_run`` and ``state`` are those of its unit, or None if there is no such
    unit. ``acknowledged`` is the number of the last end acknowledged to the worker.
    """
    return {
        "job": task.job_id,
        "step": task.step,
        "occurrence": task.occurrence,
        "index": task.index,
        "run": run,
        "newest_run": None if unit is None else unit.run,
        "state": None if unit is None else unit.state.value,
        "worker": worker.worker_id,
        "born": worker.entry.born,
        "acknowledged": worker.last_end_acknowledged,
    }


def describe_job_end(job: Job, run_times: Mapping[tuple[str, int], float]) -> Inputs:
    """Describe a job's end, with what its objective follows from.

    ``run_times`` has what was learned of each queue and step.
    """
    accepted = job.accepted
    work_s = _measure_work(job, run_times)
    return {
        "job": accepted.job_id,
        "outcome": job.state.value,
        "queue": accepted.queue,
        "organisation": accepted.organisation,
        "queue_priority": accepted.priority,
        "accepted_at": round(accepted.accepted_at_s, 3),
        "stretch": accepted.stretch,
        "slo_s": accepted.slo_s,
        "work_s": None if work_s is None else round(work_s, 3),
    }


def _measure_work(job: Job, run_times: Mapping[tuple[str, int], float]) -> float | None:
    """Return the longest chain of work on usual workers, or None if not known.

    A declared time is no measure: it is wrong by up to a factor of nine.
    """
    chains: list[float] = []
    # A step comes after its predecessors in the list: submissions are checked for it.
    for number, step in enumerate(job.accepted.workload.steps):
        measured = [u.work_s for u in job.by_step.get((0, number), ())]
        learned = run_times.get((job.accepted.queue, number), 0.0)
        own_s = max(measured, default=0.0) or learned
        if not own_s:
            return None
        chains.append(own_s + max((chains[k] for k in step.after), default=0.0))
    return max(chains, default=None)


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


def _describe_unit(unit: Unit) -> Inputs:
    return {
        "job": unit.job.accepted.job_id,
        "step": unit.step_index,
        "occurrence": unit.occurrence,
        "index": unit.indices[0],
    }


def _describe_run(unit: Unit) -> Inputs:
    return {
        "job": unit.job.accepted.job_id,
        "step": unit.step_index,
        "run": unit.run,
    }
