"""Interpret the state charts in the TOML files of this package."""

import tomllib
from importlib import resources
from typing import Any

import msgspec
from transitions import Machine

from ..exceptions import ChartError, IllegalTransition


class ChartTransition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One transition of a chart; ``handler`` names a method of the chart's owner."""

    event: str
    source: str | list[str]
    dest: str
    handler: str | None = None


class ChartDefinition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a chart file."""

    name: str
    states: list[str]
    initial: str
    final: list[str]
    transitions: list[ChartTransition]


class Chart:
    """A validated chart: a table from state and event to the next state."""

    def __init__(self, definition: ChartDefinition) -> None:
        """Validate the definition and build the transition table."""
        self.definition = definition
        # The transitions library validates the chart and expands lists of source
        # states. Firing events through it takes 20 µs each, so the table is read
        # directly, at the cost of a dictionary look-up.
        machine = Machine(
            model=None,
            states=definition.states,
            initial=definition.initial,
            transitions=[
                {"trigger": t.event, "source": t.source, "dest": t.dest}
                for t in definition.transitions
            ],
            auto_transitions=False,
        )
        handlers = {
            (state, t.event): t.handler
            for t in definition.transitions
            for state in ([t.source] if isinstance(t.source, str) else t.source)
        }
        self._table: dict[tuple[str, str], tuple[str, str | None]] = {
            (t.source, event): (str(t.dest), handlers.get((t.source, event)))
            for event in machine.events
            for t in machine.get_transitions(event)
        }
        unreachable = set(definition.states) - {d for d, _ in self._table.values()}
        if unreachable - {definition.initial}:
            raise ChartError(
                f"{definition.name}: no transition leads to {sorted(unreachable)}"
            )

    def advance(
        self, state: str, event: str
    ) -> tuple[str, str | None] | IllegalTransition:
        """Return the next state and the handler's name, or a failure."""
        found = self._table.get((state, event))
        if found is None:
            return IllegalTransition(
                reason=f"chart {self.definition.name}: no {event!r} in state {state!r}"
            )
        return found

    def list_transitions(self) -> list[tuple[str, str, str]]:
        """Return each transition as state, event and next state."""
        return [(s, e, d) for (s, e), (d, _) in self._table.items()]

    def check_handlers(self, owner: type) -> None:
        """Raise ``ChartError`` if ``owner`` lacks a handler that the chart names."""
        missing = [
            handler
            for _, handler in self._table.values()
            if handler and not callable(getattr(owner, handler, None))
        ]
        if missing:
            raise ChartError(
                f"{self.definition.name}: {owner.__name__} lacks {missing}"
            )


class ChartInstance:
    """The current state of one object, whose handlers run on transitions."""

    __slots__ = ("_chart", "_owner", "state")

    def __init__(self, chart: Chart, *, owner: object = None) -> None:
        """Start in the chart's initial state."""
        self._chart = chart
        self._owner = owner
        self.state = chart.definition.initial

    @property
    def ended(self) -> bool:
        """Return whether a final state has been reached."""
        return self.state in self._chart.definition.final

    def fire(self, event: str, **context: Any) -> IllegalTransition | None:
        """Make the transition for ``event`` and run its handler, or return why not."""
        found = self._chart.advance(self.state, event)
        if isinstance(found, IllegalTransition):
            return found
        self.state, handler = found
        if handler and self._owner is not None:
            getattr(self._owner, handler)(**context)
        return None


def load_chart(name: str) -> Chart:
    """Load and validate the chart file ``name`` of this package."""
    raw = resources.files(__package__).joinpath(f"{name}.toml").read_bytes()
    try:
        parsed = tomllib.loads(raw.decode())
        return Chart(msgspec.convert(parsed, ChartDefinition))
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise ChartError(f"{name}: {error}") from error
