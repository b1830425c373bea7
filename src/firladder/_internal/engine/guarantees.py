"""Whether urgent work is within its organisation's guarantee."""

from .core import Core
from .state import Unit


def is_guaranteed(core: Core, unit: Unit) -> bool:
    """Return whether the organisation's urgent work is within its guarantee."""
    name = unit.job.accepted.organisation
    guaranteed = next(
        (
            o.guaranteed_accelerators
            for o in core.configuration.organisations
            if o.name == name
        ),
        0,
    )
    needed = sum(
        max(s.count * s.need.accelerators for s in j.accepted.workload.steps)
        for j in core.jobs.values()
        if not j.terminal
        and j.accepted.priority == 0
        and j.accepted.organisation == name
    )
    return needed <= guaranteed
