"""Choose for how long the answers of workers are awaited."""

MIN_TIMEOUT_S = 0.35
"""Seconds for the answer to an order at least; workers answer within milliseconds. An
order that was lost is taken back before its task is planned again, and urgent work has
little more than a second to spare."""

MAX_TIMEOUT_S = 1.4
"""Seconds at most, and for which a late answer is listened for; workers may be gone."""

MEAN_WEIGHT = 1 / 8
"""Weight of an answer in the mean, as in RFC 6298."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of an answer in the mean deviation, as in RFC 6298."""

TIMEOUT_DEVIATIONS = 4
"""Mean deviations beyond the mean after which an answer counts as lost."""


class TimeoutEstimator:
    """A smoothed round trip with its spread, over all workers of a leader.

    What makes all answers late is the leader's own: its link, or its processor. Given
    up too early, orders are sent again, and the link never becomes free. Late answers
    count too, so that the wait follows them; a worker that is silent changes nothing.
    """

    def __init__(self) -> None:
        """Start with no answer known."""
        self._mean_s: float | None = None
        self._mean_deviation_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Return for how long an answer is awaited, in seconds."""
        usual_s = (self._mean_s or 0.0) + TIMEOUT_DEVIATIONS * self._mean_deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, usual_s))

    def record_answer(self, took_s: float) -> None:
        """Learn from an answer, in time or late."""
        if self._mean_s is None:
            self._mean_s, self._mean_deviation_s = took_s, took_s / 2
            return
        deviation_s = abs(took_s - self._mean_s)
        self._mean_deviation_s += DEVIATION_WEIGHT * (
            deviation_s - self._mean_deviation_s
        )
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
