"""Give the leadership of a VM with a small link to one with a larger link.

Large VMs stand for leader first, yet after an outage of the store a small one may be
the first to learn that nobody leads. Behind its link every order and record waits.
"""

import asyncio
from collections.abc import Callable, Iterable

from .election import LeaderFitness

HANDOVER_DELAY_S = 5.0
"""Seconds of a term before it may be handed over. A node whose watch of the key fell
silent notices within 4.6 s: given back sooner, the key may go to the next small VM."""

MAX_HANDOVER_DELAY_S = 80.0
"""The same at most. It doubles with each hand-over: where the larger VMs cannot take
over, a small one must not change places with itself again and again."""

CHECK_INTERVAL_S = 0.5
"""Seconds between two looks at who could lead; nodes greet the leader as often."""


class LeadershipHandover:
    """Tells when a leader should give way."""

    def __init__(
        self,
        *,
        own: LeaderFitness,
        list_candidates: Callable[[], Iterable[LeaderFitness]],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Judge for a VM of standing ``own``.

        ``list_candidates`` gives the standings of the peers that reach the store now.
        """
        self._own = own
        self._list_candidates = list_candidates
        self._reaches_store = reaches_store
        self._delay_s = HANDOVER_DELAY_S

    async def wait_until_due(self) -> None:
        """Return when the term that begins now should be handed over, if ever."""
        await asyncio.sleep(self._delay_s)
        while not self._is_due():
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._delay_s = min(2 * self._delay_s, MAX_HANDOVER_DELAY_S)

    def _is_due(self) -> bool:
        # Without the store the key cannot be given back, and nobody could take it.
        return self._reaches_store() and any(
            map(self._own.yields_to, self._list_candidates())
        )
