"""Measure how the resource use of the daemons grows with the size of a site.

``python -m standins.measure leader gateway fleet rows --into=docs/slopes.json``
takes some minutes on an idle machine and stores the points as series. Each
experiment is a function below.
"""

import argparse
import concurrent.futures
import json
import signal
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from firladder._internal.measure.series import Series, format_table, write_series

from .many_workers import DOMAIN, ManyWorkersSite
from .probe import (
    UsageRate,
    measure_rates,
    read_metrics,
    read_processor_s,
    read_resident_mb,
)
from .site import ROOT, call, wait_for

WINDOW_S = 8.0
WORKER_COUNTS = (8, 50, 100, 217)
TASK_COUNTS = (0, 400, 800, 1600)
WORKERS_FOR_TASKS = 100
GANG_SIZES = (1, 32, 64, 128)


def run_site(site: ManyWorkersSite, action: Callable[[ManyWorkersSite], Any]) -> Any:
    """Start and configure a site, run an action on it, and stop it."""
    try:
        site.start()
        site.configure({"kind": "organisation", "name": "squads", "value": {}})
        return action(site)
    finally:
        site.stop()


def _measure_leader_rates(site: ManyWorkersSite) -> tuple[UsageRate, UsageRate, float]:
    leader = site.find_leader()
    site.wait_until_claimed(leader)
    standby = next(n for n in site.fabric if n.endswith("/scheduler") and n != leader)
    time.sleep(2)
    sent, started = site.read_traffic(), time.monotonic()
    rates = measure_rates(site, [leader, standby], WINDOW_S)
    traffic = (site.read_traffic() - sent) / (time.monotonic() - started)
    return rates[leader], rates[standby], traffic


def _measure_takeover(site: ManyWorkersSite) -> tuple[float, float]:
    """Kill the leader; return the takeover's seconds and processor milliseconds."""
    leader = site.find_leader()
    standby = next(n for n in site.fabric if n.endswith("/scheduler") and n != leader)
    pid = site.child(standby).process.pid
    before = read_processor_s(pid)
    started = time.monotonic()
    site.child(leader).signal(signal.SIGKILL)
    wait_for(
        lambda: site.count_claimed_workers(standby) >= site.workers, 60, "takeover"
    )
    return time.monotonic() - started, (read_processor_s(pid) - before) * 1000


def _measure_leader_once(site: ManyWorkersSite) -> dict[str, float]:
    leader, standby, traffic = _measure_leader_rates(site)
    took_s, took_ms = _measure_takeover(site)
    return {
        "cpu": leader.processor_ms,
        "memory": leader.resident_mb * 1024,
        "bytes": traffic,
        "fabric": leader.fabric_bytes,
        "calls": leader.store_calls,
        "standby_cpu": standby.processor_ms,
        "standby_memory": standby.resident_mb * 1024,
        "standby_calls": standby.store_calls,
        "takeover_s": took_s,
        "takeover_cpu": took_ms,
    }


UNITS = {
    "cpu": "ms/s",
    "memory": "KB",
    "bytes": "bytes/s",
    "fabric": "bytes/s",
    "calls": "calls/s",
    "takeover_s": "s",
    "takeover_cpu": "ms",
}


def _make_series(
    prefix: str, per: str, measured: dict[int, dict[str, float]], note: str
) -> Iterable[Series]:
    for quantity in next(iter(measured.values())):
        unit = UNITS[quantity.removeprefix("standby_")]
        yield Series(
            name=f"{prefix}.{quantity}.{per}s",
            per=per,
            unit=unit,
            points=tuple((n, row[quantity]) for n, row in measured.items()),
            note=note,
        )


def measure_leader() -> Iterable[Series]:
    """Measure a leader, its standby and a takeover by the number of idle workers."""
    measured = {
        n: run_site(ManyWorkersSite(workers=n), _measure_leader_once)
        for n in WORKER_COUNTS
    }
    return _make_series("leader", "worker", measured, "no tasks; default settings")


