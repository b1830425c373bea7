"""Run a stand-in as a process until SIGTERM or SIGINT."""

import argparse
import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from firladder._internal.network import run_reactor


def run_standin(
    parser: argparse.ArgumentParser,
    main: Callable[[argparse.Namespace], Coroutine[Any, Any, Any]],
) -> None:
    """Install the asyncio reactor, run ``main`` and exit at SIGTERM or SIGINT."""
    options = parser.parse_args()
    logging.basicConfig(stream=sys.stderr, level=logging.INFO)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await main(options)
        await stop.wait()

    run_reactor(serve())
