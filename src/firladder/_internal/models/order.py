"""Orders to workers, and reports from workers."""

import dataclasses
from typing import Literal

Ending = Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
"""How a run ended. ``lapsed``: its lease expired; ``broken``: another member of its
gang ended without being done; ``alone``: the rest of its gang did not start."""

Rejection = Literal["fenced", "superseded", "too_late", "no_room", "ticket", "other"]
"""Why a worker did not begin a task. ``fenced``: it knows a higher fencing token;
``superseded``: the run number was given up; ``too_late``: the deadline had passed;
``no_room``: it lacks free capacity; ``ticket``: the ticket is missing or expired."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A running task, with its latest checkpoint and its progress in percent."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run; ``number`` counts the ends on one incarnation of a worker."""

    number: int
    task: TaskId
    run: int
    ending: Ending
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """The running tasks of a worker, and the ends not yet acknowledged to it.

    ``clock_s`` is the worker's monotonic clock. If the report is not ``complete``, more
    ends are listed once some of these are acknowledged. ``born`` is when this
    incarnation of the worker started, or 0 if it does not say.
    """

    clock_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start ``task`` as run number ``run`` on a worker.

    ``ticket`` proves that the worker may run the task, if its queue has advice.
    ``born`` names the incarnation that is meant, or is 0.
    """

    worker_id: str
    address: str
    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop all runs of ``task`` up to and including ``run`` on a worker.

    ``born`` names the incarnation that is meant, or is 0.
    """

    worker_id: str
    address: str
    task: TaskId
    run: int
    born: int = 0
