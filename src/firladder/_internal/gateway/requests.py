"""Answer callers' requests, each run by the gateway that owns its id."""

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
from ..utils.identifiers import digest_bytes
from ..utils.tasks import TaskSet
from .answers import Answer, AnswerCache, KnownRequest
from .attempts import (
    UNKNOWN_RETRY_S,
    Attempt,
    make_duplicate_failure,
    make_forgotten_result,
    make_late_result,
    make_not_ready_result,
    make_owner_unknown_result,
)
from .dispatch import Dispatcher
from .ownership import (
    OutcomeForgotten,
    OwnedElsewhere,
    OwnedHere,
    OwnerUnknown,
    RequestIdRegistry,
    Unowned,
)
from .pending import PendingRequest, make_not_run_result
from .relaying import RequestRelay

DRAIN_POLL_S = 0.02

SETTLE_ITERATIONS = 8
"""Iterations of the event loop after which a result has reached its waiter."""

SERVICE_PATTERN = r"[a-z0-9][a-z0-9.-]{0,63}"
"""Valid names of services; the name becomes part of a target's URL."""

T = TypeVar("T", bound=Answer)


class RequestHandler:
    """Handle the requests that callers send to this gateway."""

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
        """Answer callers, and the gateways that relay requests to this one."""
        self._id_registry = id_registry
        self._dispatcher = dispatcher
        self._configuration = configuration
        self._clock = clock
        self._tasks = TaskSet()
        self._answers = AnswerCache(id_registry.record_forgotten)
        self._open_calls = 0
        self._relay = RequestRelay(
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
        disconnected: asyncio.Event | None = None,
    ) -> Answer:
        """Return the final answer, or why the request is invalid.

        ``disconnected`` is set when the caller disconnects.
        """
        if not self._configuration.loaded:
            return make_not_ready_result(req)
        failure = self._check(service, req)
        if failure is not None:
            return failure
        self._open_calls += 1
        try:
            attempt = self._read_attempt(
                service, req, relayed=relayed, disconnected=disconnected
            )
            if req.idempotent:
                return await self._answer_idempotent(attempt)
            return await self._answer_once(attempt)
        finally:
            self._open_calls -= 1

    def _check(self, service: str, req: ServiceRequest) -> Failure | None:
        if not re.fullmatch(SERVICE_PATTERN, service):
            return InvalidValue(reason="not a valid name of a service", field="service")
        if req.organisation not in self._configuration.current.organisations:
            return InvalidValue(
                reason=f"no organisation {req.organisation!r}", field="organisation"
            )
        if req.id is not None:
            return self._id_registry.check_id(req.id)
        if req.idempotent:
            return None
        reason = "a request that is not idempotent needs an id"
        return InvalidValue(reason=reason, field="id")

    def _read_attempt(
        self,
        service: str,
        req: ServiceRequest,
        *,
        relayed: bool,
        disconnected: asyncio.Event | None,
    ) -> Attempt:
        steering = find_steering(
            self._configuration.current,
            organisation=req.organisation,
            urgency=req.urgency,
            labels={**req.labels, "service": service},
        )
        # A retry differs in its deadline and attempt number. Only what the target
        # acts on makes it another request.
        content = (service, req.organisation, req.labels, req.body)
        return Attempt(
            service,
            req,
            req.id or self._id_registry.mint_ticket(),
            digest_bytes(encode_json(content)),
            steering,
            self._clock.read_monotonic() + req.deadline_ms / 1000,
            relayed,
            disconnected,
        )

    async def _answer_idempotent(self, attempt: Attempt) -> Answer:
        if self._answers.find(attempt.request_id) is not None:
            # The id belongs to a request that must run at most once. A retry
            # wrongly marked as idempotent must not run it again.
            return make_duplicate_failure()
        pending = self._submit(attempt)
        if isinstance(pending, Failure):
            return make_not_run_result(attempt.request_id, pending)
        disconnect_watcher = None
        if attempt.disconnected is not None:
            disconnect_watcher = self._tasks.spawn(
                self._end_when_disconnected(attempt.disconnected, pending),
                name="caller-gone",
            )
        try:
            result = await self._wait_until_deadline(pending.final, attempt)
        finally:
            if disconnect_watcher is not None:
                disconnect_watcher.cancel()
        return result or make_late_result(attempt)

    async def _end_when_disconnected(
        self, disconnected: asyncio.Event, pending: PendingRequest
    ) -> None:
        await disconnected.wait()
        self._dispatcher.end_queued(pending)

    async def _answer_once(self, attempt: Attempt) -> Answer:
        known = self._answers.find(attempt.request_id)
        if known is None:
            # Registered before the first await, so that of two copies that arrive
            # at the same time the second one finds the first.
            loop = asyncio.get_running_loop()
            known = KnownRequest(attempt.digest, loop.create_future())
            self._answers.register(attempt.request_id, known)
            self._tasks.spawn(self._resolve_and_store(attempt, known), name="request")
        if known.digest != attempt.digest:
            return make_duplicate_failure()
        # If the caller disconnects, the request continues and its answer is kept
        # for a retry with the same id.
        result = await self._wait_until_deadline(known.answer, attempt)
        if result is not None:
            return result
        if not known.dispatched and attempt.is_first_attempt:
            reason = "the deadline passed before the id was claimed"
            return make_not_run_result(
                attempt.request_id,
                DeadlineUnreachable(reason=reason, retry_after_s=UNKNOWN_RETRY_S),
            )
        return make_late_result(attempt)

    async def _wait_until_deadline(
        self, answer: "asyncio.Future[T]", attempt: Attempt
    ) -> T | None:
        left_s = attempt.deadline - self._clock.read_monotonic()
        await asyncio.wait({answer}, timeout=max(0.0, left_s))
        if not answer.done():
            # A request still queued at its deadline did not run. It is ended here,
            # so that its caller is answered "not run" rather than "unknown".
            self._dispatcher.expire_due(attempt.deadline)
            for _ in range(SETTLE_ITERATIONS):
                await asyncio.sleep(0)
        return answer.result() if answer.done() else None

    async def _resolve_and_store(self, attempt: Attempt, known: KnownRequest) -> None:
        answer, owned = await self._resolve(attempt, known)
        self._store_answer(attempt.request_id, answer, owned)
        known.answer.set_result(answer)

    def _store_answer(
        self, request_id: str, answer: Answer, owned: OwnedHere | None
    ) -> None:
        if isinstance(answer, Failure):
            self._answers.drop(request_id)
        elif answer.outcome in ("done", "failed"):
            self._answers.keep(request_id, answer)
        elif owned is None:
            # Not owned by this gateway: determine the owner again at a retry.
            self._answers.drop(request_id)
        elif answer.outcome == "not_run":
            self._id_registry.record_not_run(request_id, owned)
            self._answers.drop(request_id)
        else:
            self._answers.keep(request_id, answer)

    async def _resolve(
        self, attempt: Attempt, known: KnownRequest
    ) -> tuple[Answer, OwnedHere | None]:
        request_id = attempt.request_id
        now = self._clock.read_monotonic()
        refusal = self._dispatcher.check(
            attempt.service, attempt.steering, attempt.deadline
        )
        if refusal is not None and attempt.is_first_attempt:
            return make_not_run_result(request_id, refusal), None
        # The owner is determined before a retry is refused: an earlier attempt may
        # have run on another gateway, and "not run" would be wrong.
        owner = (
            await self._id_registry.find_owner(request_id, attempt.digest, now)
            if refusal is None
            else await self._id_registry.look_up(request_id, now)
        )
        if isinstance(owner, OwnedElsewhere):
            return await self._relay.relay(attempt, owner, known), None
        if isinstance(owner, OutcomeForgotten):
            return make_forgotten_result(attempt, owner), None
        if isinstance(owner, OwnerUnknown):
            return make_owner_unknown_result(attempt, owner), None
        if refusal is not None:
            owned = owner if isinstance(owner, OwnedHere) else None
            return make_not_run_result(request_id, refusal), owned
        assert not isinstance(owner, Unowned)
        return await self._run(attempt, owner, known), owner

    async def _run(
        self, attempt: Attempt, owner: OwnedHere, known: KnownRequest
    ) -> RequestResult:
        if attempt.disconnected is not None and attempt.disconnected.is_set():
            # The request may have been read late, after a pause of this process.
            # Its caller may have retried elsewhere and been answered "not run".
            reason = "the caller disconnected before the request was queued"
            return make_not_run_result(
                attempt.request_id, DeadlineUnreachable(reason=reason)
            )
        pending = self._submit(attempt)
        if isinstance(pending, Failure):
            return make_not_run_result(attempt.request_id, pending)
        known.dispatched = True
        self._id_registry.record_started(attempt.request_id)
        return await pending.final

    def _submit(self, attempt: Attempt) -> PendingRequest | Failure:
        return self._dispatcher.submit(
            attempt.service,
            attempt.request,
            attempt.steering,
            request_id=attempt.request_id,
            deadline=attempt.deadline,
        )

    async def drain(self) -> None:
        """Wait until every caller has been answered."""
        while self._open_calls:
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Cancel the requests still in progress."""
        await self._tasks.close()
