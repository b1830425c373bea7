"""Take a caller's request, find who may run its id, and answer truthfully."""

import asyncio
import re
from typing import TypeVar

from ..exceptions import (
    DeadlineUnreachable,
    Failure,
    InvalidValue,
)
from ..fleet.configuration import ConfigurationHolder
from ..fleet.membership import Membership
from ..models.request import RequestResult, ServiceRequest
from ..network.fabric import Fabric
from ..policies.selectors import find_steering
from ..utils.clocks import Clock
from ..utils.codec import encode_json
from ..utils.events import Timeline
from ..utils.tasks import TaskSet
from ..utils.tokens import digest_bytes
from .answers import Answer, AnswerCache, KnownRequest
from .dispatch import Dispatcher
from .ownership import (
    Absent,
    OutcomeForgotten,
    OwnedElsewhere,
    OwnedHere,
    OwnerUnknown,
    RequestIdRegistry,
)
from .pending import Pending, refuse
from .relaying import Relays
from .tries import (
    ASK_AGAIN_S,
    Try,
    tell_duplicate,
    tell_late,
    tell_not_ready,
    tell_taken,
    tell_unclaimed,
)

DRAIN_POLL_S = 0.02

SETTLE_TURNS = 8
"""Turns of the event loop in which a result that is there reaches its caller."""

SERVICE_PATTERN = r"[a-z0-9][a-z0-9.-]{0,63}"
"""What a service may be called; its name becomes part of a target's URL."""

T = TypeVar("T", bound=Answer)


