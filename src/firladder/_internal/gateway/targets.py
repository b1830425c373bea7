"""This gateway's view of the targets: free capacity, latency and failures."""

import dataclasses
from collections.abc import Iterable, Mapping

from ..etcd.inventory import Inventory
from ..models.configuration import Configuration
from ..models.machine import Machine
from ..models.message import Heartbeat
from ..policies.request_views import TargetView
from ..policies.routing import INITIAL_LATENCY_S, TargetStats, find_typical_latency
from ..policies.selectors import Selector, collect_labels
from ..policies.sharing import SharingPolicy

Demands = Mapping[str, Mapping[str, int]]
"""Requests queued and in flight, by service and by the gateway's address."""

PANIC_DIVISOR = 2
"""If more than one in this many targets are on probe, none is restricted."""

LATENCY_WEIGHT = 0.1
"""Weight of one answer in the moving average of the latency."""

RECOVERY_LATENCY_WEIGHT = 0.3
"""The same for an answer in less than half the average. After a slow phase a few
answers must be enough to admit callers again."""

MEDIAN_INTERVAL = 16
"""Number of answers between updates of the median latencies."""


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this gateway knows about a target.

    ``share`` is the number of requests that it may have in flight there.
    """

    machine: Machine
    stats: TargetStats = dataclasses.field(default_factory=TargetStats)
    share: int = 1
    leaving: bool = False

    @property
    def is_leaving(self) -> bool:
        """Return whether the target, a peer or the VM list says it is leaving."""
        return self.leaving or self.machine.state == "leaving"


class TargetTable:
    """All targets known to this gateway."""

    def __init__(
        self, *, inventory: Inventory, own_address: str, share: SharingPolicy
    ) -> None:
        """Follow the inventory; ``own_address`` names this gateway in the demands."""
        self._inventory = inventory
        self._own_address = own_address
        self._share = share
        self._demands: Demands = {}
        self._selected: dict[tuple[str, Selector], list[TargetState]] = {}
        self._revision = -1
        self._median_s: dict[str, float] = {}
        self._expected_s: dict[str, float] = {}
        self._recorded = 0
        self.states: dict[str, TargetState] = {}

    def refresh(self) -> None:
        """Update the targets from the VM list, keeping the state of known ones."""
        machines = {m.name: m for m in self._inventory.list_role("target")}
        for name in set(self.states) - set(machines):
            del self.states[name]
        for name, machine in machines.items():
            state = self.states.get(name)
            if state is None or state.machine.address != machine.address:
                self.states[name] = TargetState(machine)
            else:
                state.machine = machine
        self._selected.clear()
        self._share_slots()

    def set_demands(self, demands: Demands) -> None:
        """Recompute the shares from the demands of all gateways."""
        self._demands = demands
        self._share_slots()

    def _share_slots(self) -> None:
        services = {s.machine.service for s in self.states.values()}
        for service in services:
            states = [s for s in self.states.values() if s.machine.service == service]
            demands = self._demands.get(service, {})
            slots = {s.machine.name: s.machine.slots for s in states}
            shares = self._share(slots, demands, self._own_address)
            gateways = max(1, len(demands))
            for state in states:
                connections = max(1, state.machine.connections // gateways)
                state.share = min(shares[state.machine.name], connections)

    def list_views(
        self, service: str, selector: Selector, configuration: Configuration, now: float
    ) -> list[TargetView]:
        """Return the targets that the selector matches and that have a free slot.

        Full targets are skipped before their views are built: under saturation
        nearly all targets are full.
        """
        states = self._list_staying(service, selector, configuration)
        probing = sum(s.stats.on_probe for s in states)
        # If most targets seem to fail at once, the cause is more likely in the
        # requests or in this gateway; avoiding all targets would serve nobody.
        trusted = probing * PANIC_DIVISOR <= len(states)
        no_shares = not any(s.share for s in states)
        views = []
        for state in states:
            share = state.share
            if no_shares and state is states[0]:
                # With more gateways than slots this gateway still sends one
                # request at a time, or its callers would wait forever.
                share = 1
            if trusted and state.stats.on_probe:
                share = min(share, 1)
            if len(state.stats.sent_at) < share:
                views.append(self._make_view(state, share, now, trusted=trusted))
        return views

    def _make_view(
        self, state: TargetState, share: int, now: float, *, trusted: bool
    ) -> TargetView:
        stats = state.stats
        typical_s = self.find_typical_latency(state.machine.service)
        return TargetView(
            state.machine.name,
            len(stats.sent_at),
            share,
            stats.estimate_latency(now, typical_s),
            stats.failures,
            stats.retry_at if trusted else 0.0,
            False,
            stats.find_oldest_age(now),
        )

    def measure_capacity(
        self, service: str, selector: Selector, configuration: Configuration
    ) -> int:
        """Return how many requests the matching targets may run; 0 without targets."""
        states = self._list_staying(service, selector, configuration)
        return max(1, sum(s.share for s in states)) if states else 0

    def _list_staying(
        self, service: str, selector: Selector, configuration: Configuration
    ) -> list[TargetState]:
        found = self._select(service, selector, configuration)
        return [state for state in found if not state.is_leaving]

    def _select(
        self, service: str, selector: Selector, configuration: Configuration
    ) -> list[TargetState]:
        if configuration.revision != self._revision:
            self._selected.clear()
            self._revision = configuration.revision
        found = self._selected.get((service, selector))
        if found is None:
            found = [
                state
                for state in self.states.values()
                if state.machine.service == service
                and selector.match(_collect_labels(state.machine, configuration))
            ]
            self._selected[service, selector] = found
        return found

    def record_success(self, name: str, latency_s: float, now: float) -> None:
        """Update the statistics of a target and the latencies with an answer."""
        state = self.states.get(name)
        if state is None:
            return
        service = state.machine.service
        expected_s = self._expected_s.get(service, latency_s)
        weight = (
            RECOVERY_LATENCY_WEIGHT if latency_s < expected_s / 2 else LATENCY_WEIGHT
        )
        self._expected_s[service] = expected_s + weight * (latency_s - expected_s)
        typical_s = self.find_typical_latency(service)
        state.stats.record_success(latency_s, now, typical_s)
        self._recorded += 1
        if self._recorded < MEDIAN_INTERVAL or self._recorded % MEDIAN_INTERVAL == 0:
            self._median_s.clear()

    def record_failure(self, name: str, now: float) -> None:
        """Update the statistics of a target with a failure."""
        state = self.states.get(name)
        if state is not None:
            state.stats.record_failure(now)

    def estimate_latency(self, service: str) -> float:
        """Return the expected latency of the next request, in seconds.

        This is a moving average over the latest answers. The median over the
        targets would show a recovery only after several requests to each target,
        which takes too long while few requests are admitted.
        """
        return self._expected_s.get(service, INITIAL_LATENCY_S)

    def find_typical_latency(self, service: str) -> float:
        """Return the median latency of the targets of a service, in seconds."""
        found = self._median_s.get(service)
        if found is None:
            states = self.states.values()
            found = self._median_s[service] = find_typical_latency(
                s.stats for s in states if s.machine.service == service
            )
        return found

    def list_leaving(self, failure_domain: str) -> tuple[str, ...]:
        """Return the targets of a failure domain that report that they are leaving."""
        return tuple(
            sorted(
                name
                for name, state in self.states.items()
                if state.leaving and state.machine.failure_domain == failure_domain
            )
        )

    def update_leaving(
        self, heartbeats: Iterable[Heartbeat], *, own_domain: str
    ) -> list[str]:
        """Update the leaving targets of other failure domains; return new ones.

        A failure domain without heartbeats changes nothing: a target must not
        count as live again only because no gateway reports on it.
        """
        by_domain: dict[str, set[str]] = {}
        for heartbeat in heartbeats:
            names = by_domain.setdefault(heartbeat.identity.failure_domain, set())
            names.update(heartbeat.leaving_targets)
        newly_leaving = []
        for name, state in self.states.items():
            domain = state.machine.failure_domain
            if domain == own_domain or domain not in by_domain:
                continue
            leaving = name in by_domain[domain]
            if leaving and not state.leaving:
                newly_leaving.append(name)
            state.leaving = leaving
        return newly_leaving


def _collect_labels(machine: Machine, configuration: Configuration) -> dict[str, str]:
    return collect_labels(configuration, "target", machine.name, machine.labels)
