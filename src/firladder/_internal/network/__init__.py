"""HTTP and inter-process sockets; one task owns each.

Importing this package installs twisted's reactor on asyncio. Otherwise twisted.web
would install the default reactor when it is imported, which cannot share an event
loop with ``zmq.asyncio``.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from twisted.internet import asyncioreactor

_loop = asyncio.new_event_loop()
asyncio.set_event_loop(_loop)
asyncioreactor.install(_loop)


def run_reactor(main: Coroutine[Any, Any, None]) -> None:
    """Run ``main`` to completion on the event loop that the reactor uses."""
    from twisted.internet import reactor

    reactor.startRunning(installSignalHandlers=False)
    _loop.run_until_complete(main)
