"""Registry of specifications, and the check of one of them.

A specification names the guards of the real code. If a guard is removed, the steps
that it rejects become possible, and the checker must find a broken invariant: a model
that cannot fail proves nothing.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from ..exceptions import CheckerMissing

State = tuple[Any, ...]
Step = tuple[str, State]
Guards = frozenset[str]

MAX_STATES = 400_000
"""The checker rejects a larger state space instead of a partial search."""


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """One part of the protocol as states, steps and invariants.

    ``expand`` yields the steps from a state under the given guards;
    ``guards`` maps each guard to what it prevents.
    """

    name: str
    summary: str
    initial: State
    fields: tuple[str, ...]
    expand: Callable[[Any, Guards], Iterable[Step]]
    invariants: Mapping[str, Callable[[Any], bool]]
    guards: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a check; ``trace`` is a shortest path to a broken invariant."""

    specification: str
    without: str
    states: int
    depth: int
    complete: bool
    broken: str
    trace: tuple[str, ...]


SPECIFICATIONS: dict[str, Specification] = {}


def register(specification: Specification) -> Specification:
    """Add a specification to the registry."""
    SPECIFICATIONS[specification.name] = specification
    return specification


def find_by_guard(guard: str) -> Specification | None:
    """Return the specification that has the guard, or None."""
    return next((s for s in SPECIFICATIONS.values() if guard in s.guards), None)


def check(
    specification: Specification, *, without: str = ""
) -> Verdict | CheckerMissing:
    """Explore all states, with all guards or with one removed."""
    try:
        from minicheck import Protocol, check_safety
    except ImportError:
        return CheckerMissing(
            reason="minicheck is not installed; it comes with the test extra "
            "(pip install 'firladder[test]')"
        )
    guards = frozenset(specification.guards) - {without}
    depths = {specification.initial: 0}
    failed = False

    def expand(state: State) -> list[Step]:
        nonlocal failed
        failed = failed or not all(p(state) for p in specification.invariants.values())
        if failed:
            # The search is breadth-first: no later state is closer.
            return []
        steps = list(specification.expand(state, guards))
        for _, after in steps:
            # The search is breadth-first, so the first path found is a shortest.
            depths.setdefault(after, depths[state] + 1)
        return steps

    result = check_safety(
        Protocol(
            name=specification.name,
            candidate=False,
            fields=specification.fields,
            initial=specification.initial,
            transitions=expand,
            invariants={
                name: _adapt_predicate(type(specification.initial), predicate)
                for name, predicate in specification.invariants.items()
            },
        ),
        max_states=MAX_STATES,
    )
    broken = {
        name: property_["counterexample"]
        for name, property_ in result["properties"].items()
        if property_["counterexample"]
    }
    name = min(broken, key=lambda n: len(broken[n]), default="")
    return Verdict(
        specification.name,
        without,
        result["reachable_states"],
        max(depths.values()),
        result["exhaustive"],
        name,
        tuple(step["label"] for step in broken[name][1:]) if name else (),
    )


def _adapt_predicate(
    shape: Any, predicate: Callable[[Any], bool]
) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: predicate(shape(**fields))
