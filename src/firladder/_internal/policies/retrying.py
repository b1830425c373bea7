"""Limit and spread the repeated sending of requests."""

import random

MAX_ATTEMPTS = 3
"""Sends of one request at most."""

RETRY_RATIO = 0.1
RETRY_BURST = 10.0
"""Retries earn a tenth of a place with each request, ten at most are saved:
when everything fails, retries add 10% of load instead of tripling it."""

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
"""Bounds of the pause before a retry, doubled with each. Retries that go out
at once meet the same overloaded or restarting target, all together."""


class RetryBudget:
    """Retries that this gateway may still send."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = RETRY_BURST

    def earn(self) -> None:
        """Count a request that came in."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_RATIO)

    def plan(
        self, *, tries: int, now: float, deadline: float, rng: random.Random
    ) -> float | None:
        """Return after how many seconds to try again, or None if not at all."""
        longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** max(0, tries - 1))
        pause_s = rng.uniform(0, longest_s)
        if tries >= MAX_ATTEMPTS or now + pause_s >= deadline or self._tokens < 1:
            return None
        self._tokens -= 1
        return pause_s
