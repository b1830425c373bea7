"""Hold the configuration in force in this process; its revision never decreases."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from ..models.configuration import (
    Change,
    Configuration,
    ConfigurationHead,
    Labels,
    Organisation,
    Rule,
)
from ..models.entry import Delete, Entry, Put
from ..policies.configuration_changes import KIND_FIELDS
from ..utils.codec import encode_json
from ..utils.events import Event, Timeline

logger = logging.getLogger(__name__)

PREFIX = "config/"
HEAD_KEY = "config/head"


def encode_change(change: Change) -> Put | Delete:
    """Return the store operation for one change."""
    key = f"{PREFIX}{change.kind}/{change.name}"
    if bytes(change.value) == b"null":
        return Delete(key)
    return Put(key, bytes(change.value))


def encode_parts(configuration: Configuration) -> list[Put]:
    """Return the store operations for all parts of a configuration."""
    return [
        Put(f"{PREFIX}{kind}/{name}", encode_json(value))
        for kind, field in KIND_FIELDS.items()
        for name, value in getattr(configuration, field).items()
    ]


def encode_head(head: ConfigurationHead) -> Put:
    """Return the store operation for the head."""
    return Put(HEAD_KEY, encode_json(head))


def read_head(entry: Entry | None) -> ConfigurationHead:
    """Return the head; its revision is 0 before the first change."""
    if entry is None:
        return ConfigurationHead(0, "")
    return msgspec.json.decode(entry.value, type=ConfigurationHead)


def read_configuration(entries: Iterable[Entry]) -> Configuration:
    """Return the configuration that the entries of one revision contain."""
    parts: dict[str, dict[str, bytes]] = {kind: {} for kind in KIND_FIELDS}
    revision = 0
    for entry in entries:
        if entry.key == HEAD_KEY:
            revision = read_head(entry).revision
            continue
        kind, _, name = entry.key.removeprefix(PREFIX).partition("/")
        if kind in parts:
            parts[kind][name] = entry.value
    decode = msgspec.json.decode
    return Configuration(
        revision,
        {k: decode(v, type=Organisation) for k, v in parts["organisation"].items()},
        {k: decode(v, type=Rule) for k, v in parts["rule"].items()},
        {k: decode(v, type=Labels) for k, v in parts["labels"].items()},
    )


class ConfigurationHolder:
    """The configuration in force in this process, and the listeners for a new one.

    ``loaded`` is set once the store or a peer has supplied a configuration; before
    that, revision 0 means "unknown", not "empty".
    """

    def __init__(self, timeline: Timeline) -> None:
        """Start with the empty configuration of revision 0."""
        self.current = Configuration()
        self.loaded = False
        self._stored_revision = 0
        self._timeline = timeline
        self._listeners: list[Callable[[Configuration], None]] = []

    def listen(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that is adopted from now on."""
        self._listeners.append(listener)

    def read_entries(self, entries: dict[str, Entry]) -> None:
        """Adopt the configuration in the store if it is newer."""
        try:
            stored = read_configuration(entries.values())
        except msgspec.DecodeError:
            logger.exception("cannot decode the configuration in the store")
            return
        if stored.revision < self._stored_revision:
            # The store was restored from an old backup. This process keeps its
            # configuration, but one that starts now knows only the old one until it
            # reaches a peer, so the operators must be told.
            self._timeline.record(
                Event.CONFIGURATION_ROLLED_BACK,
                stored=stored.revision,
                in_force=self.current.revision,
            )
        self._stored_revision = stored.revision
        # The adoption must come after its acceptance on the timeline.
        self._timeline.logical.merge(read_head(entries.get(HEAD_KEY)).clock)
        self.loaded = True
        self.adopt(stored, source="store")

    def adopt(self, fresh: Configuration, *, source: str) -> bool:
        """Adopt a newer configuration; return whether it was newer."""
        if fresh.revision <= self.current.revision:
            # A peer that was partitioned, or a watch that lags, offers an older
            # revision. Adopting it would undo a change that operators were told
            # is accepted.
            return False
        self.current = fresh
        self.loaded = True
        self._timeline.record(
            Event.CONFIGURATION_ADOPTED, revision=fresh.revision, source=source
        )
        for listener in self._listeners:
            listener(fresh)
        return True
