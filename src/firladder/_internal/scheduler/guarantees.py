"""Report guaranteed shapes that can no longer be placed, and their restoration."""

from ..policies.cells import find_degraded
from ..policies.placement import DomainView
from ..utils.events import Event, Timeline


class GuaranteeWatch:
    """The degraded guarantees of one failure domain, by organisation."""

    def __init__(self, timeline: Timeline) -> None:
        """Record every change on ``timeline``."""
        self._timeline = timeline
        self._checked: tuple[int, frozenset[str]] | None = None
        self.degraded: dict[str, str] = {}

    def check(self, view: DomainView, *, revision: int) -> None:
        """Update ``degraded`` if the usable workers or the configuration changed."""
        usable = frozenset(w.name for w in view.workers if w.usable)
        if (revision, usable) == self._checked:
            return
        self._checked = (revision, usable)
        degraded = find_degraded(view)
        for name in degraded.keys() - self.degraded.keys():
            self._timeline.record(
                Event.GUARANTEE_DEGRADED, organisation=name, reason=degraded[name]
            )
        for name in self.degraded.keys() - degraded.keys():
            self._timeline.record(Event.GUARANTEE_RESTORED, organisation=name)
        self.degraded = degraded