def measure_tasks() -> Iterable[Series]:
    """Measure a leader by the number of running tasks, in gangs of 100."""

    def measure(tasks: int) -> Callable[[ManyWorkersSite], dict[str, float]]:
        def action(site: ManyWorkersSite) -> dict[str, float]:
            site.wait_until_claimed(site.find_leader())
            jobs = [f"block-{n}" for n in range(tasks // 100)]
            for job in jobs:
                site.submit(job, 100, 3600)
            for job in jobs:
                site.wait_for_state(job, "running")
            leader, _, traffic = _measure_leader_rates(site)
            return {
                "cpu": leader.processor_ms,
                "memory": leader.resident_mb * 1024,
                "bytes": traffic,
                "calls": leader.store_calls,
            }

        return action

    measured = {
        n: run_site(ManyWorkersSite(workers=WORKERS_FOR_TASKS), measure(n))
        for n in TASK_COUNTS
    }
    return _make_series(
        "leader", "task", measured, f"{WORKERS_FOR_TASKS} workers, gangs of 100"
    )


def measure_gangs() -> Iterable[Series]:
    """Measure a gang from submission to end, and its start, by its size."""

    def action(site: ManyWorkersSite) -> dict[int, dict[str, float]]:
        leader = site.find_leader()
        site.wait_until_claimed(leader)
        pid = site.child(leader).process.pid
        idle = measure_rates(site, [leader], WINDOW_S)[leader]
        measured = {}
        for members in GANG_SIZES:
            before = read_processor_s(pid)
            sent, started = site.read_traffic(), time.monotonic()
            calls = read_metrics(site.addresses[leader])["firladder_store_calls_total"]
            site.submit(f"gang-{members}", members, 2)
            site.wait_for_state(f"gang-{members}", "running")
            running_s = time.monotonic() - started
            site.wait_for_state(f"gang-{members}", "finished")
            elapsed_s = time.monotonic() - started
            used_ms = (read_processor_s(pid) - before) * 1000
            after = read_metrics(site.addresses[leader])["firladder_store_calls_total"]
            measured[members] = {
                "cpu": used_ms - idle.processor_ms * elapsed_s,
                "start_s": running_s,
                "bytes": float(site.read_traffic() - sent),
                "calls": after - calls - idle.store_calls * elapsed_s,
            }
        return measured

    measured = run_site(ManyWorkersSite(workers=WORKERS_FOR_TASKS), action)
    units = {"cpu": "ms", "start_s": "s", "bytes": "bytes", "calls": "calls"}
    return [
        Series(
            name=f"gang.{quantity}.members",
            per="member",
            unit=unit,
            points=tuple((n, row[quantity]) for n, row in measured.items()),
            note=f"one gang from submission to end, {WORKERS_FOR_TASKS} workers, "
            "less the leader's idle use",
        )
        for quantity, unit in units.items()
    ]


def measure_fleet() -> Iterable[Series]:
    """Measure idle daemons by the number of processes in one failure domain."""

    def action(site: ManyWorkersSite) -> dict[str, dict[str, float]]:
        site.find_leader()
        names = list(site.fabric)
        expected_peers = len(names) - 1
        wait_for(
            lambda: all(
                read_metrics(site.addresses[n]).get(
                    f'firladder_peers_alive_count{{failure_domain="{DOMAIN}"}}', 0
                )
                >= expected_peers
                for n in site.list_gateways()
            ),
            30,
            "all peers known",
        )
        time.sleep(2)
        calls = call(site.addresses["store"], "GET", "/calls")[1]
        started = time.monotonic()
        rates = measure_rates(site, names, WINDOW_S)
        elapsed_s = time.monotonic() - started
        calls_after = call(site.addresses["store"], "GET", "/calls")[1]
        gateways = [rates[n] for n in names if n.endswith("/gateway")]
        return {
            "gateway": {
                "cpu": sum(r.processor_ms for r in gateways) / len(gateways),
                "fabric": sum(r.fabric_bytes for r in gateways) / len(gateways),
                "memory": 1024 * sum(r.resident_mb for r in gateways) / len(gateways),
            },
            "store": {
                "reads": (calls_after.get("read", 0) - calls.get("read", 0))
                / elapsed_s,
                "writes": (calls_after.get("write", 0) - calls.get("write", 0))
                / elapsed_s,
                "watches": float(calls_after["watching"]),
            },
        }

    sizes = (1, 2, 4, 6)
    measured = {
        2 * n: run_site(ManyWorkersSite(workers=8, entry_vms=n), action) for n in sizes
    }
    units = {**UNITS, "reads": "calls/s", "writes": "calls/s", "watches": "watches"}
    return [
        Series(
            name=f"{role}.{quantity}.processes",
            per="process",
            unit=units[quantity],
            points=tuple((n, row[role][quantity]) for n, row in measured.items()),
            note="idle site of one failure domain, 8 workers, heartbeats each 1 s",
        )
        for role, row in next(iter(measured.values())).items()
        for quantity in row
    ]


def measure_rows() -> Iterable[Series]:
    """Measure a gateway's restart and memory by the number of VM list rows."""

    def action(site: ManyWorkersSite) -> dict[str, float]:
        name = site.list_gateways()[0]
        child = site.child(name)
        time.sleep(2)
        child.stop()
        calls = call(site.addresses["store"], "GET", "/calls")[1]
        child.restart()
        started = time.monotonic()
        wait_for(
            lambda: call(site.addresses[name], "GET", "/health/ready")[0] == 200,
            30,
            "ready",
        )
        ready_s = time.monotonic() - started
        time.sleep(1)
        used_ms = read_processor_s(child.process.pid) * 1000
        calls_after = call(site.addresses["store"], "GET", "/calls")[1]
        return {
            "cpu": used_ms,
            "ready_s": ready_s,
            "memory": read_resident_mb(child.process.pid) * 1024,
            "reads": float(calls_after["read"] - calls["read"]),
        }

    sizes = (0, 400, 800, 1400)
    measured = {
        n: run_site(ManyWorkersSite(workers=8, entry_vms=1, rows=n), action)
        for n in sizes
    }
    units = {"cpu": "ms", "ready_s": "s", "memory": "KB", "reads": "reads"}
    return [
        Series(
            name=f"restart.{quantity}.rows",
            per="VM row",
            unit=unit,
            points=tuple((n, row[quantity]) for n, row in measured.items()),
            note="one gateway from its start to a second after it was ready",
        )
        for quantity, unit in units.items()
    ]


def _send_requests(site: ManyWorkersSite, count: int) -> None:
    def send(_: int) -> int:
        body = {"organisation": "squads", "deadline_ms": 30000, "idempotent": True}
        status, _answer = call(
            site.gateway(), "POST", "/v1/services/planwerk/requests", body
        )
        return status

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        statuses = list(pool.map(send, range(count)))
    assert set(statuses) <= {200}, sorted(set(statuses))


def _measure_queued_requests(site: ManyWorkersSite, count: int) -> tuple[float, float]:
    """Return the requests queued at a gateway, and its memory in KB meanwhile."""
    gateway = site.list_gateways()[0]
    pid = site.child(gateway).process.pid
    # A deadline so distant that no request is refused and all of them queue.
    body = {"organisation": "squads", "deadline_ms": 500_000, "idempotent": True}
    path = "/v1/services/planwerk/requests"
    with concurrent.futures.ThreadPoolExecutor(max(1, count)) as pool:
        pending_calls = [
            pool.submit(call, site.gateway(), "POST", path, body) for _ in range(count)
        ]
        time.sleep(1.5)
        metrics = read_metrics(site.addresses[gateway])
        held = read_resident_mb(pid) * 1024
        assert {answer.result()[0] for answer in pending_calls} <= {200}
    return metrics["firladder_requests_queued_count"], held


def measure_gateway() -> Iterable[Series]:
    """Measure a gateway by requests, queued requests and configuration changes."""

    def action(site: ManyWorkersSite) -> list[Series]:
        name = site.list_gateways()[0]
        pid = site.child(name).process.pid
        site.behave("runner-d-1", run_s=0.002)
        _send_requests(site, 100)
        points, starts = [], (0, 300, 600, 1200)
        for count in starts:
            before, started = read_processor_s(pid), time.monotonic()
            _send_requests(site, count)
            time.sleep(max(0.0, 8.0 - (time.monotonic() - started)))
            points.append((count, (read_processor_s(pid) - before) * 1000))
        changes = []
        for count in (0, 20, 40, 80):
            before, started = read_processor_s(pid), time.monotonic()
            for n in range(count):
                value = {"values": {"n": str(n)}}
                change = {"kind": "labels", "name": "worker.x", "value": value}
                site.configure(change, address=site.gateway(number=1))
            time.sleep(max(0.0, 5.0 - (time.monotonic() - started)))
            changes.append((count, (read_processor_s(pid) - before) * 1000))
        site.behave("runner-d-1", run_s=0.2)
        held = [_measure_queued_requests(site, n) for n in (0, 100, 200, 400)]
        return [
            Series(
                name="gateway.cpu.requests",
                per="request",
                unit="ms",
                points=tuple(points),
                note="a new connection each; processor time over 8 s",
            ),
            Series(
                name="gateway.cpu.changes",
                per="change",
                unit="ms",
                points=tuple(changes),
                note="accepted at another gateway; small configuration",
            ),
            Series(
                name="gateway.memory.waiting",
                per="waiting request",
                unit="KB",
                points=tuple(held),
                note="with its caller's connection; taken in rising order",
            ),
        ]

    return list(run_site(ManyWorkersSite(workers=8), action))


EXPERIMENTS: dict[str, Callable[[], Iterable[Series]]] = {
    "leader": measure_leader,
    "tasks": measure_tasks,
    "gangs": measure_gangs,
    "fleet": measure_fleet,
    "rows": measure_rows,
    "gateway": measure_gateway,
}


def main() -> int:
    """Run the experiments given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiments", nargs="+", choices=sorted(EXPERIMENTS))
    parser.add_argument("--into", type=Path, default=ROOT / "docs" / "slopes.json")
    options = parser.parse_args()
    for name in options.experiments:
        measured = list(EXPERIMENTS[name]())
        write_series(options.into, measured)
        print(format_table(measured), flush=True)
    print(json.dumps({"into": str(options.into.name)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
