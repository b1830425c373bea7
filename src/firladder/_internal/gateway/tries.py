"""One try of a caller, and the answers to it that need no target."""

import asyncio
import dataclasses

from ..exceptions import (
    DuplicateId,
    Failure,
    NotReady,
    SentUnanswered,
    StoreUnavailable,
)
from ..models.request import RequestResult, ServiceRequest
from ..policies.selectors import Steering
from .answers import Answer
from .ownership import OutcomeForgotten, OwnerUnknown
from .pending import refuse

NOT_READY_RETRY_S = 1.0
"""A few heartbeats, by which some peer or the store has usually told."""

ASK_AGAIN_S = 1.0
"""When a caller who was told "unknown" shall ask for the late answer."""

STORE_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """One try of a caller, with the monotonic time at which it must be answered."""

    service: str
    request: ServiceRequest
    request_id: str
    digest: str
    steering: Steering
    deadline: float
    relayed: bool
    gone: asyncio.Event | None

    @property
    def is_first(self) -> bool:
        """Tell whether the caller vouches that the id was sent nowhere before."""
        return self.request.attempt == 1


def describe_not_ready() -> NotReady:
    """Return why a gateway that has heard no configuration serves nobody."""
    # Its empty configuration knows no organisation; a caller who is told so
    # would take a passing state for a mistake of its own and never come back.
    reason = "this gateway has not heard the configuration yet"
    return NotReady(reason=reason, retry_after_s=NOT_READY_RETRY_S)


def tell_not_ready(req: ServiceRequest) -> RequestResult:
    """Return the answer to a request while no configuration is known."""
    failure = describe_not_ready()
    if req.idempotent or req.attempt == 1:
        return refuse(req.id or "", failure)
    return disown(req.id or "", failure)


def tell_duplicate() -> DuplicateId:
    """Return the refusal of an id that came with another body."""
    return DuplicateId(reason="this id had another body before", field="id")


def tell_late(current: Try) -> RequestResult:
    """Return the answer at the deadline of a request that may be running."""
    reason = "no answer by the deadline"
    if not current.request.idempotent:
        reason += "; a late one is kept under this id"
    failure = SentUnanswered(reason=reason, retry_after_s=ASK_AGAIN_S)
    return disown(current.request_id, failure)


def tell_taken(current: Try, owner: OutcomeForgotten) -> Answer:
    """Return the answer under an id whose own answer is forgotten."""
    if owner.digest not in (None, current.digest):
        return tell_duplicate()
    reason = "the id was taken before and its answer is no longer kept; it may have run"
    return disown(current.request_id, SentUnanswered(reason=reason))


def tell_unclaimed(current: Try, owner: OwnerUnknown) -> RequestResult:
    """Return the answer while nobody can tell who owns the id."""
    reason = f"the id could not be claimed ({owner.reason})"
    if current.is_first:
        reason += "; an id from /v1/tickets needs no claim"
    else:
        reason += ": this try did not run, but an earlier one may have"
    failure = StoreUnavailable(reason=reason, retry_after_s=STORE_RETRY_S)
    if current.is_first:
        return refuse(current.request_id, failure)
    return disown(current.request_id, failure)


def disown(request_id: str, failure: Failure) -> RequestResult:
    """Return the answer to a request that may have run."""
    return RequestResult(
        id=request_id,
        outcome="unknown",
        failure=failure,  # type: ignore[arg-type]
        retry_after_s=failure.retry_after_s,
    )
