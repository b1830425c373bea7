"""Decode the operators' configuration."""

from typing import Any

import msgspec

from ..exceptions import MalformedBody
from ..models.workload import Organisation, Pool, Queue, QueueConfiguration
from ..utils.codec import decode_json

CONFIGURATION_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"


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
        bool(wire.advice),
    )


def _convert_tenant(wire: _Tenant) -> Organisation:
    guaranteed = wire.guaranteed_gpu
    if isinstance(guaranteed, dict):
        guaranteed = guaranteed.get("gpu", 0)
    return Organisation(wire.name, frozenset(wire.api_keys), int(guaranteed or 0))
