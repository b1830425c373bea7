"""Share the slots of each target among gateways, without a central counter."""

import functools
import hashlib
from collections.abc import Callable, Iterable, Mapping

from .registry import Registry

SharingPolicy = Callable[[Mapping[str, int], Mapping[str, int], str], dict[str, int]]
"""From the slots of each target, the demand of each gateway and one's own name
to one's own share of each target."""

SHARINGS: Registry[SharingPolicy] = Registry("sharing policy")

RESERVED_SLOT_INTERVAL = 4
"""One slot in so many is kept for gateways without demand, spread over the
targets: a burst at an idle gateway starts at once, not a heartbeat later."""

MIN_SHARED_DEMAND_PER_SLOT = 0.5
"""Requests for each slot of a target that are shared out equally at least."""


@SHARINGS.register("equal")
def share_equally(
    targets: Mapping[str, int], demands: Mapping[str, int], me: str
) -> dict[str, int]:
    """Give every gateway the same: the baseline."""
    return _split(targets, dict.fromkeys({*demands, me}, 1.0), me)


@SHARINGS.register("by_demand")
def share_by_demand(
    targets: Mapping[str, int], demands: Mapping[str, int], me: str
) -> dict[str, int]:
    """Give slots by demand, and keep a few for gateways without any.

    Made for 7 to 9 gateways that share targets of 8 slots, where the balancer
    sends each a different load. Fixed shares leave slots idle while requests
    wait elsewhere. Every gateway works this out from the same heartbeats;
    while they are on their way two gateways may count one slot twice, and the
    target then queues a request for one run time: the harm that is accepted.
    """
    known = {me: 0, **demands}
    idle = [g for g, demand in known.items() if demand <= 0]
    busy = {g: float(d) for g, d in known.items() if d > 0}
    if not busy:
        return share_equally(targets, known, me)
    reserved = {
        t: min(len(idle), n // RESERVED_SLOT_INTERVAL) for t, n in targets.items()
    }
    if me not in busy:
        return {
            t: int(me in _choose_reserve_holders(t, idle, n))
            for t, n in reserved.items()
        }
    # An equal part on top of the demand: demand is told with a delay, and a
    # gateway just below its usual load would wait beside idle slots.
    slots = max(targets.values(), default=0)
    spare = max(slots * MIN_SHARED_DEMAND_PER_SLOT, sum(busy.values())) / len(busy)
    rest = {t: n - reserved[t] for t, n in targets.items()}
    return _split(rest, {g: w + spare for g, w in busy.items()}, me)


def _choose_reserve_holders(target: str, idle: Iterable[str], count: int) -> list[str]:
    return sorted(idle, key=lambda g: _hash(target, g))[:count]


def _split(
    targets: Mapping[str, int], weights: Mapping[str, float], me: str
) -> dict[str, int]:
    # Rounding down on every target alike would leave a small gateway without a
    # slot anywhere. The rounding point is different on each target, so that
    # over all targets each gateway gets its exact part.
    before = sum(w for g, w in weights.items() if g < me)
    total = sum(weights.values())
    low, high = before / total, (before + weights[me]) / total
    return {
        target: _round(slots * high, target) - _round(slots * low, target)
        for target, slots in targets.items()
    }


def _round(boundary: float, target: str) -> int:
    # The marks of neighbours are the same number worked out in two ways; the
    # last digits must not decide.
    return int(round(boundary, 6) + _hash(target, "") / 2**64)


@functools.lru_cache(maxsize=65536)
def _hash(target: str, gateway: str) -> int:
    data = f"{target}\0{gateway}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
