"""More than 500 tasks end on a runner while the platform's store is down."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import run_case
from rules import find_twice

JOB = "00000000000000a1"
TASKS = 700
WORK_S = 7.0
DOWN_S = 4.5


def case(site, trouble):
    """Run one wide job; with trouble, the store is down while its tasks end."""
    step = {"count": TASKS, "cpu": 40, "mem_mb": 16, "estimate_ms": 7000}
    body = {"spec": "digest", "steps": [step]}
    if not site.submit("log-ingest", JOB, body, work_s=WORK_S):
        return []
    site.wait_for(lambda: site.read_runners()[0]["begun"] >= 1, 10, "first start")
    began_at = time.monotonic()
    site.wait_for(
        lambda: site.read_runners()[0]["begun"] >= TASKS, 6, "all tasks started"
    )
    site.note(f"all started {time.monotonic() - began_at:.2f} s after the first")
    time.sleep(max(0.0, began_at + WORK_S - 0.3 - time.monotonic()))
    if trouble:
        site.note(f"the store is down for {DOWN_S} s")
        site.control("store", {"mode": "busy"})
        time.sleep(DOWN_S)
        site.control("store", {"mode": "up"})
        site.note("the store is back")
    end = time.monotonic() + 40
    while time.monotonic() < end:
        if site.read_state("log-ingest", JOB) == "completed":
            break
        time.sleep(0.5)
    time.sleep(1.0)
    site.note(f"state shown: {site.read_state('log-ingest', JOB, quiet=False)}")
    return find_twice(site.read_events())


if __name__ == "__main__":
    run_case(case, nodes=2, runners=1, queues=[("log-ingest", 2, 3)])
