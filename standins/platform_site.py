"""A complete platform on loopback addresses: stand-ins, and nodes as processes."""

import json
import os
import subprocess
import sys
import tempfile
import urllib.parse
from pathlib import Path
from typing import Any

from .platform_advice import DECISION_S, PER_WORKER_S, VALID_S
from .proxy import Proxy
from .site import ROOT, ChildProcess, call, reserve_port_block, wait_for

API_KEY = "key-of-the-organisation"

CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": f"queue-{priority}",
            "hostname": "jobs.example",
            "prefix": f"/q{priority}/",
            "backend": "pool-a",
            "priority": priority,
            "max_attempts": 3,
            "stretch": 3.0,
            "slo_ms": 1000,
        }
        for priority in range(3)
    ]
    + [
        {
            "name": "queue-advised",
            "hostname": "jobs.example",
            "prefix": "/advised/",
            "backend": "pool-a",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 3.0,
            "slo_ms": 1000,
            "advice": {
                "decision_ms": DECISION_S * 1000,
                "per_worker_ms": PER_WORKER_S * 1000,
                "valid_ms": VALID_S * 1000,
            },
        }
    ],
    "services": [{"name": "pool-a", "enforces_capacity": False}],
    "limits": {"max_body_bytes": 262144, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "alpin", "api_keys": [API_KEY], "guaranteed_gpu": {"gpu": 8}},
    ],
}

