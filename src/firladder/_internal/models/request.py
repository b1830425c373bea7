"""A caller's request to a service, and its result."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..exceptions import AnyFailure
from .configuration import LabelText, Name, Urgency

Identifier = Annotated[
    str, Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9_.:-]+$")
]
Outcome = Literal["done", "not_run", "failed", "unknown"]

MAX_DEADLINE_MS = 600_000


class ServiceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request as a caller sends it.

    ``deadline_ms`` counts from the arrival at the gateway. A request that is
    not ``idempotent`` needs an ``id``, under which it runs at most once.
    ``attempt`` 1 asserts that the id was never sent before, so that a refusal can
    say "not run" even during an outage of the store.
    """

    organisation: Name
    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]
    body: msgspec.Raw = msgspec.Raw(b"null")
    id: Identifier | None = None
    urgency: Urgency = "normal"
    idempotent: bool = False
    labels: dict[LabelText, LabelText] = {}
    attempt: Annotated[int, Meta(ge=1, le=1000)] | None = None


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """The final answer to a request.

    ``done`` carries the complete body of the target's answer. ``not_run`` is
    returned only if the request certainly did not run. ``unknown`` means that it
    may have run, and will not run again under this id.
    """

    id: str
    outcome: Outcome
    body: msgspec.Raw = msgspec.Raw(b"null")
    failure: AnyFailure | None = None
    target: str | None = None
    retry_after_s: float | None = None
