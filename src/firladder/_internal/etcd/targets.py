"""Client of the targets, which run clients' requests (HTTP and JSON)."""

import msgspec

from ..exceptions import NotSent, SentUnanswered
from ..network.http_client import HttpClient, HttpResponse

REQUEST_ID_HEADER = "x-request-id"

HEALTH_TIMEOUT_S = 1.0


class TargetHealth(msgspec.Struct, frozen=True):
    """The state that a target reports of itself."""

    state: str = "live"


class TargetResponse(msgspec.Struct, frozen=True):
    """A complete response that is known to belong to its request."""

    status: int
    body: bytes


class TargetClient:
    """Call targets from one process."""

    def __init__(self, *, source_ip: str) -> None:
        """Keep connections open for idempotent requests only."""
        self._pooled = HttpClient(max_idle_per_host=8, source_ip=source_ip)
        # A target may close an idle connection just as a request is sent on it. The
        # caller of a request that must not run twice would then get "unknown"
        # although it did not run. A new connection costs one round trip and
        # distinguishes a refused request from a lost one.
        self._unpooled = HttpClient(persistent=False, source_ip=source_ip)

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
        """Send a request; return its complete response, or how far the call got."""
        http = self._pooled if idempotent else self._unpooled
        response = await http.call(
            "POST",
            f"http://{address}/{service}",
            body=body,
            headers={REQUEST_ID_HEADER: request_id},
            timeout_s=timeout_s,
        )
        if not isinstance(response, HttpResponse):
            return response
        if response.headers.get(REQUEST_ID_HEADER) != request_id:
            # A target that mixes up its responses would send one caller's result to
            # another. The echoed id reveals that.
            return SentUnanswered(reason="the response belongs to another request")
        if response.status == 503 and response.headers.get("x-not-run") == "1":
            return NotSent(reason="the target refused the request")
        return TargetResponse(response.status, response.body)

    async def check(self, address: str) -> TargetHealth | NotSent | SentUnanswered:
        """Return the state of a target, which says whether it is leaving."""
        response = await self._pooled.call(
            "GET", f"http://{address}/health", timeout_s=HEALTH_TIMEOUT_S
        )
        if not isinstance(response, HttpResponse):
            return response
        try:
            return msgspec.json.decode(response.body, type=TargetHealth)
        except msgspec.DecodeError as error:
            return SentUnanswered(reason=f"cannot decode response: {error}")

    async def close(self) -> None:
        """Close idle connections."""
        await self._pooled.close()
        await self._unpooled.close()
