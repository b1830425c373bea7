"""Plain views of callers' requests and of targets, for the decisions on them."""

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

    ``share`` is how many requests this gateway may have there at once;
    ``latency_s`` is a moving average, ``oldest_s`` the age of the oldest
    request in flight; ``failures`` counts the last in a row.
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
    def has_room(self) -> bool:
        """Tell whether this gateway may send one more request there."""
        return not self.leaving and self.in_flight < self.share


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """What admission may look at: the queue and the room of one service.

    ``room`` is the sum of this gateway's shares and ``latency_s`` what one
    request takes there; ``held`` counts the queued requests by organisation,
    ``ahead`` those of the asking organisation that go first; ``refused_s``
    says how many seconds of work were refused lately, and so may come back.
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
