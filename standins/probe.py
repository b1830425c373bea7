"""Read the resource use of a process from the operating system and its metrics."""

import dataclasses
import os
import re
import resource
import subprocess
import time
from pathlib import Path

from .site import Site, call

_SOCKET_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


@dataclasses.dataclass(frozen=True)
class Usage:
    """A process's totals at one moment: processor, memory, fabric, store calls."""

    at: float
    processor_s: float
    resident_mb: float
    fabric_bytes: float
    store_calls: float


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def read_processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process, in seconds."""
    tasks = Path(f"/proc/{pid}/task")
    spent_ns = sum(
        int((tasks / thread / "schedstat").read_text().split()[0])
        for thread in os.listdir(tasks)
    )
    return spent_ns / 1e9


def read_metrics(address: str) -> dict[str, float]:
    """Return a daemon's metrics by name, with the labels as part of the name."""
    text = str(call(address, "GET", "/metrics")[1])
    rows = (x.rsplit(" ", 1) for x in text.splitlines() if x and x[0] != "#")
    return {name: float(value) for name, value in rows}


def read_usage(site: Site, name: str) -> Usage:
    """Return the totals of one of a site's daemons."""
    pid = site.child(name).process.pid
    metrics = read_metrics(site.addresses[name])
    return Usage(
        time.monotonic(),
        read_processor_s(pid),
        read_resident_mb(pid),
        metrics.get("firladder_fabric_sent_bytes_total{}", 0)
        + metrics.get("firladder_fabric_received_bytes_total{}", 0)
        or sum(v for k, v in metrics.items() if k.startswith("firladder_fabric")),
        sum(v for k, v in metrics.items() if k.startswith("firladder_store_calls")),
    )


@dataclasses.dataclass(frozen=True)
class UsageRate:
    """A daemon's use per second, and its resident memory."""

    processor_ms: float
    resident_mb: float
    fabric_bytes: float
    store_calls: float


def measure_rates(
    site: Site, names: list[str], window_s: float
) -> dict[str, UsageRate]:
    """Return each daemon's average use per second over a window."""
    before = {name: read_usage(site, name) for name in names}
    time.sleep(window_s)
    after = {name: read_usage(site, name) for name in names}
    return {name: _compute_rate(before[name], after[name]) for name in names}


def _compute_rate(old: Usage, new: Usage) -> UsageRate:
    elapsed_s = new.at - old.at
    return UsageRate(
        (new.processor_s - old.processor_s) * 1000 / elapsed_s,
        new.resident_mb,
        (new.fabric_bytes - old.fabric_bytes) / elapsed_s,
        (new.store_calls - old.store_calls) / elapsed_s,
    )


def read_socket_bytes(pid: int) -> dict[str, int]:
    """Return the bytes sent and received on each open TCP connection of a process.

    Includes fabric messages, store calls, worker calls and HTTP.
    """
    lines = subprocess.run(
        ["ss", "-tinpOH"], capture_output=True, text=True, check=True
    ).stdout.splitlines()
    return {
        " ".join(line.split()[3:5]): sum(
            int(number) for number in _SOCKET_BYTES.findall(line)
        )
        for line in lines
        if f"pid={pid}," in line
    }


def count_new_bytes(before: dict[str, int], after: dict[str, int]) -> int:
    """Return the bytes sent and received between two readings of one process."""
    return sum(count - before.get(name, 0) for name, count in after.items())
