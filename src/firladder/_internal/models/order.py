"""Orders to workers, and what workers report."""

import dataclasses
from typing import Literal

Ending = Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]

Rejection = Literal["fenced", "superseded", "too_late", "no_room", "ticket", "other"]
"""Why a worker did not begin a task: a higher fencing token is known there, the
run number was given up, the deadline had passed, or it lacks room."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A task at work: its newest checkpoint and its progress in per cent."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run. ``number`` counts the ends of one incarnation."""

    number: int
    task: TaskId
    run: int
    ending: Ending
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """All that runs on a worker, and the ends not yet acknowledged to it.

    ``clock_s`` is the worker's own steady clock.
    """

    clock_s: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Begin ``task`` under ``run`` on a worker."""

    worker_id: str
    address: str
    task: TaskId
    run: int
    payload: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """End ``task`` up to and including ``run`` on a worker."""

    worker_id: str
    address: str
    task: TaskId
    run: int
