"""Decode the entries with which workers register themselves."""

import msgspec

from ..exceptions import MalformedBody
from ..models.workload import Resources, WorkerEntry
from ..utils.codec import decode_json

WORKER_PREFIX = "servers/"

_READY = "ready"
_DRAINING = "draining"


class _Capacity(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _WorkerRecord(msgspec.Struct):
    # The name of a pool of workers, not of a host.
    backend: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    # Set only while draining: the minimum time until the worker leaves.
    remaining_ms: float | None = None
    born: int = 0


def decode_worker(key: str, value: bytes) -> WorkerEntry | MalformedBody:
    """Return a worker's entry, or why it describes no usable worker."""
    wire = decode_json(value, _WorkerRecord)
    if isinstance(wire, MalformedBody):
        return wire
    if wire.state not in (_READY, _DRAINING):
        return MalformedBody(reason=f"unknown state {wire.state!r}", field="state")
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdigit():
        return MalformedBody(reason="must be ip:port", field="address")
    remaining_ms = wire.remaining_ms
    return WorkerEntry(
        worker_id=key.removeprefix(WORKER_PREFIX),
        address=wire.address,
        pool=wire.backend,
        failure_domain=wire.zone,
        capacity=Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        labels=frozenset(wire.labels),
        rack=_find_rack(wire.labels),
        draining=wire.state == _DRAINING,
        leaves_in_s=None if remaining_ms is None else remaining_ms / 1000,
        born=wire.born,
    )


def _find_rack(labels: list[str]) -> str:
    """Return the label that names a rack, or an empty string.

    A worker has two labels, its kind and its rack; a rack has the form
    ``r<room>-<number>``.
    """
    racks = [x for x in labels if x[:1] == "r" and "-" in x]
    return min(racks, default="")
