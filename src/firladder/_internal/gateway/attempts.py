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
from .pending import make_not_run_result

NOT_READY_RETRY_S = 1.0
"""A few heartbeats, by which some peer or the store has usually told."""

UNKNOWN_RETRY_S = 1.0
"""When a caller who was told "unknown" shall ask for the late answer."""

STORE_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
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
    def is_first_attempt(self) -> bool:
        """Tell whether the caller vouches that the id was sent nowhere before."""
        return self.request.attempt == 1


def make_not_ready_failure() -> NotReady:
    """Return why a gateway that has heard no configuration serves nobody."""
    # Its empty configuration knows no organisation; a caller who is told so
    # would take a passing state for a mistake of its own and never come back.
    reason = "this gateway has not heard the configuration yet"
    return NotReady(reason=reason, retry_after_s=NOT_READY_RETRY_S)


def make_not_ready_result(req: ServiceRequest) -> RequestResult:
    """Return the answer to a request while no configuration is known."""
    failure = make_not_ready_failure()
    if req.idempotent or req.attempt == 1:
        return make_not_run_result(req.id or "", failure)
    return make_unknown_result(req.id or "", failure)


def make_duplicate_failure() -> DuplicateId:
    """Return the refusal of an id that came with another body."""
    return DuplicateId(reason="this id had another body before", field="id")


def make_late_result(attempt: Attempt) -> RequestResult:
    """Return the answer at the deadline of a request that may be running."""
    reason = "no answer by the deadline"
    if not attempt.request.idempotent:
        reason += "; a late one is kept under this id"
    failure = SentUnanswered(reason=reason, retry_after_s=UNKNOWN_RETRY_S)
    return make_unknown_result(attempt.request_id, failure)


def make_forgotten_result(attempt: Attempt, owner: OutcomeForgotten) -> Answer:
    """Return the answer under an id whose own answer is forgotten."""
    if owner.digest not in (None, attempt.digest):
        return make_duplicate_failure()
    reason = "the id was taken before and its answer is no longer kept; it may have run"
    return make_unknown_result(attempt.request_id, SentUnanswered(reason=reason))


def make_owner_unknown_result(attempt: Attempt, owner: OwnerUnknown) -> RequestResult:
    """Return the answer while nobody can tell who owns the id."""
    reason = f"the id could not be claimed ({owner.reason})"
    if attempt.is_first_attempt:
        reason += "; an id from /v1/tickets needs no claim"
    else:
        reason += ": this try did not run, but an earlier one may have"
    failure = StoreUnavailable(reason=reason, retry_after_s=STORE_RETRY_S)
    if attempt.is_first_attempt:
        return make_not_run_result(attempt.request_id, failure)
    return make_unknown_result(attempt.request_id, failure)


def make_unknown_result(request_id: str, failure: Failure) -> RequestResult:
    """Return the answer to a request that may have run."""
    return RequestResult(
        id=request_id,
        outcome="unknown",
        failure=failure,  # type: ignore[arg-type]
        retry_after_s=failure.retry_after_s,
    )
