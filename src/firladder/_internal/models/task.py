"""Messages of the platform's interface for the tasks of gangs on workers."""

from typing import Literal

import msgspec

TaskState = Literal["held", "running", "done", "failed", "stopped", "lapsed"]
StopMode = Literal["polite", "force"]

ENDED: frozenset[str] = frozenset(("done", "failed", "stopped", "lapsed"))


class ReserveTask(msgspec.Struct, frozen=True, kw_only=True):
    """Reserve accelerators and memory for a task that does not run yet."""

    epoch: int
    task: str
    job: str
    attempt: int
    gang_size: int
    accelerators: tuple[int, ...]
    cpus: int
    memory_mb: int
    run_time_s: float
    ttl_s: float
    payload: msgspec.Raw = msgspec.Raw(b"null")


class StartTask(msgspec.Struct, frozen=True):
    """Body of the calls that start a held task or checkpoint a running one.

    A started task has a short lease until it is confirmed.
    """

    epoch: int


class StopTask(msgspec.Struct, frozen=True):
    """Stop a task; it may ignore the mode ``polite``, but not ``force``."""

    epoch: int
    mode: StopMode


class RenewTasks(msgspec.Struct, frozen=True):
    """Renew the leases of all confirmed tasks of a worker, and confirm more."""

    epoch: int
    ttl_s: float
    confirm: tuple[str, ...] = ()


class ClaimWorker(msgspec.Struct, frozen=True):
    """Make a worker obey this epoch, and reject lower ones from now on."""

    epoch: int


class TaskStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One task as its worker reports it."""

    task: str
    job: str
    attempt: int
    gang_size: int
    state: TaskState
    accelerators: tuple[int, ...]
    cpus: int = 0
    memory_mb: int = 0
    confirmed: bool = False
    reason: str = ""


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """The tasks of a worker: all, or those that changed after ``since``."""

    worker: str
    epoch: int
    sequence: int
    tasks: tuple[TaskStatus, ...] = ()
