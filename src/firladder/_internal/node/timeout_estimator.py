"""Adapt the timeout of orders to the response times of workers."""

MIN_TIMEOUT_S = 0.35
"""Minimum timeout of an order, in seconds; workers answer within milliseconds. A lost
order must be revoked before its task is planned again, and urgent work has little more
than a second to spare."""

MAX_TIMEOUT_S = 1.4
"""Maximum timeout of an order, in seconds, and how long a late answer is accepted: the
worker may be gone."""

MIN_OVERDUE_S = 0.1
"""Minimum seconds after which an answer counts as overdue."""

OVERDUE_RATIO = 1.5
"""Minimum ratio of an overdue answer's time to the mean: the deviation is close to 0
where all answers take the same time."""

MEAN_WEIGHT = 1 / 8
"""Weight of a new sample in the mean, as in RFC 6298."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of a new sample in the mean deviation, as in RFC 6298."""

TIMEOUT_DEVIATIONS = 4
"""Mean deviations above the mean at which an order times out."""


class TimeoutEstimator:
    """Smoothed response time and its mean deviation over all workers of a leader.

    If all answers are late, the cause is the leader's own link or processor. Timing out
    too early then resends orders and keeps the link full. Late answers are sampled too,
    so that the timeout follows them; a silent worker changes nothing.
    """

    def __init__(self) -> None:
        """Start without any sample."""
        self._mean_s: float | None = None
        self._mean_deviation_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Return the current timeout of an order, in seconds."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, self._longest_usual_s))

    @property
    def overdue_s(self) -> float:
        """Return after how many seconds an answer is later than usual.

        At most the timeout, and equal to it before any answer was recorded.
        """
        if self._mean_s is None:
            return self.timeout_s
        late_s = max(OVERDUE_RATIO * self._mean_s, self._longest_usual_s)
        return min(self.timeout_s, max(MIN_OVERDUE_S, late_s))

    @property
    def _longest_usual_s(self) -> float:
        return (self._mean_s or 0.0) + TIMEOUT_DEVIATIONS * self._mean_deviation_s

    def record_answer(self, took_s: float) -> None:
        """Add the response time of an answer, in time or late."""
        if self._mean_s is None:
            self._mean_s, self._mean_deviation_s = took_s, took_s / 2
            return
        deviation_s = abs(took_s - self._mean_s)
        self._mean_deviation_s += DEVIATION_WEIGHT * (
            deviation_s - self._mean_deviation_s
        )
        self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
