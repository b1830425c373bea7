"""A small blocking client of the HTTP interface.

The client retries only a call that certainly did not run, or that may run twice:

- if it cannot connect, it sends the call to the next gateway;
- if the call is rejected with a retry time, it sends the call again then, within
  the deadline and under the same id;
- if the call was sent and no reply came, it sends the call again, under the same
  id, only if the request is idempotent; otherwise the outcome is "unknown".
"""

import dataclasses
import itertools
import json
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import quote, urlencode

from .cli.calls import Reply, call_json
from .exceptions import NotSent, SentUnanswered

REPLY_GRACE_S = 2.0
"""Seconds after a deadline within which the gateway's final reply may arrive."""

RETRY_PAUSE_S = 0.2
"""Seconds between two rounds over gateways of which none replied."""

CALL_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """The outcome of a request, or of a call about a job.

    ``outcome`` is "done", "failed", "not_run" or "unknown". For a call about a job
    it describes the call, not the job. ``failure`` is the typed reason.
    """

    outcome: str
    body: Any = None
    failure: Mapping[str, Any] | None = None
    id: str = ""


class Client:
    """Make callers' and operators' calls through any of several gateways."""

    def __init__(
        self,
        gateways: Sequence[str],
        *,
        token: str = "",
        sleep: Callable[[float], None] = time.sleep,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Use ``gateways`` (``ip:port``) in order, the next one after a failure."""
        if not gateways:
            raise ValueError("at least one gateway is needed")
        self._gateways = itertools.cycle(tuple(gateways))
        self._count = len(gateways)
        self._gateway = next(self._gateways)
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._sleep = sleep
        self._read_clock = read_clock

    def request(
        self,
        service: str,
        body: Any,
        *,
        organisation: str,
        deadline_s: float = 5.0,
        urgency: str = "normal",
        idempotent: bool = False,
        labels: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send one request and return its outcome, within the deadline."""
        deadline = self._read_clock() + deadline_s
        request_id = uuid.uuid4().hex
        if not idempotent:
            ticket = self._call("POST", "/v1/tickets", {}, deadline, resend=True)
            if ticket.outcome != "done":
                # Without a ticket, nothing was sent to the service.
                return dataclasses.replace(ticket, outcome="not_run")
            request_id = ticket.body["ids"][0]
        message = {
            "id": request_id,
            "organisation": organisation,
            "urgency": urgency,
            "idempotent": idempotent,
            "labels": dict(labels or {}),
            "body": body,
        }
        path = f"/v1/services/{quote(service)}/requests"
        answer = self._call("POST", path, message, deadline, resend=idempotent)
        return dataclasses.replace(answer, id=request_id)

    def submit(self, spec: Mapping[str, Any]) -> Answer:
        """Submit a job; repeating this with the same id is harmless."""
        return self._call(
            "POST", "/v1/jobs", dict(spec), self._default_deadline(), resend=True
        )

    def find(self, job: str) -> Answer:
        """Return a job's state."""
        return self._call(
            "GET", f"/v1/jobs/{quote(job)}", None, self._default_deadline(), resend=True
        )

    def list_jobs(self, *, organisation: str = "", state: str = "") -> Answer:
        """List all jobs, or those of one organisation or state."""
        query = urlencode({"organisation": organisation, "state": state})
        return self._call(
            "GET", f"/v1/jobs?{query}", None, self._default_deadline(), resend=True
        )

    def cancel(self, job: str) -> Answer:
        """Request a job's cancellation; repeating this is harmless."""
        return self._call(
            "DELETE",
            f"/v1/jobs/{quote(job)}",
            None,
            self._default_deadline(),
            resend=True,
        )

    def _default_deadline(self) -> float:
        return self._read_clock() + CALL_TIMEOUT_S

    def _call(
        self, method: str, path: str, body: Any, deadline: float, *, resend: bool
    ) -> Answer:
        """Call until there is a final answer or the deadline has passed."""
        failed_calls = 0
        may_have_run = False
        while True:
            remaining_s = deadline - self._read_clock()
            if remaining_s <= 0:
                return _give_up(may_have_run)
            reply = self._send(method, path, body, remaining_s)
            if isinstance(reply, Reply):
                answer = _read_answer(reply)
                delay_s = _read_retry_delay(answer)
                if delay_s is None or self._read_clock() + delay_s >= deadline:
                    if may_have_run and answer.outcome == "not_run":
                        return dataclasses.replace(answer, outcome="unknown")
                    return answer
                self._sleep(delay_s)
                continue
            self._gateway = next(self._gateways)
            if isinstance(reply, SentUnanswered):
                may_have_run = True
                if not resend:
                    return _give_up(may_have_run, reply.reason)
            failed_calls += 1
            if failed_calls % self._count == 0:
                self._sleep(RETRY_PAUSE_S)

    def _send(
        self, method: str, path: str, body: Any, remaining_s: float
    ) -> Reply | NotSent | SentUnanswered:
        if isinstance(body, dict) and "idempotent" in body:
            body = {**body, "deadline_ms": max(1, int(remaining_s * 1000))}
        return call_json(
            self._gateway,
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers=self._headers,
            timeout_s=remaining_s + REPLY_GRACE_S,
        )


def _give_up(may_have_run: bool, reason: str = "the deadline is over") -> Answer:
    kind = "sent_unanswered" if may_have_run else "not_sent"
    outcome = "unknown" if may_have_run else "not_run"
    return Answer(outcome, failure={"type": kind, "reason": reason})


def _read_answer(reply: Reply) -> Answer:
    body = reply.body
    if isinstance(body, dict) and "outcome" in body and "spec" not in body:
        return Answer(body["outcome"], body.get("body"), body.get("failure"))
    if reply.status < 400:
        return Answer("done", body)
    uncertain = isinstance(body, dict) and body.get("type") == "store_uncertain"
    return Answer("unknown" if uncertain else "not_run", failure=body)


def _read_retry_delay(answer: Answer) -> float | None:
    """Return the seconds until a rejected call may be retried, or None."""
    if answer.outcome != "not_run" or not answer.failure:
        return None
    delay_s = answer.failure.get("retry_after_s")
    return float(delay_s) if delay_s else None
