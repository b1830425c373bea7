"""A zone loses power for a moment, and jobs are handed in meanwhile."""

import collections
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import run_case

QUEUE, ATTEMPTS = "log-ingest", 3
ZONES = ["bern-halle", "olten-halle", "aarau-halle"]
RUNNERS, IN_ZONE = 60, 20
JOBS = [f"00000000000000d{n:x}" for n in range(12)]
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 6000,
    "drain_ms": 3000,
    "max_hold_ms": 6000,
    "stop_grace_ms": 400,
    "gang_timeout_ms": 4000,
    "cancel_ms": 4000,
    "restore_ms": 250,
    "reclaim_ms": 2900,
}
WHOLE = {"cpu": 32000, "mem_mb": 512, "estimate_ms": 4000}


def case(site, trouble):
    """Hand jobs in for the zone that has room; with trouble, it has no power."""
    site.wait_for(lambda: site.find_leader() is not None, 10, "a leader")
    leader = site.find_leader()
    lost = next(n for n in range(3) if n != leader)
    fill_others(site, lost)
    if trouble:
        cut_power(site, lost)
    accepted = [
        job
        for job in JOBS
        if site.submit(
            QUEUE,
            job,
            {"spec": "sound", "steps": [{"count": 1, **WHOLE}]},
            work_s=4.0,
            node=leader,
        )
    ]
    if trouble:
        restore_power(site, lost)
    states = {}
    end = time.monotonic() + 40
    while time.monotonic() < end and len(states) < len(accepted):
        for job in accepted:
            state = site.read_state(QUEUE, job, node=leader)
            if state in ("completed", "failed"):
                states[job] = state
        time.sleep(0.2)
    for job in accepted:
        site.read_state(QUEUE, job, node=leader, quiet=False)
    return find_false_failures(site.read_events(), states)


def fill_others(site, lost):
    """Let other work fill the runners of the other zones."""
    for zone in (n for n in range(3) if n != lost):
        step = {"count": IN_ZONE, "affinity": f"r1-{zone}", **WHOLE}
        body = {"spec": "full", "steps": [step]}
        site.submit(QUEUE, f"00000000000000f{zone}", body, work_s=100.0)
    site.wait_for(lambda: count_running(site) == 2 * IN_ZONE, 10, "full zones")


def count_running(site):
    """Return how many tasks run on all runners."""
    return sum(len(r["runs"]) for r in site.read_runners())


def list_zone(zone):
    """Return the numbers of the runners in a zone."""
    return [n for n in range(RUNNERS) if n % 3 == zone]


def cut_power(site, zone):
    """Cut the power of a zone's runners and of its node."""
    site.note(f"zone {ZONES[zone]} loses power: runners {list_zone(zone)}, node {zone}")
    site.control("power", {"runners": list_zone(zone)})
    site.send_signal(zone, "SIGKILL")
    site.down_at = time.monotonic()


def restore_power(site, zone):
    """Let the machines come back, one after the other, within 1.5 s of the cut."""
    delays = sorted((random.uniform(0.4, 1.4), n) for n in list_zone(zone))
    for delay_s, number in delays:
        time.sleep(max(0.0, site.down_at + delay_s - time.monotonic()))
        site.note(f"runner {number} is back")
        site.control("begin", {"runner": number, "same_id": False})
    site.start_node(zone)


def find_false_failures(events, states):
    """Return the jobs that are shown as failed without cause, by the rule LOST.

    Only ends ``failed`` count as attempts. How often a task had begun is told, too.
    """
    begun = collections.Counter(
        e["task"].partition(".")[0] for e in events if e["what"] == "start"
    )
    failed = collections.Counter(
        e["task"].partition(".")[0]
        for e in events
        if e["what"] == "end" and e["how"] == "failed"
    )
    return [
        f"LOST: job {job} is shown as failed; its task has begun {begun[job]} times, "
        f"and {failed[job]} of {ATTEMPTS} runs have ended failed"
        for job, state in states.items()
        if state == "failed" and failed[job] < ATTEMPTS
    ]


if __name__ == "__main__":
    run_case(
        case,
        nodes=3,
        runners=RUNNERS,
        queues=[(QUEUE, 2, ATTEMPTS)],
        zones=ZONES,
        bounds=BOUNDS,
    )
