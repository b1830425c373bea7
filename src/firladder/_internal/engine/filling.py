"""The order in which single tasks of one step fill the workers within a pass."""

from collections import deque
from collections.abc import Collection, Mapping, Sequence

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
        self._left = deque(
            order_by_fit(
                unit.step, pool, taken, run_time_s=run_time_s, preference=preference
            )
        )

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
            first = self._left[0]
            if first.worker_id not in held and takes_another(
                unit.step, first, taken, run_time_s=run_time_s
            ):
                return first.worker_id
            self._left.popleft()
        return None
