"""Choose the failure domain of a job; a gang never spans two."""

from collections.abc import Iterable, Mapping, Sequence

from ..exceptions import GangTooLarge, InvalidValue
from ..models.configuration import Configuration
from ..models.job import JobSpec
from ..models.machine import Machine
from .selectors import Selector, collect_labels


def count_members_when_empty(spec: JobSpec, workers: Sequence[Machine]) -> int:
    """Return how many members fit on the workers when these are empty."""
    return sum(_count_members(spec, worker) for worker in workers)


def _count_members(spec: JobSpec, worker: Machine) -> int:
    limits = [spec.members]
    if spec.accelerators:
        limits.append(worker.accelerators // spec.accelerators)
    if spec.cpus:
        limits.append(worker.cpus // spec.cpus)
    if spec.memory_mb:
        limits.append(worker.memory_mb // spec.memory_mb)
    return max(0, min(limits))


def can_ever_fit(spec: JobSpec, workers: Iterable[Machine]) -> bool:
    """Return whether the gang would fit on the workers if all were empty."""
    groups: dict[str, list[Machine]] = {}
    for worker in workers:
        key = {"worker": worker.name, "rack": worker.rack, "domain": ""}
        groups.setdefault(key[spec.adjacency], []).append(worker)
    return any(
        count_members_when_empty(spec, g) >= spec.members for g in groups.values()
    )


def choose_domain(
    spec: JobSpec,
    *,
    organisation: str,
    selector: Selector,
    configuration: Configuration,
    workers: Sequence[Machine],
    load: Mapping[str, int],
) -> str | GangTooLarge | InvalidValue:
    """Return the failure domain for a job, or why there is none.

    A job that can never fit is refused here: it would wait in the queue without end
    and, at its head, hold a reservation that starves others. Domains where the
    organisation has a guarantee that it can reclaim are preferred; then the domain with
    the fewest queued and running jobs.
    """
    domains = sorted({w.failure_domain for w in workers})
    if spec.failure_domain is not None and spec.failure_domain not in domains:
        return InvalidValue(
            reason=f"no failure domain {spec.failure_domain!r}", field="failure_domain"
        )
    wanted = [spec.failure_domain] if spec.failure_domain else domains
    fitting = [
        domain
        for domain in wanted
        if can_ever_fit(
            spec,
            (
                w
                for w in workers
                if w.failure_domain == domain
                and selector.match(
                    collect_labels(configuration, "worker", w.name, w.labels)
                )
            ),
        )
    ]
    if not fitting:
        return GangTooLarge(
            reason=(
                f"{spec.members} members of {spec.accelerators} accelerators fit "
                f"into no {spec.adjacency} that the selector allows"
            ),
            field="members",
        )
    org = configuration.organisations.get(organisation)
    guaranteed_domains = {cell.failure_domain for cell in org.shape} if org else set()
    return min(fitting, key=lambda d: (d not in guaranteed_domains, load.get(d, 0), d))
