"""Decode the operators' configuration."""

import functools
import logging
import math
from typing import Any

import msgspec

from ..exceptions import MalformedBody
from ..models.workload import (
    AdviceTerms,
    Organisation,
    Pool,
    Queue,
    QueueConfiguration,
)
from ..utils.codec import decode_json

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"

logger = logging.getLogger(__name__)

DEFAULT_ADVICE = {"decision_ms": 100.0, "per_worker_ms": 10.0, "valid_ms": 2000.0}
"""Used for times that are missing or unreadable. The first two only set a time limit;
the last is short: a ticket that is asked for again costs less than a rejected start."""


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str
    # The name of a pool of workers, not of a host.
    backend: str
    public: bool = False
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0
    advice: Any = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    guaranteed_gpu: dict[str, float] | float | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 262144
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


def decode_configuration(value: bytes) -> QueueConfiguration | MalformedBody:
    """Return the decoded configuration, or why it cannot be decoded."""
    wire = decode_json(value, _Configuration)
    if isinstance(wire, MalformedBody):
        return wire
    return QueueConfiguration(
        wire.version,
        tuple(map(_convert_route, wire.routes)),
        tuple(Pool(s.name, s.enforces_capacity) for s in wire.services),
        tuple(map(_convert_tenant, wire.tenants)),
        wire.limits.max_body_bytes,
        wire.limits.idle_timeout_ms / 1000,
    )


def _convert_route(wire: _Route) -> Queue:
    return Queue(
        wire.name,
        wire.hostname.lower(),
        wire.prefix,
        wire.backend,
        wire.public,
        wire.priority,
        wire.max_attempts,
        wire.stretch,
        wire.slo_ms / 1000,
        _convert_advice(wire.name, wire.advice),
    )


def _convert_advice(queue: str, wire: Any) -> AdviceTerms | None:
    """Return the terms of the advice service, or None without a policy.

    A value that cannot be read still means that there is a policy: starts without a
    ticket would all be rejected.
    """
    if not wire and wire != {}:
        return None
    found = wire if isinstance(wire, dict) else {}
    times = {name: _read_time(found.get(name)) for name in DEFAULT_ADVICE}
    read = {name: value for name, value in times.items() if value is not None}
    if not read.get("valid_ms"):
        read.pop("valid_ms", None)
    missing = tuple(name for name in DEFAULT_ADVICE if name not in read)
    if missing:
        _log_defaults(queue, missing)
    used = {**DEFAULT_ADVICE, **read}
    return AdviceTerms(
        used["decision_ms"] / 1000,
        used["per_worker_ms"] / 1000,
        used["valid_ms"] / 1000,
    )


def _read_time(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value < math.inf else None


@functools.lru_cache(maxsize=1000)
def _log_defaults(queue: str, names: tuple[str, ...]) -> None:
    """Log once that a queue's advice has unreadable times; each version has them."""
    logger.warning(
        "advice of queue %s: using the defaults for %s", queue, ", ".join(names)
    )


def _convert_tenant(wire: _Tenant) -> Organisation:
    guaranteed = wire.guaranteed_gpu
    if isinstance(guaranteed, dict):
        guaranteed = guaranteed.get("gpu", 0)
    return Organisation(wire.name, frozenset(wire.api_keys), int(guaranteed or 0))
