"""Apply the operators' requests to evacuate failure domains."""

from collections.abc import Callable

from ..engine.core import Core
from ..platform.evacuation import decode_evacuated_domain
from ..platform.store import Change, Listing
from ..utils.events import Event, Timeline


class Evacuations:
    """Keeps the core's evacuated failure domains up to date and records changes."""

    def __init__(
        self, *, core: Core, timeline: Timeline, on_change: Callable[[], None]
    ) -> None:
        """Update ``core``; call ``on_change`` after each update."""
        self._core = core
        self._timeline = timeline
        self._on_change = on_change

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of all current requests."""
        domains = (decode_evacuated_domain(item.key) for item in listing.items)
        self._set_domains(frozenset(domains))

    def apply_change(self, change: Change) -> None:
        """Apply a new request or the end of one."""
        domain = frozenset((decode_evacuated_domain(change.key),))
        if change.value is None:
            self._set_domains(self._core.evacuated - domain)
        else:
            self._set_domains(self._core.evacuated | domain)

    def _set_domains(self, domains: frozenset[str]) -> None:
        for domain in sorted(domains - self._core.evacuated):
            self._timeline.record(Event.DOMAIN_EVACUATED, evacuated=domain)
        for domain in sorted(self._core.evacuated - domains):
            self._timeline.record(Event.DOMAIN_RESTORED, taken_back=domain)
        self._core.evacuate_domains(domains)
        self._on_change()
