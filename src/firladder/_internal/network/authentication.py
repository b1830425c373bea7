"""Authenticate processes of the same fleet to each other (CURVE of ZeroMQ)."""

import dataclasses
import hashlib

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils import z85

ZAP_DOMAIN = "firladder"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPair:
    """A CURVE key pair in Z85."""

    public: bytes
    secret: bytes


def derive_keys(secret: str, purpose: bytes) -> KeyPair:
    """Return the key pair of the whole fleet for one purpose.

    The secret is hashed once, without key stretching, so it must be random and not a
    passphrase. There are no keys per VM: a VM keeps no state, so its own key would be
    lost when it is replaced, and a new VM has only its settings to share.
    """
    digest = hashlib.blake2b(secret.encode(), digest_size=32, person=purpose)
    private = z85.encode(digest.digest())
    return KeyPair(zmq.curve_public(private), private)


class FleetAuthenticator:
    """Encrypt sockets with the fleet's keys and verify the keys of peers."""

    def __init__(self, context: zmq.asyncio.Context, secret: str) -> None:
        """Derive the keys; call ``start`` before a socket binds."""
        self._server = derive_keys(secret, b"server")
        self._client = derive_keys(secret, b"client")
        self._zap = AsyncioAuthenticator(context)

    def start(self) -> None:
        """Start verifying the keys of connecting peers."""
        self._zap.start()
        self._zap.configure_curve_callback(ZAP_DOMAIN, credentials_provider=self)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's key is the fleet's client key."""
        return key == self._client.public

    def secure_server(self, socket: zmq.asyncio.Socket) -> None:
        """Accept only peers with the fleet's client key."""
        socket.curve_server = True
        socket.curve_secretkey = self._server.secret
        socket.curve_publickey = self._server.public
        socket.zap_domain = ZAP_DOMAIN.encode()

    def secure_client(self, socket: zmq.asyncio.Socket) -> None:
        """Connect only to a peer with the fleet's server key."""
        socket.curve_serverkey = self._server.public
        socket.curve_secretkey = self._client.secret
        socket.curve_publickey = self._client.public

    def stop(self) -> None:
        """Stop verifying keys."""
        self._zap.stop()
