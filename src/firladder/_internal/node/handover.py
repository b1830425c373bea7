"""Hand the leadership over from a VM with a small link to one with a larger link.

Large VMs campaign first, but after a store outage a small VM may be the first to learn
that there is no leader. Its link would then delay every order and record.
"""

import asyncio
from collections.abc import Callable, Iterable

from .election import LeaderFitness

HANDOVER_DELAY_S = 5.0
"""Initial seconds of a term before it may be handed over. A node whose watch of the key
was interrupted notices within 4.6 s; released sooner, the key may go to another small
VM."""

MAX_HANDOVER_DELAY_S = 80.0
"""Maximum of the same delay, which doubles with each handover: a small VM must not hand
over to itself again and again while the larger VMs cannot take over."""

CHECK_INTERVAL_S = 0.5
"""Seconds between two checks of the candidates; nodes greet the leader as often."""


class LeadershipHandover:
    """Decides when a leader should hand over."""

    def __init__(
        self,
        *,
        own: LeaderFitness,
        list_candidates: Callable[[], Iterable[LeaderFitness]],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Decide for a VM of fitness ``own``.

        ``list_candidates`` returns the fitness of the peers that can reach the store.
        """
        self._own = own
        self._list_candidates = list_candidates
        self._reaches_store = reaches_store
        self._delay_s = HANDOVER_DELAY_S

    async def wait_until_due(self) -> None:
        """Wait until the term that begins now should be handed over."""
        await asyncio.sleep(self._delay_s)
        while not self._is_due():
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._delay_s = min(2 * self._delay_s, MAX_HANDOVER_DELAY_S)

    def _is_due(self) -> bool:
        # During a store outage the key can neither be released nor be acquired.
        return self._reaches_store() and any(
            map(self._own.yields_to, self._list_candidates())
        )
