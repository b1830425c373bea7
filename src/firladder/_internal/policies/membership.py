"""Decide which peers to contact, and which count as lost.

Sized for 6 failure domains of 9 entry VMs with 2 processes each. If all processes
contacted each other every second, each would use some 100 KB a second. So only the
gateways of one failure domain, which share the slots of targets, exchange heartbeats
every period; all other peers are contacted in rotation.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import Collection, Iterable

SILENT_PERIODS = 4
"""Missed contact periods after which a peer counts as lost. One lost packet or a
pause of a second must not make a gateway lose its shares."""

EXPIRY_PERIODS = 600
"""Periods after which a silent peer is forgotten; VMs are replaced daily."""

NEAR_FANOUT = 2
"""Peers of the own failure domain contacted each period, close ones excluded."""

FAR_FANOUT = 2
"""Other failure domains in which one peer is contacted each period."""

RETRY_FANOUT = 2
"""Lost peers contacted each period, and as many addresses without a known peer."""

FRESH_FRACTION = 0.8
"""Fraction of a period for which a close peer is not contacted after a message from
it: one exchange informs both sides, so a second one would be wasted."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """A peer as this process knows it; times are monotonic seconds."""

    address: str
    failure_domain: str
    role: str
    heard_at: float
    asked_at: float
    lost: bool

    @property
    def contacted_at(self) -> float:
        """Return the time of the last contact from or to the peer."""
        return max(self.heard_at, self.asked_at)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as one process knows it; ``period_s`` is the heartbeat interval."""

    now: float
    period_s: float
    failure_domain: str
    role: str
    peers: tuple[PeerView, ...]

    def shares_targets_with(self, peer: PeerView) -> bool:
        """Return whether both are gateways that share targets (a close peer)."""
        near = peer.failure_domain == self.failure_domain
        return near and self.role == peer.role == "gateway"

    def split(self) -> tuple[list[PeerView], list[PeerView], list[list[PeerView]]]:
        """Return close peers, others of this domain, and peers by other domain."""
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
    """Return the addresses to contact in this period."""
    alive = dataclasses.replace(view, peers=tuple(p for p in view.peers if not p.lost))
    close, others, far = alive.split()
    due = view.now - FRESH_FRACTION * view.period_s
    due_peers = {p.address for p in close if p.heard_at < due}
    # In strict rotation: with a random choice, a live peer may not be contacted for
    # longer than the time after which it counts as lost.
    near_contacts = sorted(others, key=lambda p: p.contacted_at)[:NEAR_FANOUT]
    domains = sorted(far, key=lambda group: max(p.asked_at for p in group))
    far_contacts = (min(g, key=lambda p: p.contacted_at) for g in domains[:FAR_FANOUT])
    # Lost peers and unknown addresses are retried: after a network partition heals,
    # no other process may report that they are back.
    lost = [p.address for p in view.peers if p.lost]
    retried = _sample(lost, rng) | _sample(sorted(unknown_addresses), rng)
    return due_peers | {p.address for p in (*near_contacts, *far_contacts)} | retried


def _sample(addresses: list[str], rng: random.Random) -> set[str]:
    return set(rng.sample(addresses, min(RETRY_FANOUT, len(addresses))))


def find_lost(view: FleetView) -> set[str]:
    """Return the peers that have been silent for too long, and so count as lost."""
    close, others, far = view.split()
    near_rotation_periods = max(1, math.ceil(len(others) / NEAR_FANOUT))
    silent = {p.address for p in close if _is_silent(view, p.heard_at, 1)}
    silent |= {
        p.address for p in others if _is_silent(view, p.heard_at, near_rotation_periods)
    }
    domain_rotation_periods = max(1, math.ceil(len(far) / FAR_FANOUT))
    return silent.union(
        *(_find_lost_far(view, group, domain_rotation_periods) for group in far)
    )


def _find_lost_far(
    view: FleetView, group: list[PeerView], domain_rotation_periods: int
) -> Iterable[str]:
    # One peer of a large failure domain is contacted rarely, so a partition shows
    # much sooner by the silence of the whole domain.
    if _is_silent(view, max(p.heard_at for p in group), domain_rotation_periods):
        return {p.address for p in group}
    peer_rotation_periods = domain_rotation_periods * len(group)
    return {
        p.address for p in group if _is_silent(view, p.heard_at, peer_rotation_periods)
    }


def _is_silent(view: FleetView, heard_at: float, periods: int) -> bool:
    return view.now - heard_at > SILENT_PERIODS * periods * view.period_s


def find_expired(view: FleetView) -> set[str]:
    """Return the peers that have been silent for so long that they are forgotten."""
    oldest = view.now - EXPIRY_PERIODS * view.period_s
    return {p.address for p in view.peers if p.heard_at < oldest}


def measure_pause(*, slept_s: float, period_s: float) -> float:
    """Return for how long this process itself was suspended, in seconds.

    A process that resumes has received no heartbeats, and would take all peers for
    lost although only it was suspended.
    """
    return slept_s if slept_s > 2 * period_s else 0.0
