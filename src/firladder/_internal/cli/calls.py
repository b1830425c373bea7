"""Make blocking HTTP calls without slow imports, so that commands start fast."""

import http.client
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..exceptions import NotSent, SentUnanswered
from ..utils.addresses import split_address
from ..utils.settings import ResolvedSetting

TIMEOUT_S = 10.0
"""Default timeout; an operator's call normally takes milliseconds."""


class Reply(NamedTuple):
    """A gateway's HTTP status and decoded JSON body."""

    status: int
    body: Any


def call_json(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Reply | NotSent | SentUnanswered:
    """Return the reply, or a failure that tells whether the call was sent."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        # Connect in a step of its own: only a call that was certainly not sent
        # may be reported as not run and repeated without further conditions.
        connection.connect()
    except OSError as error:
        connection.close()
        return NotSent(reason=f"{address}: {error}")
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        resp = connection.getresponse()
        return Reply(resp.status, json.loads(resp.read() or b"null"))
    except (OSError, http.client.HTTPException, ValueError) as error:
        reason = str(error) or type(error).__name__
        return SentUnanswered(reason=f"{address}: {reason}")
    finally:
        connection.close()


def call_gateway(
    settings: Mapping[str, ResolvedSetting],
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = TIMEOUT_S,
) -> Reply | NotSent | SentUnanswered:
    """Call the gateway in the settings, with the operator token if one is set."""
    token = settings["operator_token"].value
    return call_json(
        settings["gateway"].value,
        method,
        path,
        body=None if body is None else json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {token}"} if token else None,
        timeout_s=timeout_s,
    )