class RequestHandler:
    """All requests that callers brought to this gateway."""

    def __init__(
        self,
        *,
        id_registry: RequestIdRegistry,
        dispatcher: Dispatcher,
        configuration: ConfigurationHolder,
        membership: Membership,
        fabric: Fabric,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        """Answer callers, and gateways that relay to this one."""
        self._owners = id_registry
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._clock = clock
        self._tasks = TaskSet()
        self._memory = AnswerCache(id_registry.record_forgotten)
        self._callers = 0
        self._relays = Relays(
            answer=self.answer,
            membership=membership,
            fabric=fabric,
            clock=clock,
            timeline=timeline,
        )

    async def answer(
        self,
        service: str,
        req: ServiceRequest,
        *,
        relayed: bool = False,
        gone: asyncio.Event | None = None,
    ) -> Answer:
        """Return the final answer, or why the request is not a valid one.

        ``gone`` is set when the caller has left.
        """
        if not self._configuration.loaded:
            return tell_not_ready(req)
        failure = self._check(service, req)
        if failure is not None:
            return failure
        self._callers += 1
        try:
            current = self._read_try(service, req, relayed=relayed, gone=gone)
            if req.idempotent:
                return await self._answer_idempotent(current)
            return await self._answer_once(current)
        finally:
            self._callers -= 1

    def _check(self, service: str, req: ServiceRequest) -> Failure | None:
        if not re.fullmatch(SERVICE_PATTERN, service):
            return InvalidValue(reason="not a service's name", field="service")
        if req.organisation not in self._configuration.current.organisations:
            return InvalidValue(
                reason=f"no organisation {req.organisation!r}", field="organisation"
            )
        if req.id is not None:
            return self._owners.check_id(req.id)
        if req.idempotent:
            return None
        reason = "a request that is not idempotent needs an id"
        return InvalidValue(reason=reason, field="id")

    def _read_try(
        self,
        service: str,
        req: ServiceRequest,
        *,
        relayed: bool,
        gone: asyncio.Event | None,
    ) -> Try:
        steering = find_steering(
            self._configuration.current,
            organisation=req.organisation,
            urgency=req.urgency,
            labels={**req.labels, "service": service},
        )
        # A retry has less time left and may be marked as one: only what the
        # target would act on makes it another request.
        content = (service, req.organisation, req.labels, req.body)
        return Try(
            service,
            req,
            req.id or self._owners.mint_ticket(),
            digest_bytes(encode_json(content)),
            steering,
            self._clock.read_monotonic() + req.deadline_ms / 1000,
            relayed,
            gone,
        )

    async def _answer_idempotent(self, current: Try) -> Answer:
        if self._memory.find(current.request_id) is not None:
            # The id belongs to a request that must run once; a retry that
            # forgot to say so must not run it again.
            return tell_duplicate()
        pending = self._submit(current)
        if isinstance(pending, Failure):
            return refuse(current.request_id, pending)
        watch = None
        if current.gone is not None:
            watch = self._tasks.spawn(
                self._drop_when_gone(current.gone, pending), name="caller-gone"
            )
        try:
            result = await self._wait_until_due(pending.final, current)
        finally:
            if watch is not None:
                watch.cancel()
        return result or tell_late(current)

    async def _drop_when_gone(self, gone: asyncio.Event, pending: Pending) -> None:
        await gone.wait()
        self._dispatcher.drop(pending)

    async def _answer_once(self, current: Try) -> Answer:
        known = self._memory.find(current.request_id)
        if known is None:
            # Registered before the first await: two copies that arrive at the
            # same moment must meet here, not both go on.
            loop = asyncio.get_running_loop()
            known = KnownRequest(current.digest, loop.create_future())
            self._memory.register(current.request_id, known)
            self._tasks.spawn(self._decide_and_keep(current, known), name="request")
        if known.digest != current.digest:
            return tell_duplicate()
        # The caller may leave; the request goes on and its answer is kept for
        # the next try under the same id.
        result = await self._wait_until_due(known.answer, current)
        if result is not None:
            return result
        if not known.begun and current.is_first:
            reason = "the deadline passed before the id was claimed"
            return refuse(
                current.request_id,
                DeadlineUnreachable(reason=reason, retry_after_s=ASK_AGAIN_S),
            )
        return tell_late(current)

    async def _wait_until_due(
        self, answer: "asyncio.Future[T]", current: Try
    ) -> T | None:
        left_s = current.deadline - self._clock.read_monotonic()
        await asyncio.wait({answer}, timeout=max(0.0, left_s))
        if not answer.done():
            # What still waits in the queue now is "not run", and must be told
            # as that before the caller hears "unknown".
            self._dispatcher.expire_due(current.deadline)
            for _ in range(SETTLE_TURNS):
                await asyncio.sleep(0)
        return answer.result() if answer.done() else None

    async def _decide_and_keep(self, current: Try, known: KnownRequest) -> None:
        answer, ours = await self._decide(current, known)
        self._remember(current.request_id, answer, ours)
        known.answer.set_result(answer)

    def _remember(
        self, request_id: str, answer: Answer, ours: OwnedHere | None
    ) -> None:
        if isinstance(answer, Failure):
            self._memory.drop(request_id)
        elif answer.outcome in ("done", "failed"):
            self._memory.keep(request_id, answer)
        elif ours is None:
            # Another gateway's, or nobody's yet: ask again at the next try.
            self._memory.drop(request_id)
        elif answer.outcome == "not_run":
            self._owners.record_not_run(request_id, ours)
            self._memory.drop(request_id)
        else:
            self._memory.keep(request_id, answer)

    async def _decide(
        self, current: Try, known: KnownRequest
    ) -> tuple[Answer, OwnedHere | None]:
        request_id = current.request_id
        now = self._clock.read_monotonic()
        refusal = self._dispatcher.check(
            current.service, current.steering, current.deadline
        )
        if refusal is not None and current.is_first:
            return refuse(request_id, refusal), None
        # Who owns the id is found out before anything is refused: an earlier
        # try may have run elsewhere, and "not run" would be untrue.
        owner = (
            await self._owners.find_owner(request_id, current.digest, now)
            if refusal is None
            else await self._owners.look_up(request_id, now)
        )
        if isinstance(owner, OwnedElsewhere):
            return await self._relays.pass_on(current, owner, known), None
        if isinstance(owner, OutcomeForgotten):
            return tell_taken(current, owner), None
        if isinstance(owner, OwnerUnknown):
            return tell_unclaimed(current, owner), None
        if refusal is not None:
            ours = owner if isinstance(owner, OwnedHere) else None
            return refuse(request_id, refusal), ours
        assert not isinstance(owner, Absent)
        return await self._run(current, owner, known), owner

    async def _run(
        self, current: Try, owner: OwnedHere, known: KnownRequest
    ) -> RequestResult:
        if current.gone is not None and current.gone.is_set():
            # Read late, after a pause of this process perhaps: its caller has
            # turned elsewhere, and may have been told "not run" since.
            reason = "the caller left before the request was queued"
            return refuse(current.request_id, DeadlineUnreachable(reason=reason))
        pending = self._submit(current)
        if isinstance(pending, Failure):
            return refuse(current.request_id, pending)
        known.begun = True
        self._owners.record_started(current.request_id)
        return await pending.final

    def _submit(self, current: Try) -> Pending | Failure:
        return self._dispatcher.submit(
            current.service,
            current.request,
            current.steering,
            request_id=current.request_id,
            deadline=current.deadline,
        )

    async def drain(self) -> None:
        """Wait until every caller has an answer."""
        while self._callers:
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Give up what is still open."""
        await self._tasks.close()
