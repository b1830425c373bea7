"""Apply changes to the configuration, and check whether the result is valid."""

import itertools
from collections.abc import Iterable, Sequence

import msgspec

from ..exceptions import (
    Failure,
    GuaranteesDoNotFit,
    InvalidValue,
    MalformedBody,
    RevisionConflict,
    StoreUnavailable,
)
from ..models.api import Action
from ..models.configuration import (
    Change,
    ChangeSet,
    Configuration,
    Labels,
    Organisation,
    Rule,
)
from ..models.machine import Machine
from ..utils.codec import decode_json
from .cell_packing import place_cells
from .selectors import parse_selector

KIND_TYPES: dict[str, type] = {
    "organisation": Organisation,
    "rule": Rule,
    "labels": Labels,
}
KIND_FIELDS = {"organisation": "organisations", "rule": "rules", "labels": "labels"}


RESTORE_REVISION_GAP = 10_000
"""Revisions skipped when a store restored from an old backup is brought up to date:
three days of changes that may have been accepted and are not in the backup."""


def choose_base(
    stored: Configuration, known: Configuration, *, newest: int
) -> Configuration | StoreUnavailable:
    """Return the base of a change: the stored configuration unless it is outdated.

    ``known`` was in force here before the store was read, so a store with an older
    revision was restored from an old backup. A change based on that would get a
    revision that no process adopts: accepted, but never in force.
    """
    if stored.revision >= known.revision:
        return stored
    if newest > known.revision:
        return StoreUnavailable(
            reason=(
                f"nothing was changed: the store was restored from revision "
                f"{stored.revision}, and a peer has a newer one than this gateway"
            ),
            retry_after_s=2.0,
        )
    return known


def apply_changes(
    base: Configuration, change_set: ChangeSet, workers: Iterable[Machine]
) -> Configuration | Failure:
    """Return the configuration with all changes, or why they are refused."""
    repeated = find_repeated(change_set.changes)
    if repeated is not None:
        return repeated
    if change_set.expected_revision != base.revision:
        # Of two operators who change the same revision, the second would undo the
        # first one's change unnoticed, so the second change is refused.
        return RevisionConflict(
            reason=f"the configuration is at revision {base.revision}",
            field="expected_revision",
            revision=base.revision,
        )
    parts = {kind: dict(getattr(base, f)) for kind, f in KIND_FIELDS.items()}
    for number, change in enumerate(change_set.changes):
        failure = _apply_change(parts, change, f"changes[{number}]")
        if failure is not None:
            return failure
    fresh = Configuration(
        base.revision + 1, parts["organisation"], parts["rule"], parts["labels"]
    )
    return check_configuration(base, fresh, workers) or fresh


def find_repeated(changes: Sequence[Change]) -> InvalidValue | None:
    """Return a failure if a part is changed twice, which the store would refuse."""
    seen: set[tuple[str, str]] = set()
    for number, change in enumerate(changes):
        part = (change.kind, change.name)
        if part in seen:
            return InvalidValue(
                reason=f"{change.kind} {change.name!r} is changed twice",
                field=f"changes[{number}].name",
            )
        seen.add(part)
    return None


def describe_actions(
    base: Configuration, fresh: Configuration, changes: Iterable[Change]
) -> dict[str, Action]:
    """Return what each change does to the configuration."""
    actions: dict[str, Action] = {}
    for change in changes:
        before = getattr(base, KIND_FIELDS[change.kind]).get(change.name)
        after = getattr(fresh, KIND_FIELDS[change.kind]).get(change.name)
        actions[f"{change.kind}/{change.name}"] = _name_action(before, after)
    return actions


def _name_action(before: object, after: object) -> Action:
    if before == after:
        return "keep"
    if before is None:
        return "add"
    return "remove" if after is None else "replace"


def _apply_change(
    parts: dict[str, dict[str, object]], change: Change, field: str
) -> Failure | None:
    if bytes(change.value) == b"null":
        parts[change.kind].pop(change.name, None)
        return None
    value = decode_json(bytes(change.value), KIND_TYPES[change.kind])
    if isinstance(value, MalformedBody):
        inner = f".{value.field}" if value.field else ""
        return msgspec.structs.replace(value, field=f"{field}.value{inner}")
    parts[change.kind][change.name] = value
    return None


def check_configuration(
    base: Configuration, configuration: Configuration, workers: Iterable[Machine]
) -> Failure | None:
    """Return why the configuration is invalid as a whole, or None."""
    for name, rule in configuration.rules.items():
        failure = _check_rule(configuration, name, rule)
        if failure is not None:
            return failure
    # Only failure domains whose guarantees grow are checked. With a rack down the
    # existing guarantees may not fit; checking them all would refuse every change
    # until the rack is back, even one that reduces a guarantee.
    grown_domains = sorted(
        {
            cell.failure_domain
            for name, org in configuration.organisations.items()
            for cell in org.shape
            if _guarantees_more(base, configuration, name, cell.failure_domain)
        }
    )
    machines = list(workers)
    unfit = [f for d in grown_domains for f in _find_unfit(configuration, machines, d)]
    if not unfit:
        return None
    return GuaranteesDoNotFit(
        reason="; ".join(f.reason for f in unfit), field=unfit[0].field
    )


def _guarantees_more(
    base: Configuration, fresh: Configuration, organisation: str, domain: str
) -> bool:
    """Return whether a cell is new or larger, comparing both by descending size."""
    before, after = (_list_sizes(c, organisation, domain) for c in (base, fresh))
    pairs = itertools.zip_longest(before, after, fillvalue=0)
    return any(new > old for old, new in pairs)


def _list_sizes(
    configuration: Configuration, organisation: str, domain: str
) -> list[int]:
    shape = configuration.organisations.get(organisation, Organisation()).shape
    cells = (cell for cell in shape if cell.failure_domain == domain)
    sizes = (itertools.repeat(cell.accelerators, cell.count) for cell in cells)
    return sorted(itertools.chain.from_iterable(sizes), reverse=True)


def _find_unfit(
    configuration: Configuration, machines: list[Machine], domain: str
) -> Iterable[GuaranteesDoNotFit]:
    """Yield a failure for each organisation whose shape does not fit."""
    present = [m for m in machines if m.failure_domain == domain]
    organisations = dict(configuration.organisations)
    while organisations:
        found = place_cells(organisations, present, domain)
        if not isinstance(found, GuaranteesDoNotFit):
            return
        yield found
        field = found.field or ""
        del organisations[field.removeprefix("organisation.").removesuffix(".shape")]


def _check_rule(configuration: Configuration, name: str, rule: Rule) -> Failure | None:
    for part in ("selects", "workers", "targets"):
        selector = parse_selector(getattr(rule, part))
        if isinstance(selector, InvalidValue):
            return msgspec.structs.replace(selector, field=f"rule.{name}.{part}")
    unknown = (
        rule.organisation is not None
        and rule.organisation not in configuration.organisations
    )
    if unknown:
        return InvalidValue(
            reason=f"no organisation {rule.organisation!r}",
            field=f"rule.{name}.organisation",
        )
    return None
