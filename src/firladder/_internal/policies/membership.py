"""Decide which peers to contact, and which count as lost.

Made for 6 failure domains of 9 entry VMs with 2 processes each. Everybody
greeting everybody each second costs each process some 100 KB a second there,
so only gateways of one failure domain, which share targets slot by slot, hear
each other every period; all others are contacted by turns.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import Collection, Iterable

SILENT_PERIODS = 4
"""Times the expected period without a word after which a peer counts as lost.
One lost packet or a pause of a second must not empty a gateway's shares."""

EXPIRY_PERIODS = 600
"""Periods after which a silent peer's row is dropped; VMs are replaced daily."""

NEAR_FANOUT = 2
"""Peers of the own failure domain contacted each period beside close ones."""

FAR_FANOUT = 2
"""Other failure domains of which one peer each is contacted each period."""

RETRY_FANOUT = 2
"""Lost peers, and addresses not heard of yet, tried each period."""

FRESH_FRACTION = 0.8
"""Part of a period within which a close peer that was heard is not greeted:
one exchange tells both sides, so a second one is paid for nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What is known of a peer; times are monotonic seconds."""

    address: str
    failure_domain: str
    role: str
    heard_at: float
    asked_at: float
    lost: bool

    @property
    def contacted_at(self) -> float:
        """Return when the last exchange with the peer was begun."""
        return max(self.heard_at, self.asked_at)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as one process knows it. ``period_s`` is between heartbeats."""

    now: float
    period_s: float
    failure_domain: str
    role: str
    peers: tuple[PeerView, ...]

    def shares_targets_with(self, peer: PeerView) -> bool:
        """Return whether this process shares targets with the peer."""
        near = peer.failure_domain == self.failure_domain
        return near and self.role == peer.role == "gateway"

    def split(self) -> tuple[list[PeerView], list[PeerView], list[list[PeerView]]]:
        """Return close peers, others nearby, and those of each other domain."""
        near = [p for p in self.peers if p.failure_domain == self.failure_domain]
        close = [p for p in near if self.shares_targets_with(p)]
        others = [p for p in near if not self.shares_targets_with(p)]
        return close, others, _group_far(self)


def _group_far(view: FleetView) -> list[list[PeerView]]:
    far = [p for p in view.peers if p.failure_domain != view.failure_domain]
    ordered = sorted(far, key=lambda p: p.failure_domain)
    groups = itertools.groupby(ordered, key=lambda p: p.failure_domain)
    return [list(group) for _, group in groups]


def choose_contacts(
    view: FleetView, *, unknown_addresses: Collection[str], rng: random.Random
) -> set[str]:
    """Return the addresses to greet in this period."""
    alive = dataclasses.replace(view, peers=tuple(p for p in view.peers if not p.lost))
    close, others, far = alive.split()
    due = view.now - FRESH_FRACTION * view.period_s
    greeted = {p.address for p in close if p.heard_at < due}
    # Strictly by turns: drawn at random, a live peer can go undrawn for longer
    # than the limit of its silence.
    turns = sorted(others, key=lambda p: p.contacted_at)[:NEAR_FANOUT]
    domains = sorted(far, key=lambda group: max(p.asked_at for p in group))
    visits = (min(g, key=lambda p: p.contacted_at) for g in domains[:FAR_FANOUT])
    # Lost peers and strangers are tried again: after a cut heals nobody else
    # may tell this process that they are back.
    lost = [p.address for p in view.peers if p.lost]
    retried = _sample(lost, rng) | _sample(sorted(unknown_addresses), rng)
    return greeted | {p.address for p in (*turns, *visits)} | retried


def _sample(addresses: list[str], rng: random.Random) -> set[str]:
    return set(rng.sample(addresses, min(RETRY_FANOUT, len(addresses))))


def find_lost(view: FleetView) -> set[str]:
    """Return the peers that have been silent for too long."""
    close, others, far = view.split()
    turn = max(1, math.ceil(len(others) / NEAR_FANOUT))
    silent = {p.address for p in close if _is_silent(view, p.heard_at, 1)}
    silent |= {p.address for p in others if _is_silent(view, p.heard_at, turn)}
    visit = max(1, math.ceil(len(far) / FAR_FANOUT))
    return silent.union(*(_find_lost_far(view, group, visit) for group in far))


def _find_lost_far(view: FleetView, group: list[PeerView], visit: int) -> Iterable[str]:
    # One peer of a large failure domain comes up rarely. That the whole domain
    # is silent is noticed much sooner, which is how a cut shows.
    if _is_silent(view, max(p.heard_at for p in group), visit):
        return {p.address for p in group}
    turn = visit * len(group)
    return {p.address for p in group if _is_silent(view, p.heard_at, turn)}


def _is_silent(view: FleetView, heard_at: float, periods: int) -> bool:
    return view.now - heard_at > SILENT_PERIODS * periods * view.period_s


def find_expired(view: FleetView) -> set[str]:
    """Return the peers whose rows need not be kept any longer."""
    oldest = view.now - EXPIRY_PERIODS * view.period_s
    return {p.address for p in view.peers if p.heard_at < oldest}


def measure_pause(*, slept_s: float, period_s: float) -> float:
    """Return for how long this process itself was paused, in seconds.

    A process that wakes after a pause has heard nobody, and would take all
    peers for lost although only it was away.
    """
    return slept_s if slept_s > 2 * period_s else 0.0
