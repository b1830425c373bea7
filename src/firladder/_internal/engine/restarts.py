"""Which workers crash by themselves, whatever runs there."""

import dataclasses
from collections.abc import Collection

from ..models.workload import WorkerEntry

MEMORY_S = 30.0
"""Seconds for which a crash is remembered: some periods of a worker that keeps going
down and up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A crash of the worker at some address, and the jobs that had run there."""

    at: float
    jobs: frozenset[str]


class Restarts:
    """The recent crashes at each address; incarnations there come and go."""

    def __init__(self) -> None:
        """Start without any."""
        self._recent: dict[str, list[Restart]] = {}
        self._holders: dict[str, WorkerEntry] = {}

    def record(self, address: str, jobs: Collection[str], now: float) -> None:
        """Record a crash of a worker, and the jobs that ran there."""
        recent = [r for r in self._recent.get(address, ()) if now - r.at < MEMORY_S]
        self._recent[address] = [*recent, Restart(now, frozenset(jobs))]

    def forget_holder(self, entry: WorkerEntry) -> None:
        """Forget an incarnation whose end is known."""
        holder = self._holders.get(entry.address)
        if holder is not None and holder.worker_id == entry.worker_id:
            del self._holders[entry.address]

    def replace_holder(self, entry: WorkerEntry) -> WorkerEntry | None:
        """Record the incarnation at an address; return the one that it replaces."""
        former = self._holders.get(entry.address)
        self._holders[entry.address] = entry
        if former is None or former.worker_id == entry.worker_id:
            return None
        return former

    def forget_job(self, job_id: str) -> None:
        """Forget the crashes that a job has caused."""
        self._recent = {
            address: [r for r in recent if job_id not in r.jobs]
            for address, recent in self._recent.items()
        }

    def is_unstable(self, address: str, now: float, *, without: str = "") -> bool:
        """Return whether the worker there crashes by itself.

        It did so lately while it was idle, or twice without the job ``without``.
        """
        others = [
            restart
            for restart in self._recent.get(address, ())
            if now - restart.at < MEMORY_S and without not in restart.jobs
        ]
        return len(others) > 1 or any(not restart.jobs for restart in others)
