"""Run an urgent request and a gang on a small site, and print the results."""

import subprocess
import sys
import time

from .site import Layout, Site, call, wait_for

URGENT = {
    "organisation": "kraftwerk",
    "deadline_ms": 2000,
    "urgency": "urgent",
    "body": {"athlete": "a-17", "week": 31},
}
GANG = {
    "id": "season-block-7",
    "organisation": "squads",
    "members": 2,
    "accelerators": 8,
    "adjacency": "rack",
    "run_time_s": 3,
    "labels": {"kind": "season-block"},
}


def configure(site: Site) -> None:
    """Create two organisations with guaranteed shapes, a rule and worker labels."""
    domain = site.layout.domains[0]
    revision = site.configure(
        {
            "kind": "organisation",
            "name": "kraftwerk",
            "value": {"shape": [{"failure_domain": domain, "accelerators": 4}]},
        },
        {
            "kind": "organisation",
            "name": "squads",
            "value": {
                "shape": [{"failure_domain": d, "accelerators": 8}]
                if (d := site.layout.domains[1])
                else []
            },
        },
        {
            "kind": "labels",
            "name": f"worker.worker-{site.layout.domains[1]}-1-1",
            "value": {"values": {"pool": "night"}},
        },
        {
            "kind": "rule",
            "name": "season-blocks",
            "value": {"selects": "kind=season-block", "urgency": "overnight"},
        },
    )
    site.wait_until_in_force(revision)


def run_main_job(site: Site) -> None:
    """Send an urgent request, run a gang and print the outcome of each."""
    gateway = site.gateway()
    _, tickets = call(gateway, "POST", "/v1/tickets", {})
    req = {**URGENT, "id": tickets["ids"][0]}
    started = time.monotonic()
    status, answer = call(gateway, "POST", "/v1/services/planwerk/requests", req)
    spent_ms = (time.monotonic() - started) * 1000
    print(f"urgent request: {status} {answer['outcome']} in {spent_ms:.1f} ms")
    for domain in site.layout.domains:
        site.wait_for_leader(domain)
    status, job = call(gateway, "POST", "/v1/jobs", GANG)
    print(f"gang: {status} accepted for {job['failure_domain']}")
    path = f"/v1/jobs/{GANG['id']}"
    wait_for(
        lambda: call(gateway, "GET", path)[1]["state"] == "finished", 60, "the gang"
    )
    job = call(gateway, "GET", path)[1]
    print(f"gang: {job['outcome']} after attempt {job['attempt']}")


def show(site: Site) -> None:
    """Print the status, some metrics and the timeline of the gang."""
    gateway = site.gateway()
    command = [sys.executable, "-m", "firladder"]
    subprocess.run([*command, "status", f"--gateway={gateway}"], check=True)
    _, metrics = call(gateway, "GET", "/metrics")
    wanted = ("firladder_configuration_revision", "firladder_peers", "firladder_store")
    print("\n".join(x for x in str(metrics).splitlines() if x.startswith(wanted)))
    line = [*command, "timeline", f"--gateway={gateway}", f"--job={GANG['id']}"]
    subprocess.run(line, check=True)


def main() -> int:
    """Run the demo, then serve until Ctrl-C unless ``--once`` is given."""
    site = Site(Layout())
    try:
        site.start()
        configure(site)
        run_main_job(site)
        show(site)
        if "--once" not in sys.argv:
            print(f"running; try --gateway={site.gateway()}; Ctrl-C stops everything")
            while True:
                time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")
    finally:
        codes = site.stop()
        print(
            f"stopped: {len(codes)} processes, exit codes {sorted(set(codes.values()))}"
        )
    return 0 if set(codes.values()) == {0} else 1


if __name__ == "__main__":
    sys.exit(main())
