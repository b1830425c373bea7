"""What is known of each worker's speed and reliability."""

import dataclasses

from .speeds import Speeds


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerProfile:
    """What is known of a worker now.

    ``slowness`` is the run time of a task there relative to a usual worker, and
    ``spread`` the standard deviation of its logarithm. ``measured`` says whether
    anything is known of this worker itself. ``doubt`` is the probability that a run
    fails or stalls there through the worker's fault.
    """

    slowness: float = 1.0
    spread: float = 0.0
    measured: bool = False
    doubt: float = 0.0


UNKNOWN = WorkerProfile()


class Profiles:
    """The profiles of all workers."""

    def __init__(self, speeds: Speeds) -> None:
        """Derive the profiles from the learned ``speeds``."""
        self._speeds = speeds

    def find(self, worker_id: str, now: float) -> WorkerProfile:
        """Return the profile of a worker at ``now`` (monotonic seconds)."""
        slowness = self._speeds.find_slowness(worker_id)
        return WorkerProfile(slowness, measured=self._speeds.knows(worker_id))

    def measure_spread(self, pool: str) -> float:
        """Return the standard deviation of the log slowness in a pool."""
        return 0.0
