"""Close a listening socket without resetting connections that are half made.

Between the last ``accept`` and the ``close`` of a listener, the kernel goes on
completing connections into its backlog, and resets them all when the socket is
closed: a caller who connected in that moment and sent a request sees it cut.
A packet filter on the listener drops new connection attempts first; whoever
tries then meets a closed port at the next attempt and goes to another gateway.
"""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""Number of the socket option on Linux; Python's ``socket`` does not name it."""

HANDSHAKE_GRACE_S = 0.1
"""Seconds given to handshakes under way; clients are about 1 ms away."""

_TCP_FLAGS_OFFSET = 13
_SYN = 0x02

_LOAD_BYTE = 0x30
_JUMP_IF_SET = 0x45
_RETURN = 0x06
_WHOLE_PACKET = 0xFFFFFFFF

_DROP_SYN = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_JUMP_IF_SET, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE_PACKET),
)
"""Classic packet filter: drop what has the SYN flag, let all else through."""


def ignore_new_connections(listener: socket.socket) -> bool:
    """Let the listener finish handshakes but begin none; tell if that worked."""
    code = b"".join(struct.pack("HBBI", *step) for step in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
