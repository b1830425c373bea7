"""The simulated days, by name."""

import dataclasses
import functools
import random
from collections.abc import Callable, Sequence

from ..policies.registry import Registry
from .day_faults import (
    Burst,
    Cancels,
    Departures,
    FailingWorkers,
    Fault,
    Losses,
    Slowdown,
    StoreOutage,
    TakeOver,
    apply_faults,
)
from .day_jobs import Day, make_day
from .day_kinds import NARROW_RACKS, UNEVEN_POOL, VARIED_POOL, WIDE_RACKS, Deployment

DAYS: Registry[Callable[[int], Day]] = Registry("day")
"""Functions by name that make a day from a seed."""


@DAYS.register("steady")
def make_steady(seed: int) -> Day:
    """Return a day on which the pool has capacity for all arrivals."""
    return make_day(seed, WIDE_RACKS, burst_factor=1.0, initial_share=0.5)


@DAYS.register("urgent_burst")
def make_urgent_burst(seed: int) -> Day:
    """Return a day that begins with a full pool and a burst of urgent work."""
    return make_day(seed, WIDE_RACKS, rate_factor=1.2, burst_factor=2.2)


@DAYS.register("small_pool")
def make_small_pool(seed: int) -> Day:
    """Return a day on a pool of four racks, with a burst of urgent work."""
    deployment = dataclasses.replace(WIDE_RACKS, workers=48)
    return make_day(
        seed, deployment, rate_factor=0.28, burst_factor=2.0, initial_share=0.28
    )


@DAYS.register("workers_lost")
def make_workers_lost(seed: int) -> Day:
    """Return a day on a full pool on which one worker in ten is lost."""
    day = make_day(seed, WIDE_RACKS, burst_factor=1.5)
    rng = random.Random(seed)
    lost_ids = rng.sample([w.worker_id for w in day.workers], len(day.workers) // 10)
    return dataclasses.replace(day, lost=tuple((8.0, worker) for worker in lost_ids))


@DAYS.register("overload")
def make_overload(seed: int) -> Day:
    """Return a day on a large pool with more lower-priority work than it can run."""
    return make_day(seed, NARROW_RACKS, burst_factor=2.2)


@DAYS.register("small_overload")
def make_small_overload(seed: int) -> Day:
    """Return a day of the same overload on a pool of ten racks."""
    deployment = dataclasses.replace(NARROW_RACKS, workers=80)
    return make_day(
        seed, deployment, rate_factor=0.3, burst_factor=2.2, initial_share=0.3
    )


@DAYS.register("uneven")
def make_uneven(seed: int) -> Day:
    """Return a day on a pool of which a third is slow and a third is fast."""
    return make_day(seed, UNEVEN_POOL, burst_factor=1.0, initial_share=0.5)


@DAYS.register("small_uneven")
def make_small_uneven(seed: int) -> Day:
    """Return a day on four racks of the same pool."""
    deployment = dataclasses.replace(UNEVEN_POOL, workers=80)
    return make_day(
        seed, deployment, rate_factor=0.45, burst_factor=1.0, initial_share=0.23
    )


@DAYS.register("uneven_burst")
def make_uneven_burst(seed: int) -> Day:
    """Return a day on the same pool, full, that begins with a burst of urgent work."""
    return make_day(seed, UNEVEN_POOL, rate_factor=1.5, burst_factor=2.2)


@DAYS.register("varied")
def make_varied(seed: int) -> Day:
    """Return a day with varying rates, on small racks of which a third are slow."""
    return make_day(seed, VARIED_POOL, burst_factor=1.0, initial_share=0.5)


@DAYS.register("varied_burst")
def make_varied_burst(seed: int) -> Day:
    """Return a day on the same pool, full, that begins with a burst of urgent work."""
    return make_day(seed, VARIED_POOL, burst_factor=2.2)


FAULTS: dict[str, tuple[Fault, ...]] = {
    "slowed": (Slowdown(8.0),),
    "failing": (FailingWorkers(8.0),),
    "drained": (Departures(8.0),),
    "lossy": (Losses(8.0),),
    "cancelled": (Cancels(),),
    "store_away": (StoreOutage(8.0),),
    "taken_over": (TakeOver(8.0),),
}
"""Single faults by the name of their day; they begin after the first arrivals."""


def _register_faults(prefix: str, deployment: Deployment) -> None:
    """Register a day for each fault, and one with all of them."""
    single: dict[str, tuple[Fault, ...]]
    single = {**FAULTS, "heavy_burst": (Burst(8.0, deployment),)}
    troubled: tuple[Fault, ...] = (
        Slowdown(4.0),
        Burst(8.0, deployment),
        FailingWorkers(9.0),
        Departures(12.0),
        StoreOutage(15.0),
        Losses(21.0, share=0.03),
        TakeOver(22.0),
        Cancels(),
    )
    for name, faults in {**single, "troubled": troubled}.items():
        make = functools.partial(_make_faulty_day, deployment, faults)
        DAYS.register(f"{prefix}_{name}")(make)


def _make_faulty_day(deployment: Deployment, faults: Sequence[Fault], seed: int) -> Day:
    day = make_day(seed, deployment, burst_factor=1.0, initial_share=0.5)
    return apply_faults(day, faults, seed)


_register_faults("uneven", UNEVEN_POOL)
_register_faults("varied", VARIED_POOL)
