"""Run policies over loads with the same seeds, and tabulate the outcomes."""

import dataclasses
from collections.abc import Iterable, Sequence

from ..policies.placement_catalogue import PLACEMENTS
from .driver import Driver, Trace
from .fleet_metrics import find_percentile, measure_blocked, measure_fragmentation
from .loads import ACCELERATORS_PER_WORKER, LOADS, make_organisations


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one policy under one load, over all seeds.

    Waits are in seconds and include the time of runs whose work was lost;
    ``small_p50`` to ``urgent_p99`` are completion times. A job is owned if its
    organisation has a cell that it fits.
    """

    load: str
    policy: str
    large_wait_p50: float
    large_wait_p95: float
    owned_wait_p95: float
    small_p50: float
    small_p95: float
    urgent_p50: float
    urgent_p99: float
    fragmentation: float
    blocked: float
    lost: float
    reclaims: int
    failures: int
    unfinished: int
    unfairness: float


def evaluate(
    load: str, policy: str, *, seeds: Sequence[int], racks: Sequence[int]
) -> Outcome:
    """Run one policy under one load for all seeds and sizes, and pool the jobs."""
    chosen, make = PLACEMENTS.find(policy), LOADS.find(load)
    if chosen is None or make is None:
        raise ValueError(f"no load {load!r} or policy {policy!r}")
    drivers = [
        Driver(chosen, make(seed, size)).run() for seed in seeds for size in racks
    ]
    traces = [t for d in drivers for t in d.traces.values() if t.end != "cancelled"]
    large = [t for t in traces if t.size >= ACCELERATORS_PER_WORKER]
    small = [t for t in traces if t.size < ACCELERATORS_PER_WORKER]
    urgent = [t for t in traces if t.arrival.spec.urgency == "urgent"]
    waits = [find_delay(t) for t in large]
    owned = [find_delay(t) for t in large if is_owned(t)]
    return Outcome(
        load=load,
        policy=policy,
        large_wait_p50=find_percentile(waits, 0.5),
        large_wait_p95=find_percentile(waits, 0.95),
        owned_wait_p95=find_percentile(owned, 0.95),
        small_p50=find_percentile(map(find_completion, small), 0.5),
        small_p95=find_percentile(map(find_completion, small), 0.95),
        urgent_p50=find_percentile(map(find_completion, urgent), 0.5),
        urgent_p99=find_percentile(map(find_completion, urgent), 0.99),
        fragmentation=_mean(measure_fragmentation(d.samples) for d in drivers),
        blocked=_mean(
            measure_blocked(d.samples, _find_last_arrival(d)) for d in drivers
        ),
        lost=sum(t.lost for t in traces),
        reclaims=sum(t.guaranteed for t in traces),
        failures=sum(len(d.list_reclaim_failures()) for d in drivers),
        unfinished=sum(t.end != "done" for t in traces),
        unfairness=_mean(map(measure_unfairness, drivers)),
    )


def is_owned(trace: Trace) -> bool:
    """Return whether the whole gang fits the organisation's largest cell."""
    return trace.size <= LARGEST_CELLS.get(trace.arrival.spec.organisation, 0)


LARGEST_CELLS = {
    name: max((cell.accelerators for cell in organisation.shape), default=0)
    for name, organisation in make_organisations(1).items()
}


def find_completion(trace: Trace) -> float:
    """Return the time from a job's arrival to its end."""
    if trace.ended_at is None:
        return float("inf")
    return trace.ended_at - trace.arrival.at


def find_delay(trace: Trace) -> float:
    """Return the time that a job waited, lost runs included."""
    if trace.ended_at is None:
        return float("inf")
    return max(0.0, trace.ended_at - trace.arrival.at - trace.arrival.run_s)


def measure_unfairness(driver: Driver) -> float:
    """Return the ratio of the largest mean delay of an organisation to the smallest."""
    means = []
    for name in {t.arrival.spec.organisation for t in driver.traces.values()}:
        delays = [
            find_delay(t)
            for t in driver.traces.values()
            if t.arrival.spec.organisation == name and t.end == "done"
        ]
        means.append(sum(delays) / max(1, len(delays)))
    return max(means) / max(60.0, min(means))


def _find_last_arrival(driver: Driver) -> float:
    return max(t.arrival.at for t in driver.traces.values())


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / max(1, len(found))


HEADINGS = (
    "load | policy | large wait p50 | large wait p95 | owners' large wait p95 | "
    "small p50 | small p95 | urgent p50 | urgent p99 | fragmentation | "
    "large blocked | lost acc-s | reclaims | failed | not done | unfairness"
)


def format_table(outcomes: Iterable[Outcome]) -> str:
    """Return the outcomes as a table in Markdown."""
    columns = HEADINGS.count("|") + 1
    rows = [f"| {HEADINGS} |", "|" + " --- |" * columns]
    rows += [
        "| " + " | ".join(map(_format_cell, dataclasses.astuple(o))) + " |"
        for o in outcomes
    ]
    return "\n".join(rows) + "\n"


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.0f}" if value >= 20 else f"{value:.3g}"
    return str(value)
