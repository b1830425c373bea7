"""Hold the configuration in force in this process; it only ever moves forward."""

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
    """Return the store's form of one change."""
    key = f"{PREFIX}{change.kind}/{change.name}"
    if bytes(change.value) == b"null":
        return Delete(key)
    return Put(key, bytes(change.value))


def encode_parts(configuration: Configuration) -> list[Put]:
    """Return the store's form of all parts of a configuration."""
    return [
        Put(f"{PREFIX}{kind}/{name}", encode_json(value))
        for kind, field in KIND_FIELDS.items()
        for name, value in getattr(configuration, field).items()
    ]


def encode_head(head: ConfigurationHead) -> Put:
    """Return the store's form of the head."""
    return Put(HEAD_KEY, encode_json(head))


def read_head(entry: Entry | None) -> ConfigurationHead:
    """Return the head, which is revision 0 before the first change."""
    if entry is None:
        return ConfigurationHead(0, "")
    return msgspec.json.decode(entry.value, type=ConfigurationHead)


def read_configuration(entries: Iterable[Entry]) -> Configuration:
    """Return the configuration that the entries of one revision make up."""
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
    """The configuration in force here, and who wants to hear of a new one.

    ``loaded`` says that the store or a peer has told what is in force; before
    that, revision 0 means "not known" and not "empty".
    """

    def __init__(self, timeline: Timeline) -> None:
        """Begin with the empty configuration of revision 0."""
        self.current = Configuration()
        self.loaded = False
        self._stored_revision = 0
        self._timeline = timeline
        self._listeners: list[Callable[[Configuration], None]] = []

    def listen(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with every configuration adopted from now on."""
        self._listeners.append(listener)

    def read_entries(self, entries: dict[str, Entry]) -> None:
        """Adopt what the store holds, if it is newer."""
        try:
            stored = read_configuration(entries.values())
        except msgspec.DecodeError:
            logger.exception("the store holds a configuration that cannot be read")
            return
        if stored.revision < self._stored_revision:
            # The store was restored from an old copy. Nothing here goes back,
            # but a process that starts now knows only the old configuration
            # until it hears a peer, so operators must be told.
            self._timeline.record(
                Event.CONFIGURATION_ROLLED_BACK,
                stored=stored.revision,
                in_force=self.current.revision,
            )
        self._stored_revision = stored.revision
        # An adoption must come out behind its acceptance on the time line.
        self._timeline.logical.merge(read_head(entries.get(HEAD_KEY)).clock)
        self.loaded = True
        self.adopt(stored, source="store")

    def adopt(self, fresh: Configuration, *, source: str) -> bool:
        """Put a newer configuration in force; tell whether it was newer."""
        if fresh.revision <= self.current.revision:
            # A peer that was cut off, or a watch that lags, offers an older
            # revision; taking it would undo a change that operators were told
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
