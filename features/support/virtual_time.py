"""A clock that goes on only while nothing else is to do, for tasks under test."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Its clock goes on only while nothing else is to do, and then at once.

    With the machine's clock a busy machine would be told from a slow rumour by luck.
    """

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


class VirtualClock:
    """Reads the virtual clock; stands still between two plays."""

    def __init__(self):
        self.now = 0.0

    def read_monotonic(self):
        try:
            self.now = max(self.now, asyncio.get_running_loop().time())
        except RuntimeError:
            return self.now
        return self.now

    def read_wall(self):
        return self.read_monotonic()


def run_in_virtual_time(work):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work)
