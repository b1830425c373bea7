"""Run planning passes when something has changed, without using up the processor."""

import asyncio
from collections.abc import Callable

from ..utils.clocks import Clock

MIN_PAUSE_S = 0.004
"""Seconds for which events are collected before a pass; the tasks of a gang end within
a few milliseconds of each other."""

MAX_PLANNING_S = 0.1
"""Maximum seconds for which a pass plans one unit after the other. Nothing else happens
meanwhile: the leader's own lease has to be renewed, and members of gangs wait."""

PAUSE_RATIO = 2.0
"""Minimum pause before a pass, as a multiple of how long the last one took. On a small
VM passes would otherwise use most of the processor, and orders and their answers would
wait for seconds."""


def choose_pause_s(last_pass_s: float) -> float:
    """Return the pause before the next pass, in seconds."""
    return max(MIN_PAUSE_S, PAUSE_RATIO * last_pass_s)


class PassBudget:
    """The time that a pass has for its units, from the first of them on."""

    def __init__(self, *, clock: Clock) -> None:
        """Measure by ``clock``."""
        self._clock = clock
        self._until: float | None = None

    def is_left(self) -> bool:
        """Return whether the pass may plan another unit; the first it always may."""
        now = self._clock.read_monotonic()
        if self._until is None:
            self._until = now + MAX_PLANNING_S
        return now < self._until


class PassLoop:
    """Runs a pass after each request; requests during a pause share one pass."""

    def __init__(self, *, run_pass: Callable[[], None], clock: Clock) -> None:
        """Call ``run_pass`` for each pass and measure it by ``clock``."""
        self._run_pass = run_pass
        self._clock = clock
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Schedule a pass."""
        self._requested.set()

    async def run(self) -> None:
        """Run the requested passes until cancelled."""
        last_pass_s = 0.0
        while True:
            await self._requested.wait()
            await asyncio.sleep(choose_pause_s(last_pass_s))
            self._requested.clear()
            began_at = self._clock.read_monotonic()
            self._run_pass()
            last_pass_s = self._clock.read_monotonic() - began_at
