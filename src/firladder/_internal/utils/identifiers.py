"""Generate identifiers that are unique across processes and their restarts."""

import contextlib
import hashlib
import secrets
from collections.abc import Callable, Iterator

MakeHex = Callable[[int], str]
"""Returns the given number of random bytes as hexadecimal digits."""

_make_hex: MakeHex = secrets.token_hex


@contextlib.contextmanager
def use_random_source(make_hex: MakeHex) -> Iterator[None]:
    """Generate identifiers with ``make_hex``, so that a run can be repeated."""
    global _make_hex
    previous, _make_hex = _make_hex, make_hex
    try:
        yield
    finally:
        _make_hex = previous


def mint_incarnation() -> str:
    """Return an identifier for one start of one process."""
    return _make_hex(6)


def mint_write_id() -> str:
    """Return an id by which a writer recognises its own write after a lost reply."""
    return _make_hex(8)


def digest_bytes(data: bytes) -> str:
    """Return a short digest to compare contents by."""
    return hashlib.blake2b(data, digest_size=12).hexdigest()
