"""Remember how late the event loop was."""

WINDOW_S = 60.0


class LoopLag:
    """The longest delay of the current and the last window, in seconds.

    A pass or a decoding that takes long delays every caller of the process, and
    shows nowhere else: processor time alone may still look small.
    """

    def __init__(self) -> None:
        """Start with no delay."""
        self._began_at = 0.0
        self._current = 0.0
        self._last = 0.0

    def observe(self, lag_s: float, now: float) -> None:
        """Take a delay into account."""
        if now - self._began_at > WINDOW_S:
            self._began_at, self._last, self._current = now, self._current, 0.0
        self._current = max(self._current, lag_s)

    def read(self) -> float:
        """Return the longest delay of the last one to two minutes."""
        return max(self._current, self._last)
