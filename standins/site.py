"""A complete site on loopback addresses, for tests, demos and measurements.

Not part of the product. Each failure domain has its own source addresses
(127.0.N.x), so that the stand-ins can partition it from the others.
"""

import dataclasses
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


@dataclasses.dataclass
class Layout:
    """Sizes of a site, and settings that override those of the test site."""

    domains: tuple[str, ...] = ("bern-halle", "olten-halle", "aarau-halle")
    entry_vms: int = 2
    targets: int = 2
    racks: int = 1
    workers_per_rack: int = 2
    accelerators: int = 8
    cpus: int = 32
    memory_mb: int = 65536
    service: str = "planwerk"
    slots: int = 8
    connections: int = 64
    settings: dict[str, str] = dataclasses.field(default_factory=dict)


class ChildProcess:
    """A process that this site started."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        """Start the process and write its output to the file ``log``."""
        self.name = name
        self.command = command
        self.log = log
        self.process = self._start()

    def _start(self) -> "subprocess.Popen[bytes]":
        with self.log.open("ab") as log:
            return subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log, start_new_session=True
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, but not to its children."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def restart(self) -> None:
        """Start the process again, as a replaced VM would."""
        self.process = self._start()

    def stop(self, timeout_s: float = 20.0) -> int:
        """Terminate the process and return its exit code, or -9 if it was killed."""
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -9


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    timeout_s: float = 30.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send an HTTP request and return the status and the decoded body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, body=data, headers=headers or {})
        resp = connection.getresponse()
        raw = resp.read()
        if "json" in (resp.getheader("Content-Type") or ""):
            return resp.status, json.loads(raw)
        return resp.status, raw.decode()
    finally:
        connection.close()


def wait_for(condition: Any, timeout_s: float = 15.0, what: str = "") -> Any:
    """Return the condition's first true value, or fail after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            value = condition()
        except (OSError, http.client.HTTPException):
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out after {timeout_s} s: {what or condition}")


FIRST_PORT = 10_000
PORTS_PER_BLOCK = 250
PORT_BLOCKS = 85
"""Site ports lie below the ephemeral port range. A site keeps the first port of its
block bound while it runs, so that two sites never share a block."""


def reserve_port_block() -> tuple[socket.socket, Iterator[int]]:
    """Return the socket that locks a free block of ports, and its other ports."""
    for offset in range(PORT_BLOCKS):
        block = (os.getpid() + offset) % PORT_BLOCKS
        first = FIRST_PORT + block * PORTS_PER_BLOCK
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        return lock, iter(range(first + 1, first + PORTS_PER_BLOCK))
    raise AssertionError("all blocks of ports are in use")


