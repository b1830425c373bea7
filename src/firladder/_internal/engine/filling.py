"""The order in which single tasks of one step fill the workers within a pass."""

import itertools
from collections import deque
from collections.abc import Collection, Iterator, Mapping, Sequence

from .placement import Candidate, order_by_fit, takes_another
from .preferences import Preference
from .state import Unit

StepKey = tuple[str, int, int]
"""A job's id, an occurrence, and the number of a step."""


def name_step(unit: Unit) -> StepKey:
    """Return the key of a unit's step."""
    return unit.job.accepted.job_id, unit.occurrence, unit.step_index


class Filling:
    """The workers for one step's tasks, the best first.

    The order is kept from task to task: a step of dozens of tasks would otherwise look
    through the whole pool for each of them.
    """

    def __init__(
        self,
        unit: Unit,
        pool: Sequence[Candidate],
        taken: Mapping[str, int],
        preference: Preference,
        *,
        run_time_s: float,
    ) -> None:
        """Order the workers of ``pool`` for the tasks of the unit's step."""
        self.step_key = name_step(unit)
        ordered = order_by_fit(
            unit.step, pool, taken, run_time_s=run_time_s, preference=preference
        )
        self._left = deque(_list_turns(ordered, preference))

    def choose(
        self,
        unit: Unit,
        taken: Mapping[str, int],
        *,
        run_time_s: float,
        held: Collection[str],
    ) -> str | None:
        """Return the worker for the next task, or None; none of ``held`` is used."""
        while self._left:
            candidate, once = self._left[0]
            fits = candidate.worker_id not in held and takes_another(
                unit.step, candidate, taken, run_time_s=run_time_s
            )
            if once or not fits:
                self._left.popleft()
            if fits:
                return candidate.worker_id
        return None


def _list_turns(
    ordered: Sequence[Candidate], preference: Preference
) -> Iterator[tuple[Candidate, bool]]:
    """Yield the workers in order, and whether each takes a single task in this turn.

    Neighbours of which nothing is known get one task each before they are filled.
    """
    for explores, group in itertools.groupby(ordered, preference.explores):
        members = list(group)
        if explores:
            yield from ((candidate, True) for candidate in members)
        yield from ((candidate, False) for candidate in members)
