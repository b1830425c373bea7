"""An event loop in virtual time, for tests that must not depend on machine load."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer when no callback is ready, instead of waiting for it.

    With real time, a test on a busy machine could not tell a slow machine from a slow
    message.
    """

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def advance(self, seconds):
        """Let time pass during a callback, like a computation that takes long."""
        self._now += seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


class VirtualClock:
    """Reads the time of the running virtual loop; keeps the last one without a loop."""

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
