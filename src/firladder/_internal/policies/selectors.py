"""Parse and match label selectors, and find the operators' rule for work.

The grammar is comma-separated terms, all of which must hold: ``key=value``,
``key!=value``, ``key in (a, b)``, ``key notin (a, b)``, ``key`` and ``!key``.
"""

import dataclasses
import functools
import re
from collections.abc import Mapping
from typing import Literal

from ..exceptions import InvalidValue
from ..models.configuration import Configuration, Rule, Urgency

Operator = Literal["in", "notin", "exists", "absent"]

_KEY = r"[A-Za-z0-9][A-Za-z0-9_./-]*"
_VALUE = r"[A-Za-z0-9_.-]*"
_TERM = re.compile(
    rf"\s*(?:(?P<absent>!)\s*(?P<akey>{_KEY})"
    rf"|(?P<key>{_KEY})\s*(?:(?P<op>==?|!=)\s*(?P<value>{_VALUE})"
    rf"|(?P<set>\s(?:in|notin))\s*\((?P<values>[^()]*)\))?)\s*(?:,|$)"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """One condition of a selector."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def match(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels satisfy the condition."""
        found = labels.get(self.key)
        if self.operator == "exists":
            return found is not None
        if self.operator == "absent":
            return found is None
        if self.operator == "in":
            return found in self.values
        return found not in self.values


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A parsed selector; the empty one matches everything."""

    terms: tuple[Term, ...] = ()

    def match(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels satisfy every condition."""
        return all(term.match(labels) for term in self.terms)


@functools.lru_cache(maxsize=4096)
def parse_selector(text: str) -> Selector | InvalidValue:
    """Return the parsed selector, or a failure with the position of the error."""
    terms: list[Term] = []
    position = 0
    while position < len(text):
        match = _TERM.match(text, position)
        if match is None or match.end() == position:
            return InvalidValue(
                reason=f"selector does not parse at {text[position:]!r}"
            )
        term = _read_term(match)
        if isinstance(term, InvalidValue):
            return term
        terms.append(term)
        position = match.end()
    if text.rstrip().endswith(","):
        return InvalidValue(reason="selector ends with a comma")
    return Selector(tuple(terms))


def _read_term(match: "re.Match[str]") -> Term | InvalidValue:
    if match["absent"]:
        return Term(match["akey"], "absent")
    if match["op"]:
        operator: Operator = "notin" if match["op"] == "!=" else "in"
        return Term(match["key"], operator, frozenset((match["value"],)))
    if match["set"]:
        values = [v.strip() for v in match["values"].split(",")]
        if not all(re.fullmatch(_VALUE, v) and v for v in values):
            return InvalidValue(reason=f"bad value in ({match['values']})")
        name: Operator = "in" if match["set"].strip() == "in" else "notin"
        return Term(match["key"], name, frozenset(values))
    return Term(match["key"], "exists")


@dataclasses.dataclass(frozen=True, slots=True)
class Steering:
    """Organisation, urgency and selectors of one job or request by the rules."""

    organisation: str
    urgency: Urgency
    workers: Selector
    targets: Selector
    rule: str | None = None


def find_steering(
    configuration: Configuration,
    *,
    organisation: str,
    urgency: Urgency,
    labels: Mapping[str, str],
) -> Steering:
    """Return the steering of the first rule that matches the work's labels."""
    seen = {**labels, "organisation": organisation, "urgency": urgency}
    ordered = sorted(configuration.rules.items(), key=lambda r: (r[1].order, r[0]))
    for name, rule in ordered:
        if _match_text(rule.selects, seen):
            return _apply_rule(name, rule, organisation, urgency)
    return Steering(organisation, urgency, Selector(), Selector())


def _match_text(text: str, labels: Mapping[str, str]) -> bool:
    selector = parse_selector(text)
    return isinstance(selector, Selector) and selector.match(labels)


def _apply_rule(name: str, rule: Rule, organisation: str, urgency: Urgency) -> Steering:
    workers, targets = parse_selector(rule.workers), parse_selector(rule.targets)
    return Steering(
        rule.organisation or organisation,
        rule.urgency or urgency,
        workers if isinstance(workers, Selector) else Selector(),
        targets if isinstance(targets, Selector) else Selector(),
        name,
    )


def collect_labels(
    configuration: Configuration, kind: str, name: str, own: Mapping[str, str]
) -> dict[str, str]:
    """Return a machine's own labels, overridden by the operators' labels."""
    added = configuration.labels.get(f"{kind}.{name}")
    return {**own, **(added.values if added else {}), "name": name}
