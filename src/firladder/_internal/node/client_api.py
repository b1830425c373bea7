"""Serve clients: submit a job, read its state, cancel it, count a queue's jobs."""

import logging
import re
from typing import TYPE_CHECKING, Any

from ..engine.progress import encode_accepted
from ..engine.state import TERMINAL, JobState
from ..exceptions import (
    AdviceUnavailable,
    Draining,
    Failure,
    InvalidValue,
    MethodNotAllowed,
    NotFound,
    NotReady,
    OutcomeUnknown,
    UnknownKey,
)
from ..models.message import (
    AnnounceCancel,
    AnnounceJob,
    AskJob,
    AskPending,
    JobReply,
    PendingReply,
)
from ..models.workload import AcceptedJob, Organisation, Queue
from ..network.http_server import (
    Handler,
    HttpCall,
    HttpReply,
    reply_failure,
    reply_json,
)
from ..platform.store import CALL_TIMEOUT_S
from ..platform.submissions import decode_submission
from ..utils.events import Event
from .keys import CANCELS, JOBS
from .records import Records, Stored

if TYPE_CHECKING:
    from .daemon import Node

logger = logging.getLogger(__name__)

JOB_ID = re.compile(r"[0-9a-f]{16}\Z")

DEFAULT_DEADLINE_S = 2.5
"""Deadline of a call that states none, in seconds."""

ANSWER_MARGIN_S = 0.2
"""Seconds before a caller's deadline by which it is answered: covers the network and
delays of a busy process."""

MAX_MARGIN_SHARE = 0.35
"""Maximum share of a deadline that this margin takes. A caller's last attempt has a
tenth of a second left, several times what the store takes to answer."""

LEADER_TIMEOUT_S = 0.25
"""Timeout of a query to the leader, in seconds; it answers from memory."""

MIN_READ_TIMEOUT_S = 0.05
"""Minimum timeout of a read for a caller, in seconds; the store answers in 4 ms."""

MAX_CACHED_OUTCOMES = 5000
"""Final job states cached; they never change, and clients ask for them repeatedly."""

RETRY_AFTER_S = 1.0
"""Seconds after which callers should retry when this node cannot serve them."""

ADVICE_RETRY_AFTER_S = 2.0
"""Seconds after which callers of a queue without advice should retry: the service is
asked again after as long at most."""


