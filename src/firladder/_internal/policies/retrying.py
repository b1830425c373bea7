"""Limit the retries of requests and spread them over time."""

import random

MAX_ATTEMPTS = 3
"""Maximum times that one request is sent, the first included."""

RETRY_RATIO = 0.1
RETRY_BURST = 10.0
"""Token bucket: each request earns a tenth of a retry, and at most ten are saved.
When everything fails, retries add 10% of load instead of tripling it."""

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff, which doubles with each retry. Immediate retries would all
reach the same overloaded or restarting target together."""


class RetryBudget:
    """Token bucket of the retries that this gateway may send."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = RETRY_BURST

    def earn(self) -> None:
        """Add the tokens that a new request earns."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_RATIO)

    def plan(
        self, *, tries: int, now: float, deadline: float, rng: random.Random
    ) -> float | None:
        """Return the seconds to wait before a retry, or None if there is none.

        ``tries`` is how often the request was sent so far.
        """
        longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** max(0, tries - 1))
        pause_s = rng.uniform(0, longest_s)
        if tries >= MAX_ATTEMPTS or now + pause_s >= deadline or self._tokens < 1:
            return None
        self._tokens -= 1
        return pause_s
