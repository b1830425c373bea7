"""All failures, each a type of its own.

A failure is a value that a function returns instead of its result, with a readable
reason; it is never passed on as a plain string. Only errors that must stop the
process before anything runs are raised: a wrong setting or state chart.
"""

from typing import ClassVar

import msgspec


class Failure(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    """Base of all failures."""

    http_status: ClassVar[int] = 500

    reason: str
    field: str | None = None
    retry_after_s: float | None = None


class MalformedBody(Failure, frozen=True, kw_only=True, tag="malformed_body"):
    """The body is not JSON, or a field is missing, unknown or of the wrong type."""

    http_status: ClassVar[int] = 400


class InvalidValue(Failure, frozen=True, kw_only=True, tag="invalid_value"):
    """A field is well formed, but its value cannot be accepted."""

    http_status: ClassVar[int] = 422


class BodyTooLarge(Failure, frozen=True, kw_only=True, tag="body_too_large"):
    """The body exceeds the size limit of this listener."""

    http_status: ClassVar[int] = 413


class NotFound(Failure, frozen=True, kw_only=True, tag="not_found"):
    """Nothing with that name exists."""

    http_status: ClassVar[int] = 404


class MethodNotAllowed(Failure, frozen=True, kw_only=True, tag="method_not_allowed"):
    """The path exists, but does not support this method."""

    http_status: ClassVar[int] = 405


class Unauthorised(Failure, frozen=True, kw_only=True, tag="unauthorised"):
    """The call needs the operators' token."""

    http_status: ClassVar[int] = 401


class DuplicateId(Failure, frozen=True, kw_only=True, tag="duplicate_id"):
    """The identifier already belongs to a request or job with another body."""

    http_status: ClassVar[int] = 409


class RevisionConflict(Failure, frozen=True, kw_only=True, tag="revision_conflict"):
    """The configuration has changed since the given revision."""

    http_status: ClassVar[int] = 409

    revision: int


class GuaranteesDoNotFit(Failure, frozen=True, kw_only=True, tag="shapes_do_not_fit"):
    """The guaranteed shapes of a failure domain do not fit together."""

    http_status: ClassVar[int] = 422


class GangTooLarge(Failure, frozen=True, kw_only=True, tag="gang_too_large"):
    """No rack or failure domain could ever hold the gang."""

    http_status: ClassVar[int] = 422


class NoTarget(Failure, frozen=True, kw_only=True, tag="no_target"):
    """No target of the service can take the request now."""

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
    """This process has not received a configuration yet."""

    http_status: ClassVar[int] = 503


class Draining(Failure, frozen=True, kw_only=True, tag="draining"):
    """This process is stopping and takes no new work."""

    http_status: ClassVar[int] = 503


class StoreUnavailable(Failure, frozen=True, kw_only=True, tag="store_unavailable"):
    """The platform's store did not accept the call: it has had no effect."""

    http_status: ClassVar[int] = 503


class StoreUncertain(Failure, frozen=True, kw_only=True, tag="store_uncertain"):
    """The answer of the platform's store was lost: the call may have had an effect."""

    http_status: ClassVar[int] = 503


class StoreAnswerTooLarge(
    StoreUncertain, frozen=True, kw_only=True, tag="store_answer_too_large"
):
    """The store's answer has more bytes than the caller accepts."""


class StoreConflict(Failure, frozen=True, kw_only=True, tag="store_conflict"):
    """A comparison of the transaction did not hold: it has had no effect."""

    http_status: ClassVar[int] = 409


class PeerUnreachable(Failure, frozen=True, kw_only=True, tag="peer_unreachable"):
    """A process of the fleet did not answer in time."""

    http_status: ClassVar[int] = 503


class NotLeader(Failure, frozen=True, kw_only=True, tag="not_leader"):
    """The scheduler that was asked does not lead its failure domain."""

    http_status: ClassVar[int] = 503


class FencedOff(Failure, frozen=True, kw_only=True, tag="fenced_off"):
    """A worker has obeyed a higher epoch and rejects this one."""

    http_status: ClassVar[int] = 409


class WorkerUnreachable(Failure, frozen=True, kw_only=True, tag="worker_unreachable"):
    """A worker did not answer, or answered with an error."""

    http_status: ClassVar[int] = 503


class NotSent(Failure, frozen=True, kw_only=True, tag="not_sent"):
    """No byte of the request left this process, so it has certainly not run."""

    http_status: ClassVar[int] = 503


class ConnectionRefused(NotSent, frozen=True, kw_only=True, tag="not_sent"):
    """The peer's VM answers, but no process there accepts connections.

    Messages to callers say ``not_sent``.
    """


class SentUnanswered(Failure, frozen=True, kw_only=True, tag="sent_unanswered"):
    """Bytes of the request were sent, but no complete matching answer came back."""

    http_status: ClassVar[int] = 502


class ConnectionClosed(
    SentUnanswered, frozen=True, kw_only=True, tag="sent_unanswered"
):
    """The peer closed or reset the connection instead of answering the request.

    Messages to callers say ``sent_unanswered``.
    """


class AnswerTooLarge(SentUnanswered, frozen=True, kw_only=True, tag="answer_too_large"):
    """The answer has more bytes than its caller accepts."""


class HistoryLost(Failure, frozen=True, kw_only=True, tag="history_lost"):
    """The changes that a watch asked for are gone; everything must be listed again."""

    http_status: ClassVar[int] = 503


class LeaseEnded(Failure, frozen=True, kw_only=True, tag="lease_ended"):
    """A lease of the platform's store has ended, and its keys are deleted."""

    http_status: ClassVar[int] = 503


class OrderRejected(Failure, frozen=True, kw_only=True, tag="order_rejected"):
    """A worker rejected an order and has done nothing."""

    http_status: ClassVar[int] = 409

    rejection: str = "other"


class WorkerRefused(Failure, frozen=True, kw_only=True, tag="worker_refused"):
    """An unhealthy worker rejected a call and has done nothing."""

    http_status: ClassVar[int] = 503


class WorkerReplaced(Failure, frozen=True, kw_only=True, tag="worker_replaced"):
    """Another incarnation answers at the worker's address; the one meant is gone."""

    http_status: ClassVar[int] = 503


class WorkerRestarted(Failure, frozen=True, kw_only=True, tag="worker_restarted"):
    """The worker has started again under its id, and has carried out the call.

    ``born`` is when its new incarnation started, in Unix milliseconds.
    """

    http_status: ClassVar[int] = 503

    born: int


class AdviceBusy(Failure, frozen=True, kw_only=True, tag="advice_busy"):
    """The advice service has too many requests of other VMs waiting."""

    http_status: ClassVar[int] = 503


class AdviceUnavailable(Failure, frozen=True, kw_only=True, tag="advice_unavailable"):
    """The service that knows which workers may run the queue's jobs does not answer."""

    http_status: ClassVar[int] = 503


class UnknownKey(Failure, frozen=True, kw_only=True, tag="unknown_key"):
    """No organisation has the key that was sent with the call."""

    http_status: ClassVar[int] = 401


class JobGone(Failure, frozen=True, kw_only=True, tag="job_gone"):
    """No such job is known, or it ended so long ago that its record was removed."""

    http_status: ClassVar[int] = 410


class OutcomeUnknown(Failure, frozen=True, kw_only=True, tag="outcome_unknown"):
    """The store did not confirm in time whether the call took effect."""

    http_status: ClassVar[int] = 504


class IllegalTransition(Failure, frozen=True, kw_only=True, tag="illegal_transition"):
    """The state chart has no such transition from its current state."""


class CheckerMissing(Failure, frozen=True, kw_only=True, tag="checker_missing"):
    """The model checker is not installed; only tests need it."""


class InternalFault(Failure, frozen=True, kw_only=True, tag="internal_fault"):
    """A defect in the code; the log has the traceback."""


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
    | WorkerRestarted
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
    | WorkerRestarted
    | NotSent
    | SentUnanswered
)
"""Failures that a call to a worker of the platform may return."""


class SettingError(Exception):
    """A flag or environment variable is wrong; the process must not start."""

    def __init__(self, *, setting: str, reason: str) -> None:
        """Store the setting's name, and the reason why its value is wrong."""
        super().__init__(f"{setting}: {reason}")
        self.setting = setting
        self.reason = reason


class ChartError(Exception):
    """A state chart is malformed or names a handler that does not exist."""
