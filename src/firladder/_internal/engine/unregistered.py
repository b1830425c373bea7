"""Index of the workers whose entries are gone."""

from .state import Worker


class UnregisteredWorkers:
    """Finds workers without an entry by address.

    Each new entry may replace one of them. Looking through all workers for each entry
    of a listing would block the leader of a large fleet for longer than its lease.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._by_address: dict[str, dict[str, Worker]] = {}

    def add(self, worker: Worker) -> None:
        """Add a worker, which keeps its address as long as it is here."""
        at_address = self._by_address.setdefault(worker.entry.address, {})
        at_address[worker.worker_id] = worker

    def discard(self, worker: Worker) -> None:
        """Remove a worker if it is here."""
        at_address = self._by_address.get(worker.entry.address, {})
        at_address.pop(worker.worker_id, None)
        if not at_address:
            self._by_address.pop(worker.entry.address, None)

    def list_at(self, address: str) -> list[Worker]:
        """Return the workers that had this address."""
        return list(self._by_address.get(address, {}).values())
