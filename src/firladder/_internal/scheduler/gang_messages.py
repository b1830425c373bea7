"""Messages from the leader to a gang's runner, and the runner's timeouts."""

import dataclasses
from typing import Literal

from ..models.task import TaskStatus


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEnded:
    """A worker reports that a member has ended."""

    status: TaskStatus


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLost:
    """A member's worker is unreachable, or no longer knows the member."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopGang:
    """The gang must end: cancelled by its caller, or preempted for another."""

    cause: Literal["cancelled", "evicted"]


GangMessage = MemberEnded | MemberLost | StopGang


@dataclasses.dataclass(frozen=True, slots=True)
class GangTimes:
    """The settings of the scheduler that bound a gang's leases and its stop.

    ``task_ttl_s`` is the lease of a confirmed member, ``start_ttl_s`` that of a
    member until then; a stop by force follows after ``stop_grace_s``.
    """

    task_ttl_s: float
    start_ttl_s: float
    stop_grace_s: float
