"""The platform's list of VMs, which is stored under one prefix and may lag."""

import logging
from collections.abc import Iterable

import msgspec

from ..models.entry import Entry
from ..models.machine import Machine, Role

logger = logging.getLogger(__name__)

PREFIX = "platform/vms/"


class Inventory:
    """The VMs as last read from the store; kept during an outage."""

    def __init__(self) -> None:
        """Start empty."""
        self.machines: dict[str, Machine] = {}
        self.loaded = False

    def replace(self, entries: dict[str, Entry]) -> None:
        """Replace the list by the VMs that the entries describe."""
        self.loaded = True
        self.machines = {m.name: m for m in _decode_machines(entries.values())}

    def list_role(self, role: Role, failure_domain: str = "") -> list[Machine]:
        """Return the VMs of a role, of one failure domain or of all."""
        return [
            m
            for m in self.machines.values()
            if m.role == role and failure_domain in ("", m.failure_domain)
        ]


def _decode_machines(entries: Iterable[Entry]) -> Iterable[Machine]:
    for entry in entries:
        try:
            yield msgspec.json.decode(entry.value, type=Machine)
        except msgspec.DecodeError as error:
            # One invalid entry must not hide the rest of the fleet.
            logger.warning("skipped invalid VM entry %s: %s", entry.key, error)
