"""Read the settings file that the platform provides for each process."""

import dataclasses
import tomllib
from pathlib import Path

import msgspec

from ..exceptions import SettingError

FILE_VARIABLE = "FIRLADDER_NODE_FILE"


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str = ""


class _Bounds(msgspec.Struct, frozen=True):
    # The longest lease that a worker grants to its runs.
    max_hold_ms: float = 10000
    # How long the status of an ended job stays available.
    status_s: float = 120
    reclaim_ms: float = 2700
    # How long a member of a gang waits for the others before it ends by itself.
    gang_timeout_ms: float = 3000
    # A task that is stopped saves its progress first, so that a stop costs only
    # these two times.
    stop_grace_ms: float = 200
    restore_ms: float = 100


class _Limits(msgspec.Struct, frozen=True):
    cpu_share: float = 1.0
    # Factor by which the VM's processor is faster than its share alone implies.
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    # HOST:PORT of the advice service; may be empty.
    advice: str = ""
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a node's process.

    ``peers`` are IP addresses of VMs that may be members of the fleet; ``peer_port``
    is the port on which processes of the fleet listen for each other.
    ``retention_s`` is how long the status of an ended job stays available.
    ``restart_s`` is the time that a checkpointing task loses when it is stopped.
    ``member_wait_s`` is how long a gang's member waits for the others to start.
    ``processor_cores`` and ``link_mbps`` are the VM's capacity. ``advice_address`` is
    the ip:port of the advice service, or empty.
    """

    vm: str
    ip: str
    failure_domain: str
    clients_address: str
    ready_address: str
    metrics_address: str
    peer_port: int
    peers: tuple[str, ...]
    store_address: str
    max_lease_s: float
    retention_s: float
    reclaim_s: float
    restart_s: float
    member_wait_s: float
    processor_cores: float
    link_mbps: float
    advice_address: str = ""


def read_node_settings(path: str) -> NodeSettings:
    """Return the validated settings; unknown fields are ignored.

    Raise ``SettingError`` with the field's name and what would be right.
    """
    try:
        raw = tomllib.loads(Path(path).read_text())
        wire = msgspec.convert(raw, _File, strict=False)
    except OSError as error:
        raise SettingError(setting=FILE_VARIABLE, reason=str(error)) from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingError(setting=path, reason=str(error)) from error
    bounds = wire.bounds
    first_port = wire.port_range[0]
    return NodeSettings(
        vm=wire.node,
        ip=wire.ip,
        failure_domain=wire.zone,
        clients_address=wire.listen.front,
        ready_address=wire.listen.ready,
        metrics_address=f"{wire.ip}:{first_port + 1}",
        peer_port=first_port,
        peers=tuple(seed.rpartition(":")[0] for seed in wire.seeds),
        store_address=wire.platform.address,
        max_lease_s=bounds.max_hold_ms / 1000,
        retention_s=bounds.status_s,
        reclaim_s=bounds.reclaim_ms / 1000,
        restart_s=(bounds.stop_grace_ms + bounds.restore_ms) / 1000,
        member_wait_s=bounds.gang_timeout_ms / 1000,
        processor_cores=wire.limits.cpu_share * wire.limits.cores,
        link_mbps=wire.limits.link_mbps,
        advice_address=wire.advice,
    )
