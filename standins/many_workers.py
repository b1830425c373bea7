"""A site of one failure domain whose many workers share one process."""

from typing import Any

from .probe import read_metrics
from .site import Layout, Site, call, wait_for

DOMAIN = "d"


def worker_address(number: int, port: int) -> str:
    """Return the address of the worker with this number."""
    return f"127.9.{number // 250}.{number % 250 + 1}:{port}"


DEFAULT_SETTINGS = {
    "heartbeat_s": "1",
    "leader_ttl_s": "5",
    "scheduler.task_ttl_s": "30",
    "scheduler.start_ttl_s": "3",
}
"""The product's defaults of the settings that ``Site`` shortens for tests."""


class ManyWorkersSite(Site):
    """A site of one failure domain whose workers share one process."""

    def __init__(self, *, workers: int, entry_vms: int = 2, rows: int = 0) -> None:
        """Prepare ``workers`` workers, and ``rows`` VM rows of another domain."""
        super().__init__(
            Layout(
                domains=(DOMAIN,),
                entry_vms=entry_vms,
                targets=1,
                settings=DEFAULT_SETTINGS,
            )
        )
        self.workers = workers
        self.rows = rows

    def _start_workers(self, domain: str) -> None:
        port = next(self._ports)
        address = f"127.0.0.1:{port}"
        self.addresses["workers"] = address
        self._start_child(
            "workers",
            "standins.workers",
            f"--address={address}",
            f"--workers={self.workers}",
        )
        wait_for(lambda: call(address, "GET", "/traffic"), what="workers")
        self.machines += [
            self.describe_worker(n, domain, port) for n in range(self.workers)
        ]
        self.machines += [
            self.describe_worker(n, "elsewhere", port)
            for n in range(self.workers, self.workers + self.rows)
        ]

    @staticmethod
    def describe_worker(number: int, domain: str, port: int) -> dict[str, Any]:
        """Return a worker's row of the VM list."""
        return {
            "name": f"worker-{number}",
            "role": "worker",
            "failure_domain": domain,
            "rack": f"rack-{number // 16}",
            "address": worker_address(number, port),
            "accelerators": 2,
            "cpus": 32,
            "memory_mb": 65536,
            "labels": {"pool": "night"},
        }

    def read_traffic(self) -> int:
        """Return the bytes sent between the leader and its workers so far."""
        found = call(self.addresses["workers"], "GET", "/traffic")[1]
        return int(found["received"] + found["sent"])

    def find_leader(self) -> str:
        """Wait for a scheduler that leads and return its name."""
        names = [n for n in self.fabric if n.endswith("/scheduler")]

        def find() -> str | None:
            for name in names:
                try:
                    metrics = read_metrics(self.addresses[name])
                except OSError:
                    continue
                if metrics.get("firladder_leader_epoch", 0) > 0:
                    return name
            return None

        return str(wait_for(find, 60, "a leader"))

    def count_claimed_workers(self, name: str) -> int:
        """Return the number of workers that a leader has claimed."""
        events = call(self.addresses[name], "GET", "/v1/events")[1]["events"]
        return sum(e["number"] == 410 for e in events)

    def wait_until_claimed(self, name: str) -> None:
        """Wait until a leader has claimed every worker."""
        wait_for(lambda: self.count_claimed_workers(name) >= self.workers, 60, "claims")

    def submit(self, job: str, members: int, run_time_s: float) -> None:
        """Submit a gang of tasks without accelerators."""
        spec = {
            "id": job,
            "organisation": "squads",
            "members": members,
            "accelerators": 0,
            "adjacency": "domain",
            "run_time_s": run_time_s,
            "urgency": "urgent",
        }
        status, answer = call(self.gateway(), "POST", "/v1/jobs", spec)
        assert status == 202, answer

    def wait_for_state(self, job: str, state: str) -> None:
        """Wait until a job has reached this state."""
        wait_for(
            lambda: call(self.gateway(), "GET", f"/v1/jobs/{job}")[1]["state"] == state,
            60,
            f"{job} {state}",
        )
