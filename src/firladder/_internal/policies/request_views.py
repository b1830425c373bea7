"""Read-only views of requests, targets and services for the request policies."""

import dataclasses
from collections.abc import Mapping

from ..models.configuration import Urgency

URGENCY_RANK: Mapping[Urgency, int] = {"urgent": 0, "normal": 1, "overnight": 2}


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request in a gateway's queue. Times are monotonic seconds."""

    id: str
    organisation: str
    urgency: Urgency
    arrived_at: float
    deadline: float
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """A target as this gateway sees it.

    ``share`` is how many requests this gateway may have in flight there;
    ``latency_s`` is a moving average, ``oldest_s`` the age of the oldest request in
    flight; ``failures`` counts consecutive failures.
    """

    name: str
    in_flight: int
    share: int
    latency_s: float
    failures: int = 0
    retry_at: float = 0.0
    leaving: bool = False
    oldest_s: float = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Return whether this gateway may send the target one more request."""
        return not self.leaving and self.in_flight < self.share


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """The queue and the capacity of one service, as input of admission.

    ``room`` is the sum of this gateway's shares of the targets, ``latency_s`` the
    time that one request takes there. ``held`` counts the queued requests by
    organisation; ``ahead_of_own`` those of the requesting organisation that are served
    first. ``refused_s`` is the work refused recently, in seconds, which may be retried.
    """

    now: float
    queued: Mapping[Urgency, int]
    queue_limit: int
    room: int
    in_flight: int
    latency_s: float
    held: Mapping[str, int] = dataclasses.field(default_factory=dict)
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    ahead_of_own: int = 0
    request_share: float = 1.0
    refused_s: float = 0.0
