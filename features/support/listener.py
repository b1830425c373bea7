"""Run the production HTTP server with small limits, as a separate process."""

import argparse

from firladder._internal.network.http_server import (
    HttpCall,
    HttpReply,
    HttpServer,
    RouteTable,
    reply_json,
)
from standins.process import run_standin

routes = RouteTable()


@routes.route("POST", "/echo")
async def echo(app, call: HttpCall) -> HttpReply:
    return reply_json({"bytes": len(call.body)})


@routes.route("GET", "/hold")
async def hold(app, call: HttpCall) -> HttpReply:
    async def stream():
        yield b"held"
        await call.disconnected.wait()

    return HttpReply(200, stream=stream())


@routes.route("GET", "/places")
async def count(server, call: HttpCall) -> HttpReply:
    return reply_json({"open": server["http"].connection_tracker.count()})


async def main(options: argparse.Namespace) -> None:
    app = {}
    app["http"] = HttpServer(
        app,
        routes,
        max_body_bytes=options.body,
        max_connections=options.connections,
        request_timeout_s=options.patience,
    )
    app["http"].listen(options.address)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--patience", type=float, default=2.0)
    parser.add_argument("--body", type=int, default=4096)
    run_standin(parser, main)
