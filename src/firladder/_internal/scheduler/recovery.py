"""Decide during a takeover which gangs are intact, from the workers' reports."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from ..models.job import JobRecord, Member
from ..models.task import TaskStatus
from .accounting import WorkerState

FoundTasks = Mapping[str, tuple[str, TaskStatus]]
"""Tasks of one attempt by name, each with its worker."""


class TaskIndex:
    """All tasks that claimed workers have, the ended ones too, by attempt.

    Built once for a takeover: searching 3,200 tasks for each of some hundred
    jobs would keep a leader from renewing its lease in time.
    """

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        """Index what the workers have reported."""
        self._attempts: dict[tuple[str, int], dict[str, tuple[str, TaskStatus]]] = {}
        for state in workers:
            for task in (*state.tasks.values(), *state.ended.values()):
                attempt = self._attempts.setdefault((task.job, task.attempt), {})
                attempt[task.task] = (state.machine.name, task)

    def find(self, job: JobRecord) -> FoundTasks:
        """Return the tasks of the job's current attempt."""
        return self._attempts.get((job.spec.id, job.attempt), {})


def name_task(member: Member, attempt: int) -> str:
    """Return the name under which workers know a member of an attempt."""
    return f"{member.task}.a{attempt}"


def is_intact(
    job: JobRecord, claimed_workers: Collection[str], found: FoundTasks
) -> bool:
    """Return whether every member on a claimed worker runs or is done.

    Members are confirmed only after all have started, so a confirmed member
    proves that those on workers that do not answer yet have started too.
    """
    asked = [m for m in job.members if m.worker in claimed_workers]
    tasks = [found.get(name_task(m, job.attempt)) for m in asked]
    return (
        bool(job.members)
        and (bool(asked) or job.state == "running")
        and all(t is not None and _is_running_or_done(t[1]) for t in tasks)
    )


def _is_running_or_done(task: TaskStatus) -> bool:
    return task.state == "done" or (task.state == "running" and task.confirmed)


def find_unrecorded_attempt(
    job: JobRecord, claimed_workers: Collection[str], index: TaskIndex
) -> JobRecord | None:
    """Return the attempt that an isolated leader has started completely, or None.

    The store still has such a job as queued, as that leader could not write.
    """
    attempt = msgspec.structs.replace(job, attempt=job.attempt + 1)
    found = index.find(attempt)
    suffix = f".a{attempt.attempt}"
    members = tuple(
        Member(name.removesuffix(suffix), worker, task.accelerators)
        for name, (worker, task) in found.items()
    )
    record = msgspec.structs.replace(attempt, members=members)
    complete = len(members) == job.spec.members
    return record if complete and is_intact(record, claimed_workers, found) else None
