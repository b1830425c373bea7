"""Send malformed or oversized traffic to a listener, from a separate process."""

import contextlib
import random
import socket
import sys

import zmq


def send_raw(address: str, frames: list[bytes]) -> None:
    """Send frames over ZeroMQ without the product's encoding or handshake."""
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.linger = 3000
    dealer.connect(f"tcp://{address}")
    for frame in frames:
        dealer.send(frame)
    dealer.close()
    context.term()


def attack(address: str, what: str) -> None:
    host, port = address.split(":")
    rng = random.Random(3)
    if what == "5 MB of random bytes":
        peer = socket.create_connection((host, int(port)))
        # The listener may close the connection before all bytes are sent.
        with contextlib.suppress(OSError):
            peer.sendall(rng.randbytes(5_000_000))
        peer.close()
    elif what.startswith("200"):
        for peer in [socket.create_connection((host, int(port))) for _ in range(200)]:
            peer.close()
    else:
        frames = {
            "300 malformed messages": [rng.randbytes(200) for _ in range(300)],
            "40 messages of 3 MB": [bytes(3_000_000)] * 40,
            "100 deeply nested messages": [b"\x91" * 100_000] * 100,
        }
        send_raw(address, frames[what])


if __name__ == "__main__":
    attack(sys.argv[1], sys.argv[2])