class Site:
    """All processes of a site."""

    def __init__(self, layout: Layout) -> None:
        """Reserve a block of ports and a directory; start no process yet."""
        self.layout = layout
        self.directory = Path(tempfile.mkdtemp(prefix="firladder-site-"))
        self.children: dict[str, ChildProcess] = {}
        self.addresses: dict[str, str] = {}
        self.fabric: dict[str, str] = {}
        self.advertised: dict[str, str] = {}
        self.machines: list[dict[str, Any]] = []
        self._lock, self._ports = reserve_port_block()

    def _start_child(self, name: str, module: str, *arguments: str) -> ChildProcess:
        command = [sys.executable, "-m", module, *arguments]
        child = ChildProcess(name, command, self.directory / f"{name}.log")
        self.children[name] = child
        return child

    def _allocate_address(self, ip: str) -> str:
        return f"{ip}:{next(self._ports)}"

    def domain_ip(self, domain: str) -> str:
        """Return the source address of a failure domain's processes."""
        return f"127.0.{self.layout.domains.index(domain) + 1}.1"

    def start(self) -> None:
        """Start the stand-ins, publish the VM list, then start the product."""
        self.start_store()
        for domain in self.layout.domains:
            self._start_targets(domain)
            self._start_workers(domain)
        self.publish_machines()
        for domain in self.layout.domains:
            for number in range(self.layout.entry_vms):
                self._assign_addresses(domain, f"{domain}-{number + 1}")
        self._start_switch()
        for vm in self.list_entry_vms():
            self.start_vm(vm)
        for name in self.list_gateways():
            wait_for(lambda n=name: self._is_live(n), what=f"{name} is live")
        for machine in self.machines:
            if machine["role"] == "target":
                self._wait_for_target(machine["address"])

    def start_store(self) -> None:
        """Start the store stand-in."""
        self.addresses["store"] = self._allocate_address("127.0.0.1")
        self._start_child(
            "store", "standins.store", "--address", self.addresses["store"]
        )
        wait_for(lambda: call(self.addresses["store"], "GET", "/calls"), what="store")

    def _wait_for_target(self, address: str) -> None:
        """Wait until a target listens; on a busy machine gateways may be live first."""
        wait_for(lambda: call(address, "GET", "/control/runs"), what=address)

    def _start_targets(self, domain: str) -> None:
        layout = self.layout
        for number in range(layout.targets):
            name = f"runner-{domain}-{number + 1}"
            address = self._allocate_address("127.0.0.1")
            self.addresses[name] = address
            self._start_child(
                name,
                "standins.target",
                f"--address={address}",
                f"--name={name}",
                f"--slots={layout.slots}",
                f"--connections={layout.connections}",
            )
            self.machines.append(
                {
                    "name": name,
                    "role": "target",
                    "failure_domain": domain,
                    "address": address,
                    "service": layout.service,
                    "slots": layout.slots,
                    "connections": layout.connections,
                    "labels": {"zone": domain},
                }
            )

    def _start_workers(self, domain: str) -> None:
        layout = self.layout
        places = itertools.product(range(layout.racks), range(layout.workers_per_rack))
        for rack, number in places:
            name = f"worker-{domain}-{rack + 1}-{number + 1}"
            address = self._allocate_address("127.0.0.1")
            self.addresses[name] = address
            self._start_child(
                name,
                "standins.worker",
                f"--address={address}",
                f"--name={name}",
                f"--accelerators={layout.accelerators}",
                f"--checkpoints={self.directory}",
            )
            self.machines.append(
                {
                    "name": name,
                    "role": "worker",
                    "failure_domain": domain,
                    "rack": f"{domain}-rack-{rack + 1}",
                    "address": address,
                    "accelerators": layout.accelerators,
                    "cpus": layout.cpus,
                    "memory_mb": layout.memory_mb,
                    "labels": {"rack": str(rack + 1)},
                }
            )

    def publish_machines(self) -> None:
        """Write the VM list to the store, as the platform does."""
        for machine in self.machines:
            self.put_key(f"platform/vms/{machine['name']}", machine)

    def put_key(self, key: str, value: Any) -> None:
        """Write one key to the store, bypassing the product."""
        import base64

        def encode(text: str) -> str:
            return base64.b64encode(text.encode()).decode()

        put = {"key": encode(key), "value": encode(json.dumps(value))}
        body = {"success": [{"request_put": put}]}
        status, _ = call(self.addresses["store"], "POST", "/v3/kv/txn", body)
        assert status == 200, status

    def _assign_addresses(self, domain: str, vm: str) -> None:
        ip = self.domain_ip(domain)
        for role in ("gateway", "scheduler"):
            self.addresses[f"{vm}/{role}"] = self._allocate_address(ip)
            self.fabric[f"{vm}/{role}"] = self._allocate_address(ip)
            self.advertised[f"{vm}/{role}"] = self._allocate_address("127.0.0.1")

    def _start_switch(self) -> None:
        relays = (f"{self.advertised[n]}>{a}" for n, a in self.fabric.items())
        self.addresses["switch"] = self._allocate_address("127.0.0.1")
        self._start_child(
            "switch",
            "standins.switch",
            f"--address={self.addresses['switch']}",
            *(f"--relay={relay}" for relay in relays),
        )

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Partition exactly these pairs of failure domains; no pairs heal all."""
        ips = [(self.domain_ip(a), self.domain_ip(b)) for a, b in pairs]
        call(self.addresses["switch"], "POST", "/cuts", {"cuts": ips})

    def partition_from_store(self, *domains: str) -> None:
        """Partition exactly these failure domains from the store; none heals all."""
        self.set_faults(cut=[self.domain_ip(d) for d in domains])

    def list_entry_vms(self) -> list[str]:
        """Return the sorted names of the entry VMs."""
        return sorted({name.split("/")[0] for name in self.fabric})

    def list_gateways(self, domain: str = "") -> list[str]:
        """Return the sorted names of the gateways, of one failure domain if given."""
        return sorted(
            n for n in self.fabric if n.endswith("/gateway") and n.startswith(domain)
        )

    def start_vm(self, vm: str) -> None:
        """Start the gateway and the scheduler of an entry VM."""
        for role in ("gateway", "scheduler"):
            self.start_process(f"{vm}/{role}")

    def start_process(self, name: str, **overrides: str) -> ChildProcess:
        """Start one process of the product; ``overrides`` replace its settings."""
        vm, role = name.split("/")
        domain = vm.rsplit("-", 1)[0]
        settings = {
            "vm": vm,
            "failure_domain": domain,
            "address": self.fabric[name],
            "http_address": self.addresses[name],
            "store_url": f"http://{self.addresses['store']}",
            "advertise": self.advertised[name],
            "seeds": ",".join(a for n, a in self.advertised.items() if n != name),
            "heartbeat_s": "0.3",
            "unready_s": "0.3",
            "leader_ttl_s": "2",
            **({"task_ttl_s": "4", "start_ttl_s": "1"} if role == "scheduler" else {}),
            **self._role_settings(role),
            **overrides,
        }
        flags = [f"--{key}={value}" for key, value in settings.items() if value]
        if role == "gateway":
            flags = [f for f in flags if not f.startswith("--leader_ttl_s")]
        return self._start_child(name.replace("/", "."), "firladder", role, *flags)

    def _role_settings(self, role: str) -> dict[str, str]:
        prefix = f"{role}."
        return {
            key.removeprefix(prefix): value
            for key, value in self.layout.settings.items()
            if "." not in key or key.startswith(prefix)
        }

    def child(self, name: str) -> ChildProcess:
        """Return the process with this name."""
        return self.children[name.replace("/", ".")]

    def _is_live(self, name: str) -> bool:
        status, _ = call(self.addresses[name], "GET", "/health/live")
        return status == 200

    def gateway(self, domain: str = "", number: int = 0) -> str:
        """Return the HTTP address of a gateway, of one failure domain if given."""
        return self.addresses[self.list_gateways(domain)[number]]

    def configure(self, *changes: dict[str, Any], address: str = "") -> int:
        """Apply configuration changes at a gateway and return the new revision."""
        gateway = address or self.gateway()
        _, current = call(gateway, "GET", "/v1/config")
        body = {"expected_revision": current["revision"], "changes": list(changes)}
        status, answer = call(gateway, "POST", "/v1/config", body)
        assert status == 200, answer
        return int(answer["revision"])

    def wait_until_in_force(self, revision: int, timeout_s: float = 15.0) -> None:
        """Wait until every gateway applies at least this configuration revision."""
        for name in self.list_gateways():
            wait_for(
                lambda n=name: (
                    call(self.addresses[n], "GET", "/v1/config")[1]["revision"]
                    >= revision
                ),
                timeout_s,
                f"revision {revision} at {name}",
            )

    def wait_for_leader(self, domain: str, timeout_s: float = 20.0) -> dict[str, Any]:
        """Wait for a leader in a failure domain and return the domain's status."""

        def find() -> dict[str, Any] | None:
            status = call(self.gateway(domain), "GET", "/v1/status")[1]
            for row in status["failure_domains"]:
                if row["failure_domain"] == domain and row["leader"]:
                    return dict(row)
            return None

        return dict(wait_for(find, timeout_s, f"a leader in {domain}"))

    def set_faults(self, **faults: Any) -> None:
        """Replace the store's faults; those not given are off."""
        call(self.addresses["store"], "POST", "/faults", faults)

    def behave(self, name: str, **behaviour: Any) -> None:
        """Replace the behaviour of a target or worker; faults not given are off."""
        call(self.addresses[name], "POST", "/control/behaviour", behaviour)

    def stop(self) -> dict[str, int]:
        """Stop the product gracefully, then the stand-ins; return exit codes."""
        product = [c for n, c in self.children.items() if "." in n]
        for child in product:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        codes = {child.name: child.stop() for child in product}
        for child in self.children.values():
            if child not in product:
                child.signal(signal.SIGCONT)
                child.signal(signal.SIGTERM)
        for child in self.children.values():
            if child not in product:
                child.stop(5.0)
        self._lock.close()
        return codes
