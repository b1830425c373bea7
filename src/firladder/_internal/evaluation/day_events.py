"""The events of a simulated day, in the order of their time."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class EventQueue:
    """Runs actions at their time; ``now`` is the time of the present one."""

    def __init__(self, now: float) -> None:
        """Start empty at ``now``, in seconds."""
        self.now = now
        self._events: list[tuple[float, int, Action]] = []
        self._sequence = itertools.count()

    def schedule(self, when: float, action: Action) -> None:
        """Run an action at some time, after those that were scheduled for it before."""
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def run(self, *, until: float, is_over: Callable[[], bool]) -> None:
        """Run actions until some time, or until it is over after one of them."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if is_over():
                return
