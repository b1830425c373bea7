"""A TCP proxy on loopback that injects network faults into its links."""

import asyncio
import contextlib
import enum
import threading
from typing import Any

from firladder._internal.utils.addresses import split_address

CHUNK_BYTES = 65536
POLL_S = 0.02


class Mode(enum.Enum):
    """How a link treats bytes.

    SILENT holds back bytes in both directions and ONE_WAY those of responses, until
    the mode changes. BLACKHOLED drops all bytes of the connections open now, for
    good and without a reset, while new connections work.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    BLACKHOLED = "hushed"


class Link:
    """A listener that forwards its connections to one address."""

    def __init__(self, listen: str, forward: str) -> None:
        """Forward connections without faults."""
        self.listen = listen
        self.forward = forward
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.rate_bytes_s: float | None = None
        self._link_free_at = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.blackholed: set[int] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until it closes."""
        host, port = split_address(self.forward)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        pair = (writer, upstream_writer)
        self.writers.update(pair)
        await asyncio.gather(
            self._pump(reader, upstream_writer, id(writer), responses=False),
            self._pump(upstream_reader, writer, id(writer), responses=True),
        )
        self.writers.difference_update(pair)
        self.blackholed.discard(id(writer))

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
        *,
        responses: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.mode is Mode.SILENT or (
                    responses and self.mode is Mode.ONE_WAY
                ):
                    await asyncio.sleep(POLL_S)
                if connection in self.blackholed:
                    continue
                if responses and self.rate_bytes_s is not None:
                    await self._throttle(len(data), self.rate_bytes_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _throttle(self, size: int, rate_bytes_s: float) -> None:
        """Wait for the bytes' transmission time on the link all connections share."""
        now = asyncio.get_running_loop().time()
        self._link_free_at = max(now, self._link_free_at) + size / rate_bytes_s
        await asyncio.sleep(self._link_free_at - now)

    def blackhole_connections(self) -> None:
        """Drop everything on the open connections from now on."""
        self.blackholed.update(id(writer) for writer in self.writers)

    def reset(self) -> None:
        """Abort the open connections."""
        for writer in tuple(self.writers):
            transport: Any = writer.transport
            with contextlib.suppress(OSError):
                transport.abort()


class Proxy:
    """All links of a run, in a thread with its own event loop."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: dict[str, Link] = {}
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, name: str, listen: str, forward: str) -> Link:
        """Open and return a link from ``listen`` to ``forward``."""
        link = self.links[name] = Link(listen, forward)
        host, port = split_address(listen)
        start = asyncio.start_server(link.serve, host, port)
        server = asyncio.run_coroutine_threadsafe(start, self._loop).result(5)
        self._servers.append(server)
        return link

    def set_mode(self, name: str, mode: Mode, *, delay_s: float = 0.0) -> None:
        """Set the mode of a link; BLACKHOLED affects its open connections only."""
        link = self.links[name]

        def change() -> None:
            if mode is Mode.BLACKHOLED:
                link.blackhole_connections()
                return
            link.mode, link.delay_s = mode, delay_s

        self._loop.call_soon_threadsafe(change)

    def limit(self, name: str, *, mbps: float) -> None:
        """Limit the responses on a link to a rate in Mbit/s."""
        self.links[name].rate_bytes_s = mbps * 1e6 / 8

    def reset(self, name: str) -> None:
        """Abort the open connections of a link."""
        self._loop.call_soon_threadsafe(self.links[name].reset)

    def close(self) -> None:
        """Close all links and wait for their connections to end."""

        async def cancel_all() -> None:
            # Open servers would keep their ports bound against the next run's proxy.
            for server in self._servers:
                server.close()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.wait(others, timeout=1) if others else None

        with contextlib.suppress(TimeoutError):
            asyncio.run_coroutine_threadsafe(cancel_all(), self._loop).result(2)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(2)
