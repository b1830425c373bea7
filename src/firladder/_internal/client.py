"""A small blocking client of the HTTP interface, with truthful retries.

What is sent again is only what has certainly not run, or may run twice:

- a call that could not be connected goes to the next gateway;
- a refusal with a time to come back is repeated then, within the deadline, under
  the same id;
- a call that was sent and not answered is repeated, under the same id, only if
  the request is idempotent; otherwise its outcome is "unknown".
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
"""Seconds past a deadline that the gateway's own last answer may take."""

PAUSE_S = 0.2
"""Seconds between rounds over gateways none of which can be reached."""

CALL_S = 10.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """What became of a request, or of a call about a job.

    ``outcome`` is "done", "failed", "not_run" or "unknown"; of a call about a job
    it tells of the call, not of the job. ``failure`` is the typed reason.
    """

    outcome: str
    body: Any = None
    failure: Mapping[str, Any] | None = None
    id: str = ""


class Client:
    """Callers' and operators' calls through any of several gateways."""

    def __init__(
        self,
        gateways: Sequence[str],
        *,
        token: str = "",
        sleep: Callable[[float], None] = time.sleep,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Use ``gateways`` (``ip:port``) in their order, the next one after a fault."""
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
        """Send one request and return what became of it, within the deadline."""
        ends_at = self._read_clock() + deadline_s
        request_id = uuid.uuid4().hex
        if not idempotent:
            ticket = self._call("POST", "/v1/tickets", {}, ends_at, resend=True)
            if ticket.outcome != "done":
                # Nothing was asked of the service yet.
                return dataclasses.replace(ticket, outcome="not_run")
            request_id = ticket.body["ids"][0]
        req = {
            "id": request_id,
            "organisation": organisation,
            "urgency": urgency,
            "idempotent": idempotent,
            "labels": dict(labels or {}),
            "body": body,
        }
        path = f"/v1/services/{quote(service)}/requests"
        answer = self._call("POST", path, req, ends_at, resend=idempotent)
        return dataclasses.replace(answer, id=request_id)

    def submit(self, spec: Mapping[str, Any]) -> Answer:
        """Submit a job; its id makes a repetition harmless."""
        return self._call("POST", "/v1/jobs", dict(spec), self._end(), resend=True)

    def find(self, job: str) -> Answer:
        """Look a job up."""
        return self._call(
            "GET", f"/v1/jobs/{quote(job)}", None, self._end(), resend=True
        )

    def list_jobs(self, *, organisation: str = "", state: str = "") -> Answer:
        """List jobs, of one organisation or state, or all."""
        query = urlencode({"organisation": organisation, "state": state})
        return self._call("GET", f"/v1/jobs?{query}", None, self._end(), resend=True)

    def cancel(self, job: str) -> Answer:
        """Ask for a job's end; asking twice does no harm."""
        return self._call(
            "DELETE", f"/v1/jobs/{quote(job)}", None, self._end(), resend=True
        )

    def _end(self) -> float:
        return self._read_clock() + CALL_S

    def _call(
        self, method: str, path: str, body: Any, ends_at: float, *, resend: bool
    ) -> Answer:
        """Call until there is a final answer or the time is over."""
        unreached = 0
        in_doubt = False
        while True:
            left_s = ends_at - self._read_clock()
            if left_s <= 0:
                return _give_up(in_doubt)
            found = self._send(method, path, body, left_s)
            if isinstance(found, Reply):
                answer = _read_answer(found)
                pause_s = _read_pause(answer)
                if pause_s is None or self._read_clock() + pause_s >= ends_at:
                    if in_doubt and answer.outcome == "not_run":
                        return dataclasses.replace(answer, outcome="unknown")
                    return answer
                self._sleep(pause_s)
                continue
            self._gateway = next(self._gateways)
            if isinstance(found, SentUnanswered):
                in_doubt = True
                if not resend:
                    return _give_up(in_doubt, found.reason)
            unreached += 1
            if unreached % self._count == 0:
                self._sleep(PAUSE_S)

    def _send(
        self, method: str, path: str, body: Any, left_s: float
    ) -> Reply | NotSent | SentUnanswered:
        if isinstance(body, dict) and "idempotent" in body:
            body = {**body, "deadline_ms": max(1, int(left_s * 1000))}
        return call_json(
            self._gateway,
            method,
            path,
            body=None if body is None else json.dumps(body).encode(),
            headers=self._headers,
            timeout_s=left_s + REPLY_GRACE_S,
        )


def _give_up(in_doubt: bool, reason: str = "the deadline is over") -> Answer:
    kind = "sent_unanswered" if in_doubt else "not_sent"
    outcome = "unknown" if in_doubt else "not_run"
    return Answer(outcome, failure={"type": kind, "reason": reason})


def _read_answer(reply: Reply) -> Answer:
    body = reply.body
    if isinstance(body, dict) and "outcome" in body and "spec" not in body:
        return Answer(body["outcome"], body.get("body"), body.get("failure"))
    if reply.status < 400:
        return Answer("done", body)
    uncertain = isinstance(body, dict) and body.get("type") == "store_uncertain"
    return Answer("unknown" if uncertain else "not_run", failure=body)


def _read_pause(answer: Answer) -> float | None:
    """Return the seconds after which a refusal may be asked again, if it may."""
    if answer.outcome != "not_run" or not answer.failure:
        return None
    pause_s = answer.failure.get("retry_after_s")
    return float(pause_s) if pause_s else None
