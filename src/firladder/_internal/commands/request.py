"""Send one request to a service through a gateway."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from ..cli.calls import Reply, call_gateway
from ..cli.client_settings import REQUEST_SETTINGS
from ..cli.exit_codes import EXIT_UNKNOWN, EXIT_USAGE, OUTCOME_EXIT_CODES
from ..cli.inputs import read_json
from ..cli.output import write_answer, write_failure, write_refusal
from ..exceptions import NotSent, SentUnanswered
from ..utils.settings import ResolvedSetting
from .registry import Command

REPLY_GRACE_S = 2.0
"""Seconds after the deadline within which the gateway's final reply may arrive."""


class RequestCommand(Command):
    """Send a request and say truthfully what became of it."""

    name = "request"
    usage = "SERVICE [BODY.json | -]"
    settings = REQUEST_SETTINGS
    examples = (
        "firladder request planwerk week.json --organisation=kraftwerk "
        "--urgency=urgent",
        "echo '{\"athlete\": 17}' | firladder request planwerk - "
        "--organisation=kraftwerk --idempotent",
    )

    def run(
        self, settings: Mapping[str, ResolvedSetting], arguments: Sequence[str]
    ) -> int:
        """Send the request and return its outcome as exit code."""
        if not 1 <= len(arguments) <= 2:
            return write_failure(self.name, f"usage: {self.usage}", EXIT_USAGE)
        body = read_json(arguments[1]) if len(arguments) == 2 else None
        request_id = settings["id"].value
        if not request_id:
            reply = call_gateway(settings, "POST", "/v1/tickets", {})
            if not isinstance(reply, Reply) or reply.status != 200:
                # Without a ticket, nothing was sent to the service.
                return write_answer(self.name, settings, reply, str, read_only=True)
            request_id = reply.body["ids"][0]
        return self._send(settings, arguments[0], request_id, body)

    def _send(
        self,
        settings: Mapping[str, ResolvedSetting],
        service: str,
        request_id: str,
        body: Any,
    ) -> int:
        deadline_ms = settings["deadline_ms"].value
        req = {
            "id": request_id,
            "organisation": settings["organisation"].value,
            "deadline_ms": deadline_ms,
            "urgency": settings["urgency"].value,
            "idempotent": settings["idempotent"].value == "true",
            "labels": settings["labels"].value,
            "body": body,
        }
        reply = call_gateway(
            settings,
            "POST",
            f"/v1/services/{service}/requests",
            req,
            timeout_s=deadline_ms / 1000 + REPLY_GRACE_S,
        )
        if isinstance(reply, NotSent):
            return write_answer(self.name, settings, reply, str)
        if isinstance(reply, SentUnanswered):
            text = f"unknown, {request_id} may have run: {reply.reason}"
            return write_failure(self.name, text, EXIT_UNKNOWN)
        if "outcome" not in reply.body:
            return write_refusal(self.name, reply.body)
        return _write_result(settings, reply.body)


def _write_result(
    settings: Mapping[str, ResolvedSetting], result: dict[str, Any]
) -> int:
    if settings["format"].value == "json":
        sys.stdout.write(json.dumps(result) + "\n")
    elif result["outcome"] == "done":
        sys.stdout.write(json.dumps(result.get("body")) + "\n")
    else:
        failure = result.get("failure") or {}
        line = f"{result['outcome']}: {failure.get('reason', 'no reason given')}"
        if result.get("retry_after_s"):
            line += f"; come back in {result['retry_after_s']:g} s"
        sys.stderr.write(f"firladder request: {line}\n")
    return OUTCOME_EXIT_CODES[result["outcome"]]
