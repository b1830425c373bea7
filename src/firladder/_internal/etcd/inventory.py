"""The platform's lagging list of VMs, kept under one prefix of the store."""

import logging
from collections.abc import Iterable

import msgspec

from ..models.entry import Entry
from ..models.machine import Machine, Role

logger = logging.getLogger(__name__)

PREFIX = "platform/vms/"


class Inventory:
    """The VMs as last heard of; kept through an outage."""

    def __init__(self) -> None:
        """Start empty."""
        self.machines: dict[str, Machine] = {}
        self.loaded = False

    def replace(self, entries: dict[str, Entry]) -> None:
        """Adopt a new state of the list."""
        self.loaded = True
        self.machines = {m.name: m for m in _read_machines(entries.values())}

    def list_role(self, role: Role, failure_domain: str = "") -> list[Machine]:
        """Return the VMs of a role, of one failure domain or of all."""
        return [
            m
            for m in self.machines.values()
            if m.role == role and failure_domain in ("", m.failure_domain)
        ]


def _read_machines(entries: Iterable[Entry]) -> Iterable[Machine]:
    for entry in entries:
        try:
            yield msgspec.json.decode(entry.value, type=Machine)
        except msgspec.DecodeError as error:
            # One malformed row must not hide the rest of the fleet.
            logger.warning("dropped row %s: %s", entry.key, error)
