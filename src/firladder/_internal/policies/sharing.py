"""Divide the slots of each target among the gateways without central state."""

import functools
import hashlib
from collections.abc import Callable, Iterable, Mapping

from .registry import Registry

SharingPolicy = Callable[[Mapping[str, int], Mapping[str, int], str], dict[str, int]]
"""Map the slots of each target, the demand of each gateway and a gateway's name to
that gateway's share of each target."""

SHARINGS: Registry[SharingPolicy] = Registry("sharing policy")

RESERVED_SLOT_INTERVAL = 4
"""One slot in so many is reserved for idle gateways, spread over the targets: a burst
at an idle gateway starts at once and not a heartbeat later."""

MIN_SHARED_DEMAND_PER_SLOT = 0.5
"""Minimum demand, in requests per slot of a target, that is added in equal parts to
the demand of the busy gateways."""


@SHARINGS.register("equal")
def share_equally(
    targets: Mapping[str, int], demands: Mapping[str, int], me: str
) -> dict[str, int]:
    """Give every gateway the same share (baseline)."""
    return _split(targets, dict.fromkeys({*demands, me}, 1.0), me)


@SHARINGS.register("by_demand")
def share_by_demand(
    targets: Mapping[str, int], demands: Mapping[str, int], me: str
) -> dict[str, int]:
    """Give slots by demand, and reserve a few for idle gateways.

    This is for 7 to 9 gateways that share targets of 8 slots, with a different load
    on each. Fixed shares leave slots idle while requests wait elsewhere. Every
    gateway computes the shares from the same heartbeats. Until these have reached
    all, two gateways may use the same slot, and the target then queues a request for
    one run time, which is accepted.
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
    # An equal part is added to each demand: demand is known with a delay, and a
    # gateway just below its usual load would wait while slots are idle.
    slots = max(targets.values(), default=0)
    spare = max(slots * MIN_SHARED_DEMAND_PER_SLOT, sum(busy.values())) / len(busy)
    rest = {t: n - reserved[t] for t, n in targets.items()}
    return _split(rest, {g: w + spare for g, w in busy.items()}, me)


def _choose_reserve_holders(target: str, idle: Iterable[str], count: int) -> list[str]:
    return sorted(idle, key=lambda g: _hash(target, g))[:count]


def _split(
    targets: Mapping[str, int], weights: Mapping[str, float], me: str
) -> dict[str, int]:
    # Rounding down on every target would leave a gateway with a small share without
    # any slot. The rounding point differs by target, so that over all targets each
    # gateway gets its exact share.
    before = sum(w for g, w in weights.items() if g < me)
    total = sum(weights.values())
    low, high = before / total, (before + weights[me]) / total
    return {
        target: _round(slots * high, target) - _round(slots * low, target)
        for target, slots in targets.items()
    }


def _round(boundary: float, target: str) -> int:
    # The upper boundary of one gateway and the lower one of the next are the same
    # number computed in two ways; floating-point error must not separate them.
    return int(round(boundary, 6) + _hash(target, "") / 2**64)


@functools.lru_cache(maxsize=65536)
def _hash(target: str, gateway: str) -> int:
    data = f"{target}\0{gateway}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
