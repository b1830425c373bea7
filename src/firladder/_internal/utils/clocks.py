"""Injectable clocks: wall, monotonic and logical time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time, which tests replace to avoid waiting."""

    def read_monotonic(self) -> float:
        """Return seconds that never go back."""

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The operating system's clocks."""

    def read_monotonic(self) -> float:
        """Return seconds that never go back and that include suspended time."""
        # CLOCK_MONOTONIC stops while a VM is suspended: after it resumes, a
        # leader would take its expired lease for valid and act at the same time
        # as its successor. CLOCK_BOOTTIME includes the suspension.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class LogicalClock:
    """A Lamport clock, which orders the events of all processes causally."""

    def __init__(self) -> None:
        """Start at zero."""
        self._value = 0

    def advance(self) -> int:
        """Advance for a local event and return its time."""
        self._value += 1
        return self._value

    def merge(self, received: int) -> int:
        """Advance past a received timestamp and return the new time."""
        self._value = max(self._value, received) + 1
        return self._value
