"""A runner fails everything that it runs, two dozen tasks at once."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import run_case
from rules import find_idle_job

QUEUE, JOB = "log-ingest", "00000000000000a1"
RUNNERS = 12
TASKS = 24
WORK_S = 4.0
WATCH_S = 60.0


def case(site, trouble):
    """Run one job; with trouble, one runner fails all its tasks, once."""
    step = {"count": TASKS, "cpu": 1000, "mem_mb": 512, "estimate_ms": 4000}
    body = {"spec": "digest", "steps": [step]}
    if not site.submit(QUEUE, JOB, body, work_s=WORK_S):
        return []
    site.wait_for(
        lambda: sum(len(r["runs"]) for r in site.read_runners()) == TASKS,
        10,
        "all tasks started",
    )
    time.sleep(2.0)
    if trouble:
        tasks = [len(r["runs"]) for r in site.read_runners()]
        number = tasks.index(max(tasks))
        site.note(f"runner {number} fails the {tasks[number]} tasks that it runs")
        site.control("fail", {"runner": number})
    samples = []
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        state = site.read_state(QUEUE, JOB)
        running = sum(len(r["runs"]) for r in site.read_runners())
        samples.append((time.monotonic(), state, running))
        if state in ("completed", "failed", "cancelled"):
            break
        time.sleep(0.25)
    site.note(f"state shown: {site.read_state(QUEUE, JOB, quiet=False)}")
    site.note(f"tasks running: {[len(r['runs']) for r in site.read_runners()]}")
    return find_idle_job(samples, site.read_events(), JOB, tasks=TASKS, attempts=3)


if __name__ == "__main__":
    run_case(case, nodes=2, runners=RUNNERS, queues=[(QUEUE, 2, 3)])
