"""Client of the targets, which run callers' requests (HTTP and JSON)."""

import msgspec

from ..exceptions import NotSent, SentUnanswered
from ..network.http_client import HttpClient, HttpResponse

REQUEST_ID_HEADER = "x-request-id"

HEALTH_TIMEOUT_S = 1.0


class TargetHealth(msgspec.Struct, frozen=True):
    """What a target says of itself."""

    state: str = "live"


class TargetResponse(msgspec.Struct, frozen=True):
    """A whole answer that belongs to the request it was given for."""

    status: int
    body: bytes


class TargetClient:
    """Calls to targets, from one process."""

    def __init__(self, *, source_ip: str) -> None:
        """Keep one pool for requests that may be repeated, none for others."""
        self._pooled = HttpClient(max_idle_per_host=8, source_ip=source_ip)
        # A target may close an idle connection in the very moment a request
        # goes out on it. The caller of a request that must not run twice would
        # then get "unknown" for nothing; a fresh connection costs one round
        # trip and tells "refused" from "lost".
        self._fresh = HttpClient(persistent=False, source_ip=source_ip)

    async def run(
        self,
        address: str,
        service: str,
        *,
        request_id: str,
        body: bytes,
        idempotent: bool,
        timeout_s: float,
    ) -> TargetResponse | NotSent | SentUnanswered:
        """Send a request and return its own whole answer, or how far it came."""
        http = self._pooled if idempotent else self._fresh
        answer = await http.call(
            "POST",
            f"http://{address}/{service}",
            body=body,
            headers={REQUEST_ID_HEADER: request_id},
            timeout_s=timeout_s,
        )
        if not isinstance(answer, HttpResponse):
            return answer
        if answer.headers.get(REQUEST_ID_HEADER) != request_id:
            # A target that mixes its answers up would show one athlete's plan
            # to another's coach; the id it echoes tells them apart.
            return SentUnanswered(reason="the answer belongs to another request")
        if answer.status == 503 and answer.headers.get("x-not-run") == "1":
            return NotSent(reason="the target refused the request")
        return TargetResponse(answer.status, answer.body)

    async def check(self, address: str) -> TargetHealth | NotSent | SentUnanswered:
        """Ask a target whether it is leaving."""
        answer = await self._pooled.call(
            "GET", f"http://{address}/health", timeout_s=HEALTH_TIMEOUT_S
        )
        if not isinstance(answer, HttpResponse):
            return answer
        try:
            return msgspec.json.decode(answer.body, type=TargetHealth)
        except msgspec.DecodeError as error:
            return SentUnanswered(reason=f"malformed answer: {error}")

    async def close(self) -> None:
        """Close idle connections."""
        await self._pooled.close()
        await self._fresh.close()
