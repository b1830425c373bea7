"""Every failure of the product, each a type of its own.

A failure is a value that a function returns in place of its result; it carries
a reason for people and never travels as a bare string. Only a wrong setting is
raised, because it ends the process before anything runs.
"""

from typing import ClassVar

import msgspec


class Failure(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base of all sentinel values that stand for a failure."""

    http_status: ClassVar[int] = 500

    reason: str
    field: str | None = None
    retry_after_s: float | None = None


class MalformedBody(Failure, frozen=True, kw_only=True, tag="malformed_body"):
    """The body is not JSON, or a field is missing, unknown or of a wrong type."""

    http_status: ClassVar[int] = 400


class InvalidValue(Failure, frozen=True, kw_only=True, tag="invalid_value"):
    """A field is well formed, but its value cannot be accepted."""

    http_status: ClassVar[int] = 422


class BodyTooLarge(Failure, frozen=True, kw_only=True, tag="body_too_large"):
    """The body exceeds the limit of this listener."""

    http_status: ClassVar[int] = 413


class NotFound(Failure, frozen=True, kw_only=True, tag="not_found"):
    """Nothing of that name exists."""

    http_status: ClassVar[int] = 404


class MethodNotAllowed(Failure, frozen=True, kw_only=True, tag="method_not_allowed"):
    """The path exists, but not with this method."""

    http_status: ClassVar[int] = 405


class Unauthorised(Failure, frozen=True, kw_only=True, tag="unauthorised"):
    """The call needs the operators' token."""

    http_status: ClassVar[int] = 401


class DuplicateId(Failure, frozen=True, kw_only=True, tag="duplicate_id"):
    """The identifier already belongs to a request or job with another body."""

    http_status: ClassVar[int] = 409


class RevisionConflict(Failure, frozen=True, kw_only=True, tag="revision_conflict"):
    """Somebody else changed the configuration since the given revision."""

    http_status: ClassVar[int] = 409

    revision: int


class GuaranteesDoNotFit(Failure, frozen=True, kw_only=True, tag="shapes_do_not_fit"):
    """The guaranteed shapes of a failure domain do not fit together."""

    http_status: ClassVar[int] = 422


class GangTooLarge(Failure, frozen=True, kw_only=True, tag="gang_too_large"):
    """No rack or failure domain could ever hold the gang."""

    http_status: ClassVar[int] = 422


class NoTarget(Failure, frozen=True, kw_only=True, tag="no_target"):
    """No target of the service may take the request now."""

    http_status: ClassVar[int] = 503


class QueueFull(Failure, frozen=True, kw_only=True, tag="queue_full"):
    """The queue has reached its limit."""

    http_status: ClassVar[int] = 503


class DeadlineUnreachable(
    Failure, frozen=True, kw_only=True, tag="deadline_unreachable"
):
    """The deadline passed, or is certain to pass, before the work could end."""

    http_status: ClassVar[int] = 504


class NotReady(Failure, frozen=True, kw_only=True, tag="not_ready"):
    """This process has not heard of any configuration yet."""

    http_status: ClassVar[int] = 503


class Draining(Failure, frozen=True, kw_only=True, tag="draining"):
    """This process is stopping and takes no new work."""

    http_status: ClassVar[int] = 503


class StoreUnavailable(Failure, frozen=True, kw_only=True, tag="store_unavailable"):
    """The platform's store did not take the call: it has had no effect."""

    http_status: ClassVar[int] = 503


class StoreUncertain(Failure, frozen=True, kw_only=True, tag="store_uncertain"):
    """The answer of the platform's store was lost: the call may have had effect."""

    http_status: ClassVar[int] = 503


class StoreAnswerTooLarge(
    StoreUncertain, frozen=True, kw_only=True, tag="store_answer_too_large"
):
    """The store's answer holds more bytes than the caller takes."""


class StoreConflict(Failure, frozen=True, kw_only=True, tag="store_conflict"):
    """A comparison of the transaction did not hold: it has had no effect."""

    http_status: ClassVar[int] = 409


class PeerUnreachable(Failure, frozen=True, kw_only=True, tag="peer_unreachable"):
    """A process of the fleet did not answer in time."""

    http_status: ClassVar[int] = 503


class NotLeader(Failure, frozen=True, kw_only=True, tag="not_leader"):
    """The scheduler asked does not lead its failure domain."""

    http_status: ClassVar[int] = 503


class FencedOff(Failure, frozen=True, kw_only=True, tag="fenced_off"):
    """A worker has obeyed a higher epoch and rejects this one."""

    http_status: ClassVar[int] = 409


class WorkerUnreachable(Failure, frozen=True, kw_only=True, tag="worker_unreachable"):
    """A worker did not answer, or answered with an error."""

    http_status: ClassVar[int] = 503


class NotSent(Failure, frozen=True, kw_only=True, tag="not_sent"):
    """No byte of the request left this process: it has certainly not run."""

    http_status: ClassVar[int] = 503


class SentUnanswered(Failure, frozen=True, kw_only=True, tag="sent_unanswered"):
    """Bytes of the request left, and no whole matching answer came back."""

    http_status: ClassVar[int] = 502


class AnswerTooLarge(SentUnanswered, frozen=True, kw_only=True, tag="answer_too_large"):
    """An answer began that holds more bytes than its caller takes."""


class HistoryLost(Failure, frozen=True, kw_only=True, tag="history_lost"):
    """The changes that a watch asked for cannot be had; a new listing is needed."""

    http_status: ClassVar[int] = 503


class LeaseEnded(Failure, frozen=True, kw_only=True, tag="lease_ended"):
    """A lease of the platform's store has ended, and its keys with it."""

    http_status: ClassVar[int] = 503


class OrderRejected(Failure, frozen=True, kw_only=True, tag="order_rejected"):
    """A worker rejected an order; it has begun nothing for it."""

    http_status: ClassVar[int] = 409

    rejection: str = "other"


class WorkerRefused(Failure, frozen=True, kw_only=True, tag="worker_refused"):
    """An unhealthy worker turned a call away and has done nothing."""

    http_status: ClassVar[int] = 503


class WorkerReplaced(Failure, frozen=True, kw_only=True, tag="worker_replaced"):
    """Another incarnation answers at the worker's address: the one meant is gone."""

    http_status: ClassVar[int] = 503


class UnknownKey(Failure, frozen=True, kw_only=True, tag="unknown_key"):
    """No organisation has the key that came with the call."""

    http_status: ClassVar[int] = 401


class JobGone(Failure, frozen=True, kw_only=True, tag="job_gone"):
    """No such job is known, or it ended so long ago that it was forgotten."""

    http_status: ClassVar[int] = 410


class OutcomeUnknown(Failure, frozen=True, kw_only=True, tag="outcome_unknown"):
    """The store did not tell in time whether the call had its effect."""

    http_status: ClassVar[int] = 504


class IllegalTransition(Failure, frozen=True, kw_only=True, tag="illegal_transition"):
    """A state chart has no such transition from its present state."""


class CheckerMissing(Failure, frozen=True, kw_only=True, tag="checker_missing"):
    """The model checker is not installed; only tests need it."""


class InternalFault(Failure, frozen=True, kw_only=True, tag="internal_fault"):
    """A defect of the product: the log has the traceback."""


AnyFailure = (
    MalformedBody
    | InvalidValue
    | BodyTooLarge
    | NotFound
    | MethodNotAllowed
    | Unauthorised
    | DuplicateId
    | RevisionConflict
    | GuaranteesDoNotFit
    | GangTooLarge
    | NoTarget
    | QueueFull
    | DeadlineUnreachable
    | NotReady
    | Draining
    | StoreUnavailable
    | StoreUncertain
    | StoreAnswerTooLarge
    | StoreConflict
    | PeerUnreachable
    | NotLeader
    | FencedOff
    | WorkerUnreachable
    | NotSent
    | SentUnanswered
    | AnswerTooLarge
    | HistoryLost
    | LeaseEnded
    | OrderRejected
    | WorkerRefused
    | WorkerReplaced
    | UnknownKey
    | JobGone
    | OutcomeUnknown
    | IllegalTransition
    | CheckerMissing
    | InternalFault
)
"""Union of all failures, for decoding them from a message."""


OrderFailure = (
    FencedOff
    | OrderRejected
    | WorkerRefused
    | WorkerReplaced
    | NotSent
    | SentUnanswered
)
"""What may come of a call to a worker of the platform in place of its answer."""


class SettingError(Exception):
    """A flag or environment variable is wrong; the process must not start."""

    def __init__(self, *, setting: str, reason: str) -> None:
        """Keep the setting's name and what would be right."""
        super().__init__(f"{setting}: {reason}")
        self.setting = setting
        self.reason = reason


class ChartError(Exception):
    """A state chart is malformed or names a handler that does not exist."""
