"""A caller's attempt at a request, and the answers that need no target."""

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
"""A few heartbeats: by then a peer or the store has usually sent the configuration."""

UNKNOWN_RETRY_S = 1.0
"""When a caller who was answered "unknown" should retry for the late answer."""

STORE_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller at a request.

    ``deadline`` is the monotonic time by which it must be answered, and
    ``disconnected`` is set when the caller disconnects.
    """

    service: str
    request: ServiceRequest
    request_id: str
    digest: str
    steering: Steering
    deadline: float
    relayed: bool
    disconnected: asyncio.Event | None

    @property
    def is_first_attempt(self) -> bool:
        """Return whether the caller states that the id was never sent before."""
        return self.request.attempt == 1


def make_not_ready_failure() -> NotReady:
    """Return the failure of a gateway that has no configuration yet."""
    # Without a configuration every organisation is unknown. A caller who is told
    # that would take this passing state for its own mistake, and not retry.
    reason = "this gateway has not received the configuration yet"
    return NotReady(reason=reason, retry_after_s=NOT_READY_RETRY_S)


def make_not_ready_result(req: ServiceRequest) -> RequestResult:
    """Return the answer to a request before the configuration is known."""
    failure = make_not_ready_failure()
    if req.idempotent or req.attempt == 1:
        return make_not_run_result(req.id or "", failure)
    return make_unknown_result(req.id or "", failure)


def make_duplicate_failure() -> DuplicateId:
    """Return the failure of an id that was used before with another body."""
    return DuplicateId(reason="this id had another body before", field="id")


def make_late_result(attempt: Attempt) -> RequestResult:
    """Return the answer, at its deadline, of a request that may be running."""
    reason = "no answer by the deadline"
    if not attempt.request.idempotent:
        reason += "; a late answer is kept under this id"
    failure = SentUnanswered(reason=reason, retry_after_s=UNKNOWN_RETRY_S)
    return make_unknown_result(attempt.request_id, failure)


def make_forgotten_result(attempt: Attempt, owner: OutcomeForgotten) -> Answer:
    """Return the answer for an id whose own answer was discarded."""
    if owner.digest not in (None, attempt.digest):
        return make_duplicate_failure()
    reason = "the id was used before and its answer is no longer kept; it may have run"
    return make_unknown_result(attempt.request_id, SentUnanswered(reason=reason))


def make_owner_unknown_result(attempt: Attempt, owner: OwnerUnknown) -> RequestResult:
    """Return the answer when the owner of the id cannot be determined."""
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
