"""Stand-in for the network between failure domains: relays that can be partitioned.

Peers reach each process of the product through a port of this process. A partition
between two source address prefixes stalls the traffic between them, as lost packets
would; when it heals, the bytes in flight arrive late.
"""

import argparse
import asyncio

import msgspec

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    RouteTable,
    reply_json,
)
from firladder._internal.utils.addresses import split_address

from .process import run_standin

routes = RouteTable()

CHUNK_BYTES = 65536
POLL_S = 0.02


class Partitions(msgspec.Struct):
    """Pairs of address prefixes between which traffic is held back.

    For pairs in ``one_way``, only traffic from the first to the second is held back.
    """

    cuts: tuple[tuple[str, str], ...] = ()
    one_way: tuple[tuple[str, str], ...] = ()


class Switch:
    """All relays, and the partitions in force."""

    def __init__(self) -> None:
        self.state = Partitions()
        self.servers: list[asyncio.Server] = []

    def is_partitioned(self, source: str, dest: str) -> bool:
        """Return whether bytes from ``source`` to ``dest`` are held back."""
        pairs = [*self.state.cuts, *((b, a) for a, b in self.state.cuts)]
        pairs += self.state.one_way
        return any(source.startswith(a) and dest.startswith(b) for a, b in pairs)

    async def add_relay(self, listen: str, forward: str) -> None:
        """Relay connections from one address to another."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            source = writer.get_extra_info("peername")[0]
            dest, port = split_address(forward)
            try:
                upstream = await asyncio.open_connection(dest, port)
            except OSError:
                writer.close()
                return
            await asyncio.gather(
                self._pump(reader, upstream[1], source, dest),
                self._pump(upstream[0], writer, dest, source),
            )

        host, port = split_address(listen)
        self.servers.append(await asyncio.start_server(serve, host, port))

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        dest: str,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self.is_partitioned(source, dest):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


@routes.route("POST", "/cuts")
async def set_partitions(switch: Switch, call: HttpCall) -> HttpReply:
    """Replace the partitions in force."""
    switch.state = msgspec.json.decode(call.body, type=Partitions)
    return reply_json(switch.state)


async def main(options: argparse.Namespace) -> None:
    """Serve until stopped."""
    switch = Switch()
    for relay in options.relay:
        listen, _, forward = relay.partition(">")
        await switch.add_relay(listen, forward)
    HttpServer(switch, routes).listen(options.address)


if __name__ == "__main__":
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--address", required=True)
    arguments.add_argument("--relay", action="append", default=[])
    run_standin(arguments, main)
