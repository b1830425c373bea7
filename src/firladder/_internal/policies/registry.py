"""Registries of named, interchangeable implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one policy."""

    def __init__(self, subject: str) -> None:
        """Create an empty registry; ``subject`` names it in errors."""
        self._subject = subject
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds an implementation under ``name``."""

        def add(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self._subject} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add

    def find(self, name: str) -> T | None:
        """Return the implementation, or None."""
        return self._entries.get(name)

    def list_names(self) -> list[str]:
        """Return all names, sorted."""
        return sorted(self._entries)
