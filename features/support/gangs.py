"""Check gangs against the merged histories of all workers."""

import itertools
import time
from collections.abc import Iterable
from typing import Any

from standins.site import Site, call


def list_histories(site: Site) -> list[dict[str, Any]]:
    """Return the history of every worker of the site."""
    workers = [m for m in site.machines if m["role"] == "worker"]
    return [call(m["address"], "GET", "/control/history")[1] for m in workers]


def list_intervals(histories: Iterable[dict[str, Any]], job: str) -> list[dict]:
    """Return the runs of a job's members; one that still runs ends now."""
    now = time.time()
    merged = itertools.chain.from_iterable(h["intervals"] for h in histories)
    return [{**i, "end": i["end"] or now} for i in merged if i["job"] == job]


def measure_partial_run(intervals: list[dict]) -> float:
    """Return the longest time, in seconds, for which an attempt ran partially.

    A member that is done counts as running: the others may end a little later.
    """
    attempts = {i["attempt"] for i in intervals}
    parts = [[i for i in intervals if i["attempt"] == a] for a in attempts]
    return max((_measure_attempt(part) for part in parts), default=0.0)


def _measure_attempt(intervals: list[dict]) -> float:
    moments = sorted({t for i in intervals for t in (i["start"], i["end"])})
    longest = partial_s = 0.0
    for begin, end in itertools.pairwise(moments):
        running = sum(i["start"] <= begin < i["end"] for i in intervals)
        done = sum(i["state"] == "done" and i["end"] <= begin for i in intervals)
        partial = running > 0 and running + done < intervals[0]["gang_size"]
        partial_s = partial_s + end - begin if partial else 0.0
        longest = max(longest, partial_s)
    return longest


def find_overlap(intervals: list[dict]) -> tuple[dict, dict] | None:
    """Return two overlapping runs of different attempts of one job, or None."""
    pairs = itertools.combinations(intervals, 2)
    return next(
        (
            (a, b)
            for a, b in pairs
            if a["attempt"] != b["attempt"]
            and a["start"] < b["end"]
            and b["start"] < a["end"]
        ),
        None,
    )
