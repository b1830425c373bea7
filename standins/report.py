"""Measure latency, resource limits and configuration delay for the docs.

``python -m standins.report latency ceilings configuration`` replaces those
sections of ``docs/measurements.md`` and leaves the rest of the page unchanged.
"""

import argparse
import http.client
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path

from hdrh.histogram import HdrHistogram

from firladder._internal.measure.pages import replace_section

from .many_workers import ManyWorkersSite
from .measure import run_site
from .probe import (
    count_new_bytes,
    read_processor_s,
    read_resident_mb,
    read_socket_bytes,
)
from .site import ROOT, Layout, Site, call, wait_for

REQUEST_PAIRS = 1500
CONFIGURATION_CHANGES = 30
WINDOW_S = 15.0
GANG_SIZE = 128
LOADED_WORKERS = 217
LOADED_TASKS = 3200

CEILINGS = "at most 4.3% of a core, 64 MB, 15 KB/s"


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)


class _Caller:
    """A client with one persistent connection, as a load balancer has."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._connection = http.client.HTTPConnection(host, int(port), timeout=10)

    def post(self, path: str, body: bytes, headers: dict[str, str]) -> int:
        """Send a POST and return the microseconds until the response was read."""
        started = time.perf_counter_ns()
        self._connection.request("POST", path, body=body, headers=headers)
        resp = self._connection.getresponse()
        resp.read()
        assert resp.status == 200, resp.status
        return (time.perf_counter_ns() - started) // 1000


def measure_latency() -> str:
    """Report added latency and idle memory on a site of three failure domains."""
    site = Site(Layout(domains=("bern-halle", "olten-halle", "aarau-halle")))
    try:
        site.start()
        site.configure({"kind": "organisation", "name": "kraftwerk", "value": {}})
        for domain in site.layout.domains:
            site.wait_for_leader(domain)
        time.sleep(3)
        memory = {
            role: [
                read_resident_mb(site.child(n).process.pid)
                for n in site.fabric
                if n.endswith(role)
            ]
            for role in ("gateway", "scheduler")
        }
        direct, through, added = _measure_pairs(site)
    finally:
        site.stop()
    rows = [
        f"| {name} | {found.get_value_at_percentile(50) / 1000:.2f} "
        f"| {found.get_value_at_percentile(99) / 1000:.2f} |"
        for name, found in (
            ("target called directly", direct),
            ("through a gateway", through),
            ("difference within a pair", added),
        )
    ]
    lines = [
        f"One request, {REQUEST_PAIRS} pairs in one run, alternately; "
        "the target takes 5 ms.",
        "",
        "| ms | median | 99th percentile |",
        "| --- | --- | --- |",
        *rows,
        "",
        "| resident MB at idle | least | most | processes |",
        "| --- | --- | --- | --- |",
        *(
            f"| {role} | {min(found):.1f} | {max(found):.1f} | {len(found)} |"
            for role, found in memory.items()
        ),
    ]
    return "\n".join(lines)


def _measure_pairs(site: Site) -> tuple[HdrHistogram, HdrHistogram, HdrHistogram]:
    target = site.addresses[f"runner-{site.layout.domains[0]}-1"]
    direct_caller, gateway_caller = _Caller(target), _Caller(site.gateway())
    direct, through, added = (_make_histogram() for _ in range(3))
    payload = {"athlete": "a-17", "week": 31}
    req = {
        "organisation": "kraftwerk",
        "deadline_ms": 5000,
        "urgency": "urgent",
        "idempotent": True,
        "body": payload,
    }
    raw, wrapped = json.dumps(payload).encode(), json.dumps(req).encode()
    path = "/v1/services/planwerk/requests"
    kind = {"Content-Type": "application/json"}
    for number in range(REQUEST_PAIRS):
        headers = {**kind, "X-Request-Id": f"direct-{number}"}
        direct_us = direct_caller.post("/planwerk", raw, headers)
        gateway_us = gateway_caller.post(path, wrapped, kind)
        direct.record_value(direct_us)
        through.record_value(gateway_us)
        added.record_value(max(1, gateway_us - direct_us))
    return direct, through, added


def _measure_usage(site: Site, name: str) -> tuple[float, float, float]:
    pid = site.child(name).process.pid
    spent, sockets = read_processor_s(pid), read_socket_bytes(pid)
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started
    return (
        (read_processor_s(pid) - spent) * 100 / elapsed_s,
        read_resident_mb(pid),
        count_new_bytes(sockets, read_socket_bytes(pid)) / elapsed_s / 1000,
    )


def _format_usage(label: str, found: tuple[float, float, float]) -> str:
    limits = (4.3, 64.0, 15.0)
    cells = (
        f"{value:.1f}{'' if value <= limit else ' (over)'}"
        for value, limit in zip(found, limits, strict=True)
    )
    return f"| {label} | {' | '.join(cells)} |"


def measure_ceilings() -> str:
    """Report the use of idle and loaded daemons against the three ceilings."""
    idle = run_site(ManyWorkersSite(workers=8, entry_vms=3), _measure_idle)
    loaded = run_site(
        ManyWorkersSite(workers=LOADED_WORKERS, entry_vms=3), _measure_loaded
    )
    lines = [
        f"Ceilings for control: {CEILINGS}. One failure domain of three entry VMs, "
        "default settings.",
        "Idle: 8 workers, no tasks. Loaded: "
        f"{LOADED_WORKERS} workers, {LOADED_TASKS} tasks running "
        f"in gangs of {GANG_SIZE}.",
        "",
        "| daemon | % of a core | resident MB | KB/s, all connections |",
        "| --- | --- | --- | --- |",
        *(_format_usage(f"{label}, idle", found) for label, found in idle.items()),
        *(_format_usage(f"{label}, loaded", found) for label, found in loaded.items()),
    ]
    return "\n".join(lines)


def _measure_idle(site: ManyWorkersSite) -> dict[str, tuple[float, float, float]]:
    leader = site.find_leader()
    site.wait_until_claimed(leader)
    time.sleep(3)
    standby = next(n for n in site.fabric if n.endswith("/scheduler") and n != leader)
    return {
        "leader": _measure_usage(site, leader),
        "standby scheduler": _measure_usage(site, standby),
        "gateway": _measure_usage(site, site.list_gateways()[0]),
    }


def _measure_loaded(site: ManyWorkersSite) -> dict[str, tuple[float, float, float]]:
    site.wait_until_claimed(site.find_leader())
    jobs = [f"block-{n}" for n in range(LOADED_TASKS // GANG_SIZE)]
    for job in jobs:
        site.submit(job, GANG_SIZE, 3600)
        site.wait_for_state(job, "running")
    return _measure_idle(site)


def measure_configuration() -> str:
    """Report the time from accepting a change until every gateway applies it."""
    site = Site(Layout(domains=("bern-halle", "olten-halle", "aarau-halle")))
    found = _make_histogram()
    try:
        site.start()
        site.configure({"kind": "organisation", "name": "kraftwerk", "value": {}})
        time.sleep(2)
        for number in range(CONFIGURATION_CHANGES):
            value = {"values": {"n": str(number)}}
            change = {"kind": "labels", "name": "worker.x", "value": value}
            revision = site.configure(change)
            started = time.monotonic()
            for name in site.list_gateways():
                wait_for(
                    lambda n=name, r=revision: (
                        call(site.addresses[n], "GET", "/v1/config")[1]["revision"] >= r
                    )
                )
            found.record_value(max(1, int((time.monotonic() - started) * 1e6)))
    finally:
        site.stop()
    median = found.get_value_at_percentile(50) / 1000
    worst = found.get_max_value() / 1000
    return (
        f"{CONFIGURATION_CHANGES} changes on three failure domains, "
        "from the answer to the operator "
        f"until the last of {len(site.list_gateways())} gateways has it in force: "
        f"median {median:.0f} ms, worst {worst:.0f} ms (asked: 12 s)."
    )


SECTIONS: dict[str, Callable[[], str]] = {
    "latency": measure_latency,
    "ceilings": measure_ceilings,
    "configuration": measure_configuration,
}


def main() -> int:
    """Measure and replace the sections given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sections", nargs="+", choices=sorted(SECTIONS))
    parser.add_argument("--into", type=Path, default=ROOT / "docs" / "measurements.md")
    options = parser.parse_args()
    for name in options.sections:
        body = SECTIONS[name]()
        text = options.into.read_text()
        options.into.write_text(replace_section(text, name, body))
        print(body, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
