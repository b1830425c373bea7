"""Choose the target of a request, and detect slow and failing targets."""

import dataclasses
import math
import random
import statistics
from collections.abc import Callable, Iterable, Sequence

from .registry import Registry
from .request_views import TargetView

RoutingPolicy = Callable[[Sequence[TargetView], float, random.Random], str | None]

ROUTINGS: Registry[RoutingPolicy] = Registry("routing policy")

INITIAL_LATENCY_S = 0.02
LATENCY_WEIGHT = 0.2

FAILURES_TO_PAUSE = 3
"""Consecutive failures after which a target is paused."""

SLOW_FACTOR = 3.0
"""Multiple of the median latency above which a target is paused. Below it, sending
fewer requests at a time is enough; run times of one service differ by a factor of
two anyway."""

LATENCY_HALF_LIFE_S = 1.0
"""Seconds without an answer after which a target's latency counts half."""

MIN_SAMPLES_TO_JUDGE = 3
"""Answers needed from a target before it can be classed as slow."""

INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 15.0
"""Bounds of the pause before a single probe is sent to a failed or slow target. The
pause doubles each time, so that a bad target costs callers next to nothing and a
healthy one is back within seconds."""


@dataclasses.dataclass(slots=True)
class TargetStats:
    """Latency and failures of a target, seen by one gateway; times are monotonic."""

    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    failures: int = 0
    pauses: int = 0
    retry_at: float = 0.0
    answered_at: float = 0.0
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def on_probe(self) -> bool:
        """Return whether only single probes may be sent to the target."""
        return self.pauses > 0

    def record_sent(self, request_id: str, now: float) -> None:
        """Record a request as in flight."""
        self.sent_at[request_id] = now

    def record_end(self, request_id: str) -> None:
        """Record that a request ended, with whatever outcome."""
        self.sent_at.pop(request_id, None)

    def record_success(self, latency_s: float, now: float, typical_s: float) -> None:
        """Record an answer; ``typical_s`` is the median latency of all targets."""
        self.failures = 0
        if self.samples == 0 or self.on_probe:
            # A probe replaces the average: old slow answers would keep a target
            # that has recovered paused.
            self.latency_s = latency_s
        else:
            weight = max(LATENCY_WEIGHT, 1 - self._measure_freshness(now))
            self.latency_s += weight * (latency_s - self.latency_s)
        self.samples += 1
        self.answered_at = now
        slow = self.latency_s > SLOW_FACTOR * typical_s
        if slow and self.samples >= MIN_SAMPLES_TO_JUDGE:
            self._pause(now)
        else:
            self.pauses = 0
            self.retry_at = 0.0

    def estimate_latency(self, now: float, typical_s: float) -> float:
        """Return the expected latency, given the median of all targets.

        A target that was slow for a moment, but not slow enough to be paused, would
        lose to the others for ever: without requests its latency is not measured again.
        So it fades with its age, until the target is preferred for a request.
        """
        faded_s = self.latency_s * self._measure_freshness(now)
        return max(faded_s, min(self.latency_s, typical_s / 2))

    def _measure_freshness(self, now: float) -> float:
        """Return how much the latency still counts: 1 after an answer, then less."""
        age_s = max(0.0, now - self.answered_at)
        return math.exp2(-age_s / LATENCY_HALF_LIFE_S)

    def record_failure(self, now: float) -> None:
        """Record a failure, and pause the target after several in a row."""
        self.failures += 1
        if self.failures >= FAILURES_TO_PAUSE:
            self._pause(now)

    def _pause(self, now: float) -> None:
        if now < self.retry_at:
            return  # one pause for all failures of requests in flight together
        pause_s = INITIAL_PAUSE_S * 2 ** min(self.pauses, 10)
        self.retry_at = now + min(MAX_PAUSE_S, pause_s)
        self.pauses += 1

    def find_oldest_age(self, now: float) -> float:
        """Return the age of the oldest request in flight."""
        first = next(iter(self.sent_at.values()), now)
        return now - first


def find_typical_latency(stats: Iterable[TargetStats]) -> float:
    """Return the median latency over the targets that have answered."""
    seen = [s.latency_s for s in stats if s.samples]
    return statistics.median(seen) if seen else INITIAL_LATENCY_S


@ROUTINGS.register("random")
def route_randomly(
    targets: Sequence[TargetView], now: float, rng: random.Random
) -> str | None:
    """Return a random target with a free slot (baseline)."""
    available = [t for t in targets if t.has_free_slot]
    return rng.choice(available).name if available else None


@ROUTINGS.register("two_choices")
def route_two_choices(
    targets: Sequence[TargetView], now: float, rng: random.Random
) -> str | None:
    """Return the better of two random targets with a free slot.

    This handles one slow or failing target among many. Always choosing the best one
    would send the bursts of all gateways to the same target; two random choices
    spread them almost as evenly as full knowledge would. The age of the oldest
    request in flight shows a slow target before any answer does.
    """
    open_targets = [t for t in targets if t.has_free_slot and t.retry_at <= now]
    if not open_targets:
        return None
    pair = rng.sample(open_targets, min(2, len(open_targets)))
    best = min(pair, key=lambda t: (t.in_flight + 1) * max(t.latency_s, t.oldest_s))
    return best.name
