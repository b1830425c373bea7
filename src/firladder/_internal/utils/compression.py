"""Compress data sent between processes, and decompress it up to a size limit."""

import zlib

from ..exceptions import MalformedBody

COMPRESSION_LEVEL = 1
"""The fastest level; any level shrinks a configuration of similar routes to a tenth."""


def compress_bytes(data: bytes) -> bytes:
    """Return ``data`` compressed."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress_bytes(compressed: bytes, *, max_bytes: int) -> bytes | MalformedBody:
    """Return the decompressed data, or a failure if it exceeds ``max_bytes``."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, max_bytes)
    except zlib.error as error:
        return MalformedBody(reason=f"invalid compressed data: {error}")
    if not decompressor.eof:
        return MalformedBody(
            reason=f"compressed data is truncated or exceeds {max_bytes} bytes"
        )
    return data
