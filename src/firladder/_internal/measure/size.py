"""The fleet size that capacity is computed for."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Size:
    """A fleet size; the first ten fields are requirements, the rest assumptions."""

    workers: int = 1300
    accelerators: int = 2400
    jobs_per_day: int = 830
    tasks: int = 19_000
    largest_gang: int = 128
    teams: int = 200
    domains: int = 6
    changes_per_day: int = 3400
    replaced_per_day: int = 160
    failed_per_day: int = 14
    entry_vms: int = 18
    targets: int = 382
    job_days_kept: int = 7

    @property
    def domain_workers(self) -> float:
        """Return the mean number of workers of a leader."""
        return self.workers / self.domains

    @property
    def domain_tasks(self) -> float:
        """Return the mean number of tasks of a leader."""
        return self.tasks / self.domains

    @property
    def processes(self) -> int:
        """Return the number of daemons of the fleet: two on each entry VM."""
        return 2 * self.entry_vms

    @property
    def heartbeat_peers(self) -> float:
        """Return the number of daemons that each exchanges heartbeats with."""
        # Per period: all of its own failure domain, and two of others in rotation.
        return self.processes / self.domains + 2

    @property
    def rows(self) -> int:
        """Return the number of rows of the platform's VM list."""
        return self.workers + self.targets + self.entry_vms

    @property
    def mean_gang(self) -> float:
        """Return the mean gang size, for jobs that run for about a day."""
        return self.tasks / self.jobs_per_day
