"""Close a listening socket without resetting connections in its backlog.

Between the last ``accept`` and the ``close`` of a listener, the kernel keeps
completing connections into the backlog, and resets them when the socket is closed. A
client that connects in that moment and sends a request sees the reset. So a packet
filter on the listener drops new connection attempts first; the client's next attempt
finds a closed port, and it uses another gateway.
"""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
"""Number of the socket option on Linux; Python's ``socket`` doesn't define it."""

HANDSHAKE_GRACE_S = 0.1
"""Time for handshakes in progress; clients are about 1 ms away."""

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
"""Classic BPF program: drop packets with the SYN flag, accept all others."""


def ignore_new_connections(listener: socket.socket) -> bool:
    """Drop new connection attempts to the listener; return whether that worked."""
    code = b"".join(struct.pack("HBBI", *step) for step in _DROP_SYN)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack("HL", len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
