"""Measure the lag of the event loop."""

WINDOW_S = 60.0


class LoopLag:
    """The longest delay of the event loop in the current and the previous window.

    A long scheduling pass or decoding delays every caller of the process. Average
    processor time does not show it.
    """

    def __init__(self) -> None:
        """Start without any delay."""
        self._window_started_at = 0.0
        self._current_s = 0.0
        self._previous_s = 0.0

    def observe(self, lag_s: float, now: float) -> None:
        """Add one measured delay."""
        if now - self._window_started_at > WINDOW_S:
            self._window_started_at, self._previous_s, self._current_s = (
                now,
                self._current_s,
                0.0,
            )
        self._current_s = max(self._current_s, lag_s)

    def read(self) -> float:
        """Return the longest delay, in seconds, of the last one to two minutes."""
        return max(self._current_s, self._previous_s)