class ClientApi:
    """Handlers of client calls; durable state is kept in the store."""

    def __init__(self, node: "Node", records: Records) -> None:
        """Serve the clients of ``node``."""
        self._node = node
        self._records = records
        self._outcomes: dict[str, JobState] = {}
        self.counts: dict[tuple[str, int], int] = {}

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]] | Failure:
        """Return the handler of a client call; there is one for all paths."""
        if method not in ("GET", "POST", "DELETE"):
            return MethodNotAllowed(reason="use GET, POST or DELETE", field="method")
        return _answer_call, {}

    async def answer(self, call: HttpCall) -> HttpReply:
        """Answer a call and record it in the metrics."""
        started_at = self._node.clock.read_monotonic()
        reply = await self._answer(call, started_at)
        spent_s = self._node.clock.read_monotonic() - started_at
        self._node.record_call(call.method, reply.status, spent_s)
        return reply

    async def _answer(self, call: HttpCall, started_at: float) -> HttpReply:
        configuration = self._node.configuration
        if not configuration.version:
            return reply_failure(
                NotReady(
                    reason="no configuration is known yet", retry_after_s=RETRY_AFTER_S
                )
            )
        queue = configuration.find_queue(call.headers.get("host", ""), call.path)
        if queue is None:
            unknown = NotFound(
                reason="no queue serves this host and path", field="path"
            )
            return self._reject(call, unknown, status=404)
        organisation = Organisation("")
        if not queue.public:
            known = configuration.find_organisation(
                call.headers.get("authorization", "")
            )
            if known is None:
                unknown_key = UnknownKey(reason="the key belongs to no organisation")
                return self._reject(call, unknown_key, status=401)
            organisation = known
        job_id = call.path[len(queue.prefix) :]
        if not job_id and call.method == "GET":
            return await self._count_pending(queue)
        if not JOB_ID.match(job_id):
            return reply_failure(
                InvalidValue(reason="must be 16 hexadecimal digits", field="id")
            )
        deadline_s = _read_deadline(call)
        until = (
            started_at
            + deadline_s
            - min(ANSWER_MARGIN_S, deadline_s * MAX_MARGIN_SHARE)
        )
        if call.method == "POST":
            return await self._submit(call, queue, organisation, job_id, until)
        if call.method == "DELETE":
            return await self._cancel(job_id, until)
        return await self._report_state(job_id)

    def _reject(self, call: HttpCall, failure: Failure, *, status: int) -> HttpReply:
        configuration = self._node.configuration
        confirmed_s = self._node.measure_confirmation_age()
        self._node.timeline.record(
            Event.CALL_REJECTED,
            request=call.headers.get("request-id", ""),
            method=call.method,
            path=call.path,
            status=status,
            configuration=configuration.version,
            source=configuration.source,
            heard=configuration.newest_known_version,
            confirmed_s=None if confirmed_s is None else round(confirmed_s, 3),
        )
        return reply_failure(failure)

    async def _submit(
        self,
        call: HttpCall,
        queue: Queue,
        organisation: Organisation,
        job_id: str,
        until: float,
    ) -> HttpReply:
        workload = decode_submission(call.body)
        if isinstance(workload, Failure):
            return reply_failure(workload)
        if self._node.leaving:
            stopping = Draining(
                reason="this node is stopping", retry_after_s=RETRY_AFTER_S
            )
            return await self._refuse_unless_stored(job_id, stopping, until)
        if queue.advice is not None:
            lacking = self._find_missing_advice()
            if lacking is not None:
                return await self._refuse_unless_stored(job_id, lacking, until)
        accepted = AcceptedJob(
            job_id,
            queue.name,
            organisation.name,
            queue.pool,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.slo_s,
            self._node.clock.read_wall(),
            workload,
        )
        record = encode_accepted(accepted)
        result = await self._records.create(JOBS + job_id, record, until=until)
        self._node.timeline.record(
            Event.SUBMISSION_ANSWERED,
            job=job_id,
            queue=queue.name,
            organisation=organisation.name,
            configuration=self._node.configuration.version,
            outcome=type(result).__name__,
            took_s=round(self._node.clock.read_wall() - accepted.accepted_at_s, 3),
        )
        if not isinstance(result, Stored):
            return reply_failure(result)
        if result.created:
            self._node.announce(AnnounceJob(record=record))
        return reply_json({})

    def _find_missing_advice(self) -> AdviceUnavailable | None:
        """Return why a queue that needs advice takes no new job, or None."""
        if not self._node.settings.advice_address:
            reason = "no advice service is configured"
        elif self._node.fleet.advice_unavailable:
            reason = "the advice service does not answer"
        else:
            return None
        return AdviceUnavailable(reason=reason, retry_after_s=ADVICE_RETRY_AFTER_S)

    async def _refuse_unless_stored(
        self, job_id: str, failure: Failure, until: float
    ) -> HttpReply:
        """Answer with ``failure``, or as accepted if an earlier call was accepted.

        A refusal says that the job does not run, so the store is read first.
        """
        left_s = until - self._node.clock.read_monotonic()
        timeout_s = max(MIN_READ_TIMEOUT_S, min(CALL_TIMEOUT_S, left_s))
        stored = await self._records.exists(job_id, timeout_s=timeout_s)
        outcome = failure if stored is False else stored
        self._node.timeline.record(
            Event.SUBMISSION_ANSWERED,
            job=job_id,
            configuration=self._node.configuration.version,
            outcome="Stored" if outcome is True else type(outcome).__name__,
        )
        return (
            reply_failure(outcome) if isinstance(outcome, Failure) else reply_json({})
        )

    async def _cancel(self, job_id: str, until: float) -> HttpReply:
        found = await self._find_state(job_id)
        if isinstance(found, Failure):
            return reply_failure(found)
        result = await self._records.create(CANCELS + job_id, b"1", until=until)
        self._node.timeline.record(
            Event.CANCELLATION_ANSWERED, job=job_id, outcome=type(result).__name__
        )
        if not isinstance(result, Stored):
            return reply_failure(result)
        await self._node.announce_now(AnnounceCancel(job_id=job_id))
        return reply_json({})

    async def _report_state(self, job_id: str) -> HttpReply:
        state = await self._find_state(job_id)
        if isinstance(state, Failure):
            return reply_failure(state)
        return reply_json({"state": state.value})

    async def _find_state(self, job_id: str) -> JobState | Failure:
        known = self._outcomes.get(job_id)
        if known is not None:
            return known
        state = await self._ask_leader(job_id)
        if state is None:
            found = await self._records.read_state(job_id)
            if isinstance(found, Failure):
                self._node.timeline.record(
                    Event.JOB_STATE_UNKNOWN,
                    job=job_id,
                    leader=self._node.fleet.leader_ip,
                    outcome=type(found).__name__,
                    reason=found.reason,
                )
                return found
            state = found
        if state in TERMINAL:
            if len(self._outcomes) >= MAX_CACHED_OUTCOMES:
                self._outcomes.clear()
            self._outcomes[job_id] = state
        return state

    async def _ask_leader(self, job_id: str) -> JobState | None:
        term = self._node.term
        if term is not None and term.ready:
            return term.core.read_state(job_id)
        reply = await self._node.fleet.ask_leader(
            AskJob(job_id=job_id), timeout_s=LEADER_TIMEOUT_S
        )
        if isinstance(reply, JobReply) and reply.state:
            return JobState(reply.state)
        return None

    async def _count_pending(self, queue: Queue) -> HttpReply:
        term = self._node.term
        if term is not None and term.ready:
            return reply_json({"pending": term.core.count_pending(queue.name)})
        reply = await self._node.fleet.ask_leader(
            AskPending(queue=queue.name), timeout_s=2 * LEADER_TIMEOUT_S
        )
        if isinstance(reply, PendingReply):
            return reply_json({"pending": reply.count})
        return reply_failure(
            OutcomeUnknown(
                reason="no leader answers at the moment", retry_after_s=RETRY_AFTER_S
            )
        )


def _read_deadline(call: HttpCall) -> float:
    raw = call.headers.get("x-deadline-ms", "")
    try:
        return float(raw) / 1000 if raw else DEFAULT_DEADLINE_S
    except ValueError:
        return DEFAULT_DEADLINE_S


async def _answer_call(app: Any, call: HttpCall) -> HttpReply:
    client_api: ClientApi = app.client_api
    return await client_api.answer(call)