SETTINGS_TEMPLATE = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
port_range = [{peer_port}, {last_port}]
seeds = [{seeds}]
advice = "{advice}"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
min_ttl_ms = 1000
[limits]
link_mbps = {link_mbps}
"""


class NodeProcess(ChildProcess):
    """A node process, which gets its settings file through the environment."""

    def __init__(self, name: str, ip: str, settings: Path, log: Path) -> None:
        """Start the node."""
        self.ip = ip
        self.settings = settings
        self.log_bytes = 0
        """Size of the log when the node's current process was started."""
        super().__init__(
            name, [sys.executable, str(ROOT / "deploy" / "launch.py"), "node"], log
        )

    def _start(self) -> "subprocess.Popen[bytes]":
        environment = {**os.environ, "FIRLADDER_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as log:
            self.log_bytes = log.tell()
            return subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def has_logged(self) -> bool:
        """Return whether the node's current process has written to its log."""
        return self.log.stat().st_size > self.log_bytes


class PlatformSite:
    """Stand-ins for the platform, and nodes that each have their own IP address."""

    def __init__(
        self,
        *,
        nodes: int = 2,
        workers: int = 2,
        seed: int = 0,
        domains: tuple[str, ...] = ("d",),
        links_mbps: tuple[float, ...] = (1000.0,),
        restart_share: float = 0.0,
    ) -> None:
        """Prepare the site; nodes take ``domains`` and ``links_mbps`` in rotation.

        ``restart_share`` of the workers keep their ids when they restart.
        """
        self._restart_share = restart_share
        self._links_mbps = links_mbps
        self._domains = domains
        self._lock, ports = reserve_port_block()
        self.peer_port, self.metrics_port = next(ports), next(ports)
        if self.metrics_port != self.peer_port + 1:
            raise AssertionError("the ports of a block must be consecutive")
        self.front, self.ready = next(ports), next(ports)
        self.store = f"127.0.9.1:{next(ports)}"
        self.workers = [f"127.0.9.2:{next(ports)}" for _ in range(workers)]
        self.advice = f"127.0.9.5:{next(ports)}"
        self.directory = Path(tempfile.mkdtemp(prefix="firladder-platform-"))
        self.ips = [f"127.0.{8 + n % 3 * 20}.{n + 1}" for n in range(nodes)]
        self.nodes: list[NodeProcess] = []
        self.seed = seed
        self.spare_ports = ports
        self.store_addresses: dict[int, str] = {}
        self.advertised = list(self.workers)
        self.configuration = json.loads(json.dumps(CONFIGURATION))

    def route_through(self, proxy: Proxy) -> None:
        """Add a proxy link to the store for each node, and one to each worker."""
        for number in range(len(self.ips)):
            listen = f"127.0.9.3:{next(self.spare_ports)}"
            proxy.add(f"store-{number}", listen, self.store)
            self.store_addresses[number] = listen
        for number, address in enumerate(self.workers):
            listen = f"127.0.9.4:{next(self.spare_ports)}"
            proxy.add(f"worker-{number}", listen, address)
            self.advertised[number] = listen

    def start(self) -> None:
        """Start the stand-ins and all nodes, and wait until the nodes are ready."""
        command = [sys.executable, "-m", "standins.platform", "--store", self.store]
        workers = zip(self.workers, self.advertised, strict=True)
        command += ["--workers", ",".join(f"{a}>{b}" for a, b in workers)]
        command += ["--seed", str(self.seed), "--advice", self.advice]
        command += ["--restart_share", str(self._restart_share)]
        self.platform = ChildProcess(
            "platform", command, self.directory / "platform.log"
        )
        wait_for(lambda: call(self.store, "GET", "/ledger")[0] == 200, 20, "stand-ins")
        self.configure()
        for number in range(len(self.ips)):
            self.start_node(number)
        for ip in self.ips:
            wait_for(lambda ip=ip: self.is_ready(ip), 30, f"node {ip}")

    def start_node(self, number: int) -> NodeProcess:
        """Write a node's settings file and start the node."""
        ip = self.ips[number]
        seeds = ", ".join(f'"{other}:1"' for other in self.ips[:3])
        settings = self.directory / f"node-{number}.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=f"entry-{number}",
                ip=ip,
                zone=self._domains[number % len(self._domains)],
                peer_port=self.peer_port,
                last_port=self.peer_port + 9,
                seeds=seeds,
                advice=self.advice,
                front=self.front,
                ready=self.ready,
                store=self.store_addresses.get(number, self.store),
                link_mbps=self._links_mbps[number % len(self._links_mbps)],
            )
        )
        log = self.directory / f"node-{number}.log"
        node = NodeProcess(f"entry-{number}", ip, settings, log)
        self.nodes.append(node)
        return node

    def configure(self) -> None:
        """Write the configuration to the store, as the operator does."""
        self.put("op/config", self.configuration)

    def put(self, key: str, value: Any) -> None:
        """Write a key to the store, as another writer would."""
        status, _ = call(self.store, "POST", "/put", {"key": key, "value": value})
        assert status == 200, status

    def remove(self, key: str) -> None:
        """Remove a key from the store, as the operator does."""
        status, _ = call(self.store, "POST", "/remove", {"key": key})
        assert status == 200, status

    def set_store_faults(self, **faults: Any) -> None:
        """Replace the store's faults; those not given are off."""
        call(self.store, "POST", "/faults", faults)

    def set_worker_faults(self, number: int, **faults: Any) -> None:
        """Replace a worker's faults; those not given are off."""
        call(self.store, "POST", f"/worker-faults/{number}", faults)

    def restart_workers(self, numbers: list[int], *, down_s: float) -> None:
        """Take these workers down at one moment, for ``down_s`` seconds."""
        body = {"numbers": numbers, "down_s": down_s}
        call(self.store, "POST", "/restart-workers", body)

    def set_advice_faults(self, **faults: Any) -> None:
        """Replace the faults of the advice service; those not given are off."""
        call(self.store, "POST", "/advice-faults", faults)

    def is_ready(self, ip: str) -> bool:
        """Return whether a node reports that it is ready for new connections."""
        return call(f"{ip}:{self.ready}", "GET", "/-/ready")[0] == 200

    def ask(
        self, method: str, path: str, body: Any = None, *, node: int = 0, **options: Any
    ) -> tuple[int, Any]:
        """Call a node as a client of the organisation, and return status and body."""
        headers = {
            "Host": "jobs.example",
            "Authorization": f"Bearer {options.get('key', API_KEY)}",
            "X-Deadline-Ms": str(options.get("deadline_ms", 2500)),
        }
        address = f"{self.ips[node]}:{self.front}"
        path = urllib.parse.quote(path)
        return call(address, method, path, body, headers=headers, timeout_s=10)

    def read_ledger(self) -> dict[str, Any]:
        """Return the ledger of the workers' runs."""
        found: dict[str, Any] = call(self.store, "GET", "/ledger")[1]
        return found

    def find_leader(self) -> int | None:
        """Return the number of the node that leads, if any."""
        for number, ip in enumerate(self.ips):
            try:
                _, text = call(f"{ip}:{self.metrics_port}", "GET", "/metrics")
            except OSError:
                continue
            lines = [x for x in text.splitlines() if "leading_token" in x]
            if any(float(x.split()[-1]) > 0 for x in lines if x[0] != "#"):
                return number
        return None

    def read_logs(self) -> str:
        """Return the logs of all nodes."""
        return "".join(n.log.read_text() for n in self.nodes)

    def stop(self) -> None:
        """Kill all processes of this site and release its ports."""
        for node in self.nodes:
            node.kill()
        self.platform.kill()
        self._lock.close()
