"""Identifiers that no two processes or starts share."""

import contextlib
import hashlib
import secrets
from collections.abc import Callable, Iterator

MakeHex = Callable[[int], str]
"""Returns so many random bytes as hexadecimal digits."""

_make_hex: MakeHex = secrets.token_hex


@contextlib.contextmanager
def use_random_source(make_hex: MakeHex) -> Iterator[None]:
    """Draw all randomness from ``make_hex``, so that a run can be repeated."""
    global _make_hex
    former, _make_hex = _make_hex, make_hex
    try:
        yield
    finally:
        _make_hex = former


def mint_incarnation() -> str:
    """Return a name for one start of one process."""
    return _make_hex(6)


def mint_write_id() -> str:
    """Return an id by which a writer recognises its own write after a lost answer."""
    return _make_hex(8)


def digest_bytes(data: bytes) -> str:
    """Return a short digest that tells two bodies apart."""
    return hashlib.blake2b(data, digest_size=12).hexdigest()
