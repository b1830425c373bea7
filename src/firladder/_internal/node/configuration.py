"""The configuration in force on this node; its version never decreases."""

import logging
from collections import Counter
from collections.abc import Callable

from ..exceptions import MalformedBody
from ..models.workload import Organisation, Queue, QueueConfiguration
from ..platform.configuration import CONFIGURATION_KEY, decode_configuration
from ..platform.store import Change, Listing
from ..utils.compression import compress_bytes

logger = logging.getLogger(__name__)

STORE = "store"
"""Source of a configuration read from the store; other sources are peer addresses."""


class ConfigurationCache:
    """The newest configuration received from the store or a peer."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current = QueueConfiguration(0)
        self.raw = b""
        self.source = ""
        self.previous_version = 0
        self.newest_known_version = 0
        self.received_bytes: Counter[str] = Counter()
        self.listeners: list[Callable[[], None]] = []
        self._packed = (0, b"")
        self._by_host: dict[str, list[Queue]] = {}
        self._by_key: dict[str, Organisation] = {}

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.current.version

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the operators' prefix."""
        for item in listing.items:
            self._apply_item(item.key, item.value)

    def apply_change(self, change: Change) -> None:
        """Apply a change below the operators' prefix."""
        if change.value is not None:
            self._apply_item(change.key, change.value)

    def _apply_item(self, key: str, value: bytes) -> None:
        if key == CONFIGURATION_KEY:
            self.offer(value, source=STORE)

    def offer(self, value: bytes, *, source: str) -> bool:
        """Adopt a configuration if it is newer; return whether it was adopted.

        A node that cannot reach the store gets versions from its peers, and a peer
        that was partitioned may send an older one: adopting it would restore queues
        and keys that were removed.
        """
        self.received_bytes[STORE if source == STORE else "peer"] += len(value)
        if value == self.raw:
            return False
        fresh = decode_configuration(value)
        if isinstance(fresh, MalformedBody):
            logger.warning(
                "ignoring malformed configuration from %s: %s", source, fresh.reason
            )
            return False
        self.record_version(fresh.version)
        if fresh.version <= self.version:
            return False
        self.previous_version = self.version
        self.current, self.raw, self.source = fresh, value, source
        self._index()
        for listener in self.listeners:
            listener()
        return True

    def pack(self) -> bytes:
        """Return the configuration packed for peers; packed once for each version."""
        if self._packed[0] != self.version:
            self._packed = (self.version, compress_bytes(self.raw))
        return self._packed[1]

    def record_version(self, version: int) -> None:
        """Record that ``version`` exists, whether or not this node has it."""
        self.newest_known_version = max(self.newest_known_version, version)

    def _index(self) -> None:
        self._by_host = {}
        for queue in self.current.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda q: len(q.prefix), reverse=True)
        self._by_key = {
            key: organisation
            for organisation in self.current.organisations
            for key in organisation.keys
        }

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        name = host.rpartition(":")[0] if ":" in host else host
        queues = self._by_host.get(name.lower(), [])
        return next((q for q in queues if path.startswith(q.prefix)), None)

    def find_organisation(self, authorization: str) -> Organisation | None:
        """Return the organisation that a call's authorization header identifies."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        return self._by_key.get(key.strip())
