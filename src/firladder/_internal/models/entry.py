"""Keys, values and transactions of the platform's store."""

import msgspec


class Entry(msgspec.Struct, frozen=True):
    """A key and its value; ``mod_revision`` 0 in a watch batch means deleted."""

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0

    @property
    def deleted(self) -> bool:
        """Return whether the key was deleted."""
        return self.mod_revision == 0


class Snapshot(msgspec.Struct, frozen=True):
    """All entries under a prefix at one revision of the store."""

    revision: int
    entries: tuple[Entry, ...]


class Compare(msgspec.Struct, frozen=True):
    """Require that the key was last changed at ``mod_revision`` (0: is absent)."""

    key: str
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Set a key, bound to ``lease`` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


class Delete(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


class Committed(msgspec.Struct, frozen=True):
    """The transaction took effect at this revision of the store."""

    revision: int


class Lease(msgspec.Struct, frozen=True):
    """A lease of the store; ``ttl_s`` is the lifetime that the store granted."""

    id: int
    ttl_s: float
