"""Requests between their admission and their final answer."""

import asyncio
import dataclasses

import msgspec

from ..charts.interpreter import ChartInstance
from ..exceptions import Failure
from ..models.request import Outcome, RequestResult, ServiceRequest
from ..policies.request_views import WaitingRequest
from ..policies.selectors import Steering


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request between its admission and its final answer.

    ``final`` may be set after the deadline, with a late answer.
    """

    waiting: WaitingRequest
    request_id: str
    service: str
    request: ServiceRequest
    steering: Steering
    chart: ChartInstance
    final: "asyncio.Future[RequestResult]"
    tries: int = 0
    may_have_run: bool = False
    target: str | None = None

    def make_result(
        self,
        *,
        target: str | None = None,
        body: bytes = b"null",
        failure: Failure | None = None,
    ) -> RequestResult:
        """Return the result for the final state that the state chart has reached."""
        return RequestResult(
            id=self.request_id,
            outcome=msgspec.convert(self.chart.state, Outcome),
            body=_encode_body(body),
            failure=failure,  # type: ignore[arg-type]
            target=target,
            retry_after_s=failure.retry_after_s if failure else None,
        )


def make_not_run_result(request_id: str, failure: Failure) -> RequestResult:
    """Return the answer to a request that did not run."""
    return RequestResult(
        id=request_id,
        outcome="not_run",
        failure=failure,  # type: ignore[arg-type]
        retry_after_s=failure.retry_after_s,
    )


def _encode_body(body: bytes) -> msgspec.Raw:
    """Return a target's body unchanged, or as a JSON string if it is not JSON."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return msgspec.Raw(msgspec.json.encode(body.decode("utf-8", "replace")))
    return msgspec.Raw(body)
