"""Relay requests to the gateway that owns their id."""

from collections.abc import Awaitable
from typing import Protocol

import msgspec

from ..exceptions import (
    DeadlineUnreachable,
    DuplicateId,
    Failure,
    InvalidValue,
    PeerUnreachable,
)
from ..fleet.membership import Membership, Peer
from ..models.message import (
    AnyBody,
    ClockReply,
    ReadClock,
    Refused,
    RelayReply,
    RelayRequest,
)
from ..models.request import RequestResult, ServiceRequest
from ..network.fabric import Fabric
from ..utils.clocks import Clock
from ..utils.codec import decode_json, encode_json
from ..utils.events import Event, Timeline
from .answers import Answer, KnownRequest
from .attempts import (
    UNKNOWN_RETRY_S,
    Attempt,
    make_duplicate_failure,
    make_unknown_result,
)
from .ownership import OwnedElsewhere
from .pending import make_not_run_result

LOST_PEER_TIMEOUT_S = 0.5
"""Timeout for an owner whose heartbeats are missing; a round trip takes
milliseconds."""


class AnswerRequest(Protocol):
    """The function by which this gateway answers a request itself."""

    def __call__(
        self, service: str, req: ServiceRequest, *, relayed: bool
    ) -> Awaitable[Answer]:
        """Return the answer; a relayed request is not relayed again."""


class RequestRelay:
    """Relay requests to other gateways, and answer those relayed to this one."""

    def __init__(
        self,
        *,
        answer: AnswerRequest,
        membership: Membership,
        fabric: Fabric,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        """Answer the requests relayed to this gateway with ``answer``."""
        self._answer = answer
        self._membership = membership
        self._fabric = fabric
        self._clock = clock
        self._timeline = timeline
        fabric.handle(RelayRequest, self._answer_relay)
        fabric.handle(ReadClock, self._answer_clock)

    async def relay(
        self, attempt: Attempt, owner: OwnedElsewhere, known: KnownRequest
    ) -> Answer:
        """Return the owner's answer, or what is known if it does not answer."""
        request_id = attempt.request_id
        if owner.digest not in (None, attempt.digest):
            return make_duplicate_failure()
        peer = self._find_gateway(owner.owner)
        if peer is None or attempt.relayed:
            reason = "the id's gateway is no longer known; the id can no longer run"
            return _make_not_relayed_result(
                attempt, owner, PeerUnreachable(reason=reason)
            )
        address = peer.heartbeat.identity.address
        # The deadline is sent in the owner's clock, which is therefore read first:
        # a request delayed on its way must not run after its caller was answered.
        # By then the caller may have been told "not run" by the owner itself, and
        # have sent the request again with another id.
        left_s = attempt.deadline - self._clock.read_monotonic()
        if peer.lost:
            # The owner may be reachable again after a partition, so it is asked,
            # but with a shorter timeout than the caller's deadline.
            left_s = min(left_s, LOST_PEER_TIMEOUT_S)
        clock = await self._fabric.ask(address, ReadClock(), timeout_s=max(0, left_s))
        if not isinstance(clock, ClockReply):
            return _make_not_relayed_result(attempt, owner, _make_no_reply_failure())
        known.dispatched = True
        left_s = attempt.deadline - self._clock.read_monotonic()
        self._timeline.record(Event.REQUEST_RELAYED, request=request_id, owner=address)
        reply = await self._fabric.ask(
            address,
            RelayRequest(
                service=attempt.service,
                request=encode_json(attempt.request),
                expires_at=clock.now_s + left_s,
            ),
            timeout_s=max(0, left_s),
        )
        return _read_reply(request_id, reply)

    def _find_gateway(self, incarnation: str) -> Peer | None:
        matches = (
            peer
            for peer in self._membership.list_all()
            if peer.heartbeat.identity.incarnation == incarnation
        )
        return next(matches, None)

    async def _answer_relay(self, body: RelayRequest) -> AnyBody:
        req = decode_json(body.request, ServiceRequest)
        if isinstance(req, Failure):
            return Refused(failure=req)
        left_ms = int((body.expires_at - self._clock.read_monotonic()) * 1000)
        if left_ms < 1:
            reason = "the relayed request arrived after its deadline"
            return Refused(failure=DeadlineUnreachable(reason=reason))
        req = msgspec.structs.replace(req, deadline_ms=min(left_ms, req.deadline_ms))
        result = await self._answer(body.service, req, relayed=True)
        if isinstance(result, Failure):
            return Refused(failure=result)  # type: ignore[arg-type]
        return RelayReply(result=encode_json(result))

    async def _answer_clock(self, body: ReadClock) -> AnyBody:
        return ClockReply(now_s=self._clock.read_monotonic())


def _read_reply(request_id: str, reply: AnyBody | PeerUnreachable) -> Answer:
    if isinstance(reply, RelayReply):
        result = decode_json(reply.result, RequestResult)
        if isinstance(result, RequestResult):
            return result
        return make_unknown_result(request_id, result)
    if isinstance(reply, Refused) and isinstance(
        reply.failure, DuplicateId | InvalidValue
    ):
        return reply.failure
    return _make_no_reply_result(request_id)


def _make_no_reply_result(request_id: str) -> RequestResult:
    return make_unknown_result(request_id, _make_no_reply_failure())


def _make_no_reply_failure() -> PeerUnreachable:
    reason = "the gateway that owns the id does not answer"
    return PeerUnreachable(reason=reason, retry_after_s=UNKNOWN_RETRY_S)


def _make_not_relayed_result(
    attempt: Attempt, owner: OwnedElsewhere, failure: PeerUnreachable
) -> RequestResult:
    # The caller states that the request was never sent before, and it was not
    # relayed from here, so it cannot have run.
    if attempt.is_first_attempt and owner.digest is None:
        return make_not_run_result(attempt.request_id, failure)
    return make_unknown_result(attempt.request_id, failure)
