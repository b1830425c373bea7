"""Workers, targets and entry VMs as the platform's VM list describes them."""

from typing import Literal

import msgspec

Role = Literal["worker", "target", "entry"]
MachineState = Literal["live", "leaving"]


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the platform's VM list, which lags; sizes are of the whole VM."""

    name: str
    role: Role
    failure_domain: str
    address: str
    state: MachineState = "live"
    rack: str = ""
    service: str = ""
    slots: int = 0
    connections: int = 0
    accelerators: int = 0
    cpus: int = 0
    memory_mb: int = 0
    labels: dict[str, str] = {}
