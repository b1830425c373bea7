"""Send concurrent requests to a test site, and count their runs."""

import concurrent.futures
import itertools
import socket
import struct
import threading
import time
from dataclasses import dataclass
from typing import Any

from standins.site import Layout, Site, call, wait_for

_numbers = itertools.count(1)

DOMAINS = ("bern-halle", "olten-halle")


class ResettingTarget:
    """A target that resets each connection in the middle of a request."""

    service = "resetting"

    def __init__(self, site: Site) -> None:
        self.posts = self.probes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        machine = {
            "name": "resetting-1",
            "role": "target",
            "failure_domain": DOMAINS[0],
            "address": f"{host}:{port}",
            "service": self.service,
            "slots": 8,
            "connections": 64,
        }
        site.put_key("platform/vms/resetting-1", machine)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            received = connection.recv(1000)
            self.posts += received.startswith(b"POST")
            self.probes += received.startswith(b"GET")
            # With a linger time of 0 closing discards unread data and resets the
            # connection while the sender still sends.
            option = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            connection.close()


@dataclass
class Answer:
    """The answer that a caller got, and the time it took."""

    status: int
    body: dict[str, Any]
    elapsed_s: float


class RequestSite:
    """A small test site, with its callers."""

    def __init__(self, layout: Layout) -> None:
        self.site = Site(layout)
        self.pool = concurrent.futures.ThreadPoolExecutor(64)

    def start(self) -> None:
        self.site.start()
        revision = self.site.configure(
            {"kind": "organisation", "name": "kraftwerk", "value": {}}
        )
        self.site.wait_until_in_force(revision)
        count = len(self.site.list_gateways())
        for name in self.site.list_gateways():
            wait_for(lambda n=name: self.count_gateways(n) == count, 20, "all peers")

    def count_gateways(self, name: str) -> int:
        status = call(self.site.addresses[name], "GET", "/v1/status")[1]
        rows = (p for d in status["failure_domains"] for p in d["processes"])
        return sum(p["alive"] and p["role"] == "gateway" for p in rows)

    def stop(self) -> None:
        self.pool.shutdown(wait=False, cancel_futures=True)
        self.site.stop()

    def address(self, vm: str) -> str:
        return self.site.addresses[f"{vm}/gateway"]

    def mint(self, vm: str) -> str:
        return str(call(self.address(vm), "POST", "/v1/tickets", {})[1]["ids"][0])

    def make(self, **fields: Any) -> dict[str, Any]:
        number = next(_numbers)
        return {
            "id": f"delivery-{number}",
            "organisation": "kraftwerk",
            "deadline_ms": 5000,
            "body": {"plan": number},
            **fields,
        }

    def send(
        self, vm: str, request: dict[str, Any], service: str = ""
    ) -> "concurrent.futures.Future":
        return self.pool.submit(self._call, vm, request, service)

    def _call(self, vm: str, request: dict[str, Any], service: str) -> Answer:
        started = time.monotonic()
        path = f"/v1/services/{service or self.site.layout.service}/requests"
        status, body = call(self.address(vm), "POST", path, request)
        return Answer(status, body, time.monotonic() - started)

    def list_targets(self) -> list[str]:
        return [m["name"] for m in self.site.machines if m["role"] == "target"]

    def set_behaviour(self, **behaviour: Any) -> None:
        for name in self.list_targets():
            self.site.behave(name, **behaviour)

    def count(self, request_id: str, what: str = "runs") -> int:
        return sum(
            call(self.site.addresses[n], "GET", "/control/runs")[1][what].get(
                request_id, 0
            )
            for n in self.list_targets()
        )

    def wait_runs(self, request_id: str, runs: int = 1) -> None:
        wait_for(lambda: self.count(request_id) >= runs, 10, f"a run of {request_id}")

    def remove_faults(self) -> None:
        """Remove all faults, and wait until all gateways know each other."""
        self.site.set_faults()
        self.site.cut()
        names = self.site.list_gateways()
        for name in [*names, *self.list_targets()]:
            child = self.site.child(name)
            if child.process.poll() is not None:
                child.restart()
        for name in [*names, *self.list_targets()]:
            address = self.site.addresses[name]
            path = "/health" if name in self.list_targets() else "/health/live"
            wait_for(lambda a=address, p=path: call(a, "GET", p), 20, f"{name} is up")
        self.set_behaviour()
        for name in names:
            wait_for(lambda n=name: self.count_gateways(n) == len(names), 30, "peers")


def use_site(context: Any, **layout: Any) -> RequestSite:
    """Return the site of this feature, started by its first scenario."""
    known = getattr(context.feature, "request_site", None)
    if known is None:
        sizes = {"domains": DOMAINS, "targets": 1, "workers_per_rack": 1, **layout}
        known = context.feature.request_site = RequestSite(Layout(**sizes))
        context.add_cleanup(known.stop, layer="feature")
        known.start()
    context.add_cleanup(known.remove_faults)
    return known
