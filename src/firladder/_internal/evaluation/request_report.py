"""Run sets of request policies under loads, and tabulate the outcomes."""

import dataclasses
import functools
import math
import random
import sys
from collections.abc import Iterator, Mapping, Sequence
from typing import TextIO

from ..models.configuration import Urgency
from ..policies.dispatching import DispatchPolicies, find_policies
from .requests import (
    CAPACITY_PER_S,
    GATEWAYS,
    MEAN_RUN_S,
    Arrival,
    Outcomes,
    RequestDriver,
)

LOAD_DURATION_S = 6.0
"""Simulated duration of each load: thirty mean run times."""

SEEDS = (1, 2)

POLICIES: Mapping[str, DispatchPolicies] = {
    "baseline": find_policies(
        admission="always", queue="fifo", routing="random", sharing="equal"
    ),
    "no admission": find_policies(admission="always"),
    "fifo queue": find_policies(queue="fifo"),
    "random routing": find_policies(routing="random"),
    "equal shares": find_policies(sharing="equal"),
    "firladder": find_policies(),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind, offered at ``load_factor`` times the capacity.

    With ``skewed`` seven of ten go to the first gateway and the rest to any. A share
    of ``long_share`` runs ten times as long as the others; a ``burst`` arrives at once.
    """

    load_factor: float
    urgency: Urgency = "normal"
    organisation: str = "kraftwerk"
    deadline_s: float = 2.0
    weight: int = 1
    skewed: bool = False
    long_share: float = 0.0
    burst: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A named load, with the numbers of slow and broken targets under it."""

    name: str
    streams: tuple[Stream, ...]
    slow: int = 0
    broken: int = 0
    recovers_at: float = math.inf
    callers_retry: bool = False


URGENT = Stream(0.05, "urgent", deadline_s=2.0)
LOADS = (
    Load("idle", (URGENT,)),
    Load(
        "saturated by batch",
        (URGENT, Stream(1.5, "overnight", "squads", deadline_s=60.0)),
    ),
    Load("capacity", (Stream(1.0),)),
    Load("twice capacity", (Stream(2.0),)),
    Load("all targets well", (Stream(0.6),)),
    Load("one slow target", (Stream(0.6),), slow=1),
    Load("light, all well", (Stream(0.25),)),
    Load("light, one slow", (Stream(0.25),), slow=1),
    Load("one broken target", (Stream(0.6),), broken=1),
    Load("a slow spell", (Stream(0.3, deadline_s=0.8),), slow=24, recovers_at=1.5),
    Load(
        "skewed organisations",
        (Stream(3.0, organisation="flood"), Stream(0.2, organisation="small")),
    ),
    Load("skewed gateways", (Stream(0.6, skewed=True),)),
    Load("long and short", (Stream(0.8, long_share=0.05, deadline_s=6.0),)),
    Load(
        "urgent flood",
        (
            Stream(1.3, "urgent", deadline_s=5.0),
            Stream(0.1, "overnight", "squads", deadline_s=60.0),
        ),
    ),
    Load(
        "burst that returns",
        (Stream(0.4, burst=True, organisation="crowd"), Stream(0.3)),
        callers_retry=True,
    ),
)


def make_arrivals(streams: Sequence[Stream], rng: random.Random) -> Iterator[Arrival]:
    """Yield the arrivals of all streams, each a Poisson process."""
    for stream in streams:
        rate = stream.load_factor * CAPACITY_PER_S
        if stream.long_share:
            rate /= 1 + 9 * stream.long_share
        now = 0.0
        while now < LOAD_DURATION_S:
            now += rng.expovariate(rate)
            long_ = rng.random() < stream.long_share
            yield Arrival(
                1.0 if stream.burst else now,
                stream.organisation,
                stream.urgency,
                MEAN_RUN_S * rng.uniform(0.5, 1.5) * (10 if long_ else 1),
                stream.deadline_s,
                0 if stream.skewed and rng.random() < 0.7 else rng.randrange(GATEWAYS),
                stream.weight,
            )


@functools.cache
def run_load(load: str, policies: str, seed: int) -> Outcomes:
    """Return the outcomes of one load under one set of policies."""
    load_entry = next(entry for entry in LOADS if entry.name == load)
    driver = RequestDriver(
        POLICIES[policies],
        seed=seed,
        slow=load_entry.slow,
        broken=load_entry.broken,
        recovers_at=load_entry.recovers_at,
        callers_retry=load_entry.callers_retry,
        load_end_s=LOAD_DURATION_S,
    )
    return driver.run(make_arrivals(load_entry.streams, random.Random(seed)))


def find_quantile(
    load: str,
    policies: str,
    urgency: Urgency,
    fraction: float,
    *,
    seeds: Sequence[int] = SEEDS,
) -> float:
    """Return the worst quantile of the completion times over the seeds, in seconds."""
    runs = (run_load(load, policies, seed) for seed in seeds)
    return max(r.find_quantile(urgency, fraction) for r in runs)


def measure_goodput(load: str, policies: str, *, seeds: Sequence[int] = SEEDS) -> float:
    """Return the mean rate of answers in time over the seeds, per second."""
    runs = [run_load(load, policies, seed) for seed in seeds]
    return sum(r.in_time_within_load for r in runs) / LOAD_DURATION_S / len(runs)


def measure_in_time(
    load: str, policies: str, organisation: str, *, seeds: Sequence[int] = SEEDS
) -> float:
    """Return the share of an organisation's requests that were answered in time."""
    runs = [run_load(load, policies, seed) for seed in seeds]
    offered = sum(r.offered[organisation] for r in runs)
    return sum(r.in_time[organisation] for r in runs) / offered


def _describe_row(load: Load, policies: str) -> str:
    runs = [run_load(load.name, policies, seed) for seed in SEEDS]
    offered = sum(r.offered.total() for r in runs)
    times = [
        f"{find_quantile(load.name, policies, load.streams[0].urgency, fraction):.2f}"
        for fraction in (0.5, 0.95, 0.99)
    ]
    cells = [
        load.name,
        policies,
        *times,
        f"{measure_goodput(load.name, policies):.0f}",
        f"{100 * sum(r.refused for r in runs) / offered:.1f}",
        f"{100 * sum(r.late for r in runs) / offered:.1f}",
        f"{100 * sum(r.failed.total() for r in runs) / offered:.1f}",
        *(
            f"{100 * measure_in_time(load.name, policies, o):.0f}"
            for o in (load.streams[0].organisation, load.streams[-1].organisation)
        ),
        f"{max(r.longest_wait_s for r in runs):.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


def print_requests_table(
    out: TextIO = sys.stdout, policies: Sequence[str] = tuple(POLICIES)
) -> None:
    """Print a row for each load and set of policies, in Markdown.

    The quantiles are of the load's first stream. The "first org." and "last org."
    columns give the share of requests in time for the organisations of the first and
    the last stream.
    """
    head = (
        "load",
        "policies",
        "median s",
        "p95 s",
        "p99 s",
        "in time/s",
        "refused %",
        "late %",
        "failed %",
        "first org. %",
        "last org. %",
        "longest wait s",
    )
    print("| " + " | ".join(head) + " |", file=out)
    print("| --- | --- |" + " ---: |" * (len(head) - 2), file=out)
    for load in LOADS:
        for name in policies:
            print(_describe_row(load, name), file=out)
