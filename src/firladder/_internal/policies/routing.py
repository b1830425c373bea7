"""Choose the target of a request, and learn which targets are slow or failing."""

import dataclasses
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
"""Failures in a row after which a target is left alone for a while."""

SLOW_FACTOR = 3.0
"""How many times the median latency a target may take before it is left. Under
it, fewer requests at a time are remedy enough; run times of one service differ
by a factor of two anyway."""

MIN_SAMPLES_TO_JUDGE = 3
"""Answers of a target before it can be called slow."""

INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 15.0
"""Bounds of the pause before a single probing request goes to a target that
failed or is slow; doubled with every further one, so that a bad target costs
callers next to nothing and a healthy one is back within seconds."""


@dataclasses.dataclass(slots=True)
class TargetStats:
    """What one gateway has learnt of one target. Times are monotonic seconds."""

    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    failures: int = 0
    pauses: int = 0
    retry_at: float = 0.0
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def on_probe(self) -> bool:
        """Tell whether only single probing requests may go there."""
        return self.pauses > 0

    def record_sent(self, request_id: str, now: float) -> None:
        """Count a request in."""
        self.sent_at[request_id] = now

    def record_end(self, request_id: str) -> None:
        """Count a request out, however it ended."""
        self.sent_at.pop(request_id, None)

    def record_success(self, latency_s: float, now: float, typical_s: float) -> None:
        """Learn from an answer; ``typical_s`` is the median of all targets."""
        self.failures = 0
        if self.samples == 0 or self.on_probe:
            # A probe's latency counts whole: an average over old slow answers
            # would keep a recovered target out.
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.samples += 1
        slow = self.latency_s > SLOW_FACTOR * typical_s
        if slow and self.samples >= MIN_SAMPLES_TO_JUDGE:
            self._pause(now)
        else:
            self.pauses = 0
            self.retry_at = 0.0

    def record_failure(self, now: float) -> None:
        """Learn from a failure, and leave a target that only fails."""
        self.failures += 1
        if self.failures >= FAILURES_TO_PAUSE:
            self._pause(now)

    def _pause(self, now: float) -> None:
        if now < self.retry_at:
            return  # one pause for all that were in flight together
        pause_s = INITIAL_PAUSE_S * 2 ** min(self.pauses, 10)
        self.retry_at = now + min(MAX_PAUSE_S, pause_s)
        self.pauses += 1

    def find_oldest_age(self, now: float) -> float:
        """Return the age of the oldest request in flight."""
        first = next(iter(self.sent_at.values()), now)
        return now - first


def find_typical_latency(scores: Iterable[TargetStats]) -> float:
    """Return the median latency over the targets that have answered."""
    seen = [s.latency_s for s in scores if s.samples]
    return statistics.median(seen) if seen else INITIAL_LATENCY_S


@ROUTINGS.register("random")
def route_randomly(
    targets: Sequence[TargetView], now: float, rng: random.Random
) -> str | None:
    """Return any target that has room: the baseline."""
    available = [t for t in targets if t.has_room]
    return rng.choice(available).name if available else None


@ROUTINGS.register("two_choices")
def route_two_choices(
    targets: Sequence[TargetView], now: float, rng: random.Random
) -> str | None:
    """Return the better of two random targets that have room.

    Made for one slow or failing target among many. Always choosing the
    best-looking one would send every gateway's burst to the same target at
    once; two choices spread it almost as evenly as full knowledge would. A
    request in flight for long counts at once, before any answer tells that
    its target has become slow.
    """
    open_targets = [t for t in targets if t.has_room and t.retry_at <= now]
    if not open_targets:
        return None
    pair = rng.sample(open_targets, min(2, len(open_targets)))
    best = min(pair, key=lambda t: (t.in_flight + 1) * max(t.latency_s, t.oldest_s))
    return best.name
