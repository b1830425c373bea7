"""A runner crashes and starts again under the id that it had."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import run_case
from rules import find_twice

BEFORE, AFTER = "00000000000000b1", "00000000000000b2"
RUNNERS = 10
TASKS = 10 * RUNNERS
DOWN_S = 1.0
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 6000,
    "max_hold_ms": 6000,
    "stop_grace_ms": 900,
    "gang_timeout_ms": 4000,
    "cancel_ms": 4000,
}


def wait_completed(site, job, within_s):
    """Wait until a job is shown as completed, for a limited time."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if site.read_state("index-refresh", job) == "completed":
            break
        time.sleep(0.2)
    return site.read_state("index-refresh", job, quiet=False)


def case(site, trouble):
    """Fill all runners twice; with trouble, one restarts in between."""
    step = {"count": TASKS, "cpu": 3200, "mem_mb": 512, "estimate_ms": 2000}
    body = {"spec": "refresh", "steps": [step]}
    if not site.submit("index-refresh", BEFORE, body, work_s=2.0):
        return []
    wait_completed(site, BEFORE, 15)
    site.wait_for(
        lambda: not any(r["ended"] for r in site.read_runners()), 10, "ends noted"
    )
    if trouble:
        site.note(f"runner 0 crashes, and starts again {DOWN_S} s later")
        site.control("crash", {"runner": 0})
        time.sleep(DOWN_S)
        site.control("begin", {"runner": 0, "same_id": True})
    time.sleep(4.0)
    if not site.submit("index-refresh", AFTER, body, work_s=2.0):
        return []
    wait_completed(site, AFTER, 40)
    time.sleep(1.0)
    return find_twice(site.read_events())


if __name__ == "__main__":
    run_case(
        case,
        nodes=2,
        runners=RUNNERS,
        born=True,
        queues=[("index-refresh", 2, 4)],
        bounds=BOUNDS,
    )
