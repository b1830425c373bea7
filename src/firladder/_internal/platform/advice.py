"""Calls to the service that knows which workers may run a step."""

import logging
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ..exceptions import (
    AdviceBusy,
    MalformedBody,
    NotSent,
    SentUnanswered,
)
from ..network.http_client import HttpClient, HttpResponse
from ..utils.codec import decode_json, encode_json

logger = logging.getLogger(__name__)

AdviceFailure = AdviceBusy | NotSent | SentUnanswered
"""Why the service gave no advice."""


class _AdviceReply(msgspec.Struct):
    # Rows: worker and ticket.
    good: list[list[Any]]


def format_step(job_id: str, occurrence: int, step: int) -> str:
    """Return a step's wire name, the part that the names of its tasks share."""
    return f"{job_id}.{occurrence}.{step}"


class AdviceCalls:
    """Sends requests to the advice service; its address may change or be empty."""

    def __init__(self, *, http: HttpClient, read_address: Callable[[], str]) -> None:
        """Call the service at the ip:port that ``read_address`` returns."""
        self._http = http
        self._read_address = read_address

    @property
    def available(self) -> bool:
        """Return whether there is a service to call."""
        return bool(self._read_address())

    async def ask(
        self, step: tuple[str, int, int], workers: Sequence[str], *, timeout_s: float
    ) -> dict[str, str] | AdviceFailure:
        """Return the tickets of those ``workers`` that may run a step."""
        response = await self._http.call(
            "POST",
            f"http://{self._read_address()}/-/advise",
            body=encode_json({"step": format_step(*step), "workers": list(workers)}),
            timeout_s=timeout_s,
            kind="advise",
        )
        if not isinstance(response, HttpResponse):
            return response
        if response.status == 429:
            return AdviceBusy(reason="the advice service is busy")
        if response.status != 200:
            return SentUnanswered(reason=f"unexpected status {response.status}")
        reply = decode_json(response.body, _AdviceReply)
        if isinstance(reply, MalformedBody):
            logger.warning("cannot decode advice: %s", reply.reason)
            return SentUnanswered(reason=f"cannot decode advice: {reply.reason}")
        return {worker: ticket for worker, ticket, *_ in filter(_is_ticket, reply.good)}


def _is_ticket(row: list[Any]) -> bool:
    if len(row) >= 2 and all(isinstance(x, str) and x for x in row[:2]):
        return True
    logger.warning("ignoring a row of advice that is not a worker and its ticket")
    return False
