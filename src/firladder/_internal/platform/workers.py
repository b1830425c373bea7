"""Calls to workers: start and stop runs, and poll their state."""

import logging
from typing import Any, cast

import msgspec

from ..exceptions import (
    FencedOff,
    OrderFailure,
    OrderRejected,
    SentUnanswered,
    WorkerRefused,
    WorkerReplaced,
    WorkerRestarted,
)
from ..models.order import (
    EndedTask,
    Ending,
    Rejection,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskId,
    WorkerReport,
)
from ..network.http_client import HttpClient, HttpResponse
from ..utils.codec import encode_json

logger = logging.getLogger(__name__)

MAX_WAIT_S = 2.0
"""Time that a worker waits at most for a run to end before it answers a poll."""

MAX_ENDS_LISTED = 500
"""Ended runs that a worker lists at most; further ones follow once these are
acknowledged."""

_REJECTIONS: dict[str, Rejection] = {
    "fence": "fenced",
    "old": "superseded",
    "late": "too_late",
    "room": "no_room",
    "ticket": "ticket",
}


class _OrderReply(msgspec.Struct):
    clock_ms: float
    reason: str = ""
    born: int = 0


class _PollReply(msgspec.Struct):
    clock_ms: float
    # Rows: task, run, checkpoint, progress in per cent, usage (optional).
    running: list[list[Any]] = []
    # Rows: sequence number, task, run, ending, checkpoint.
    ended: list[list[Any]] = []
    born: int = 0


def format_task(task: TaskId) -> str:
    """Return a task's wire name."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskId | None:
    """Return the task with a wire name, or None if the name has another form."""
    parts = name.split(".")
    if len(parts) != 4 or not all(p.isdigit() for p in parts[1:]):
        return None
    return TaskId(parts[0], *map(int, parts[1:]))


class WorkerCalls:
    """Send calls to workers under one fencing token."""

    def __init__(self, *, http: HttpClient, token: int) -> None:
        """Put ``token`` into every call."""
        self._http = http
        self.token = token
        self.calls = 0

    async def start(
        self,
        order: StartOrder,
        *,
        deadline_s: float,
        send_within_s: float,
        timeout_s: float,
    ) -> float | OrderFailure:
        """Start a run; return the worker's clock in seconds.

        ``deadline_s`` is the time on that clock at which the lease of all runs on
        the worker expires. The response may take ``timeout_s``; an order that
        gets no connection within ``send_within_s`` is not sent.
        """
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": int(deadline_s * 1000),
            "fencing_token": self.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(order, "/-/run-start", body, send_within_s, timeout_s)

    async def stop(
        self, order: StopOrder, *, send_within_s: float, timeout_s: float
    ) -> float | OrderFailure:
        """Stop a run; if the worker doesn't know it, it rejects a later start of it."""
        body = {
            "task": format_task(order.task),
            "run": order.run,
            "fencing_token": self.token,
        }
        return await self._order(order, "/-/run-stop", body, send_within_s, timeout_s)

    async def poll(
        self,
        worker_id: str,
        address: str,
        *,
        born: int,
        acknowledged: int,
        deadline_s: float | None,
        wait_s: float,
        send_within_s: float,
        timeout_s: float,
    ) -> WorkerReport | OrderFailure:
        """Return all active and ended runs, waiting up to ``wait_s`` for an end.

        The worker discards ended runs up to sequence number ``acknowledged``. A
        ``deadline_s`` on the worker's clock extends the lease of all runs there.
        ``born`` names the incarnation that is meant, or is 0.
        """
        body: dict[str, Any] = {"fencing_token": self.token, "last_seen": acknowledged}
        if deadline_s is not None:
            body["deadline_ms"] = int(deadline_s * 1000)
        if wait_s:
            body["wait_ms"] = int(min(wait_s, MAX_WAIT_S) * 1000)
        response = await self._call(
            worker_id,
            address,
            "/-/hold",
            body,
            timeout_s,
            send_within_s=send_within_s,
        )
        if not isinstance(response, HttpResponse):
            return response
        try:
            wire = msgspec.json.decode(response.body, type=_PollReply)
            other = _find_other_life(born, wire.born)
            if other is not None:
                return other
            return WorkerReport(
                wire.clock_ms / 1000,
                tuple(filter(None, map(_convert_running, wire.running))),
                tuple(filter(None, map(_convert_ended, wire.ended))),
                complete=len(wire.ended) < MAX_ENDS_LISTED,
                born=wire.born,
            )
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            logger.warning("worker %s: cannot decode report: %s", worker_id, error)
            return SentUnanswered(reason=f"cannot decode report: {error}")

    async def _order(
        self,
        order: StartOrder | StopOrder,
        path: str,
        body: dict[str, Any],
        send_within_s: float,
        timeout_s: float,
    ) -> float | OrderFailure:
        response = await self._call(
            order.worker_id,
            order.address,
            path,
            body,
            timeout_s,
            send_within_s=send_within_s,
        )
        if not isinstance(response, HttpResponse):
            return response
        try:
            reply = msgspec.json.decode(response.body, type=_OrderReply)
            other = _find_other_life(order.born, reply.born)
            return reply.clock_ms / 1000 if other is None else other
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning(
                "worker %s: cannot decode response: %s", order.worker_id, error
            )
            return SentUnanswered(reason=f"cannot decode response: {error}")

    async def _call(
        self,
        worker_id: str,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        *,
        send_within_s: float | None = None,
    ) -> HttpResponse | OrderFailure:
        self.calls += 1
        response = await self._http.call(
            "POST",
            f"http://{address}{path}",
            body=encode_json(body),
            headers={"X-Target-Instance": worker_id},
            timeout_s=timeout_s,
            send_within_s=send_within_s,
            kind=_choose_kind(path, body),
        )
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 200:
            return response
        return _classify_refusal(response)


def _find_other_life(meant: int, answered: int) -> WorkerRestarted | None:
    """Return the failure if another incarnation answered than the one meant."""
    if not meant or not answered or meant == answered:
        return None
    return WorkerRestarted(reason="started again under its id", born=answered)


def _choose_kind(path: str, body: dict[str, Any]) -> str:
    kind = path.rpartition("/")[2]
    return f"{kind} waiting" if "wait_ms" in body else kind


def _classify_refusal(response: HttpResponse) -> OrderFailure:
    if response.status == 421:
        return WorkerReplaced(reason="another incarnation answers at this address")
    if response.status in (429, 503):
        return WorkerRefused(reason=f"refused with status {response.status}")
    try:
        reason = msgspec.json.decode(response.body, type=_OrderReply).reason
    except (msgspec.DecodeError, UnicodeDecodeError):
        reason = ""
    rejection = _REJECTIONS.get(reason, "other")
    if response.status == 409 and rejection == "fenced":
        return FencedOff(reason="the worker knows a higher fencing token")
    if response.status in (400, 404, 409):
        return OrderRejected(reason=f"{response.status} {reason}", rejection=rejection)
    return SentUnanswered(reason=f"unexpected status {response.status}")


def _convert_running(row: list[Any]) -> RunningTask | None:
    task = parse_task(str(row[0])) if len(row) >= 4 else None
    if task is None:
        return None
    return RunningTask(task, int(row[1]), str(row[2] or ""), float(row[3]))


def _convert_ended(row: list[Any]) -> EndedTask | None:
    task = parse_task(str(row[1])) if len(row) >= 5 else None
    if task is None:
        return None
    ending = cast(Ending, str(row[3]))
    return EndedTask(int(row[0]), task, int(row[2]), ending, str(row[4] or ""))
