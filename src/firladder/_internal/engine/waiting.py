"""The units that wait to be planned, and the pool that each of them goes to."""

from collections.abc import Iterator

from ..models.workload import Queue
from .core import Core
from .state import Job, Unit, UnitState


class WaitingUnits:
    """The waiting units of all jobs, by the configuration that is in force."""

    def __init__(self, core: Core) -> None:
        """List the units of ``core``."""
        self._core = core
        self._queues: dict[str, Queue] = {}

    def begin_pass(self) -> None:
        """Use the newest configuration from now on."""
        self._queues = {q.name: q for q in self._core.configuration.queues}

    def find_pool(self, job: Job) -> str:
        """Return the pool that the configuration in force assigns to the job.

        If its queue has been removed since, the job stays in the pool of that queue as
        long as the pool exists.
        """
        queue = self._queues.get(job.accepted.queue)
        return job.accepted.pool if queue is None else queue.pool

    def list_ready(self, now: float, wall: float) -> Iterator[Unit]:
        """Yield the units that may be planned now, and note since when they may."""
        for job in self._core.jobs.values():
            if job.terminal or job.cancelled:
                continue
            for (occurrence, number), units in job.by_step.items():
                if not is_due(job, occurrence, wall):
                    continue
                if not are_earlier_steps_done(job, occurrence, number):
                    continue
                for unit in units:
                    if _may_be_planned(unit, now):
                        _note_waiting(unit, now)
                        yield unit


def is_due(job: Job, occurrence: int, wall: float) -> bool:
    """Return whether an occurrence of a job is due at ``wall`` (Unix time)."""
    workload = job.accepted.workload
    if workload.occurrences <= 0:
        return True
    return wall >= workload.first_at_s + occurrence * workload.interval_s


def are_earlier_steps_done(job: Job, occurrence: int, number: int) -> bool:
    """Return whether all steps that a step comes after are done."""
    return all(
        unit.state is UnitState.DONE
        for earlier in job.accepted.workload.steps[number].after
        for unit in job.by_step[occurrence, earlier]
    )


def _may_be_planned(unit: Unit, now: float) -> bool:
    if unit.state is not UnitState.WAITING or unit.placements:
        return False
    return now >= unit.backoff_until


def _note_waiting(unit: Unit, now: float) -> None:
    if unit.ready_at < 0:
        unit.ready_at = now
    if unit.waiting_since < 0:
        unit.waiting_since = now
