"""The operators' configuration: organisations, rules and labels."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[
    str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9.-]*$")
]
LabelText = Annotated[str, Meta(max_length=63, pattern=r"^[A-Za-z0-9_.-]*$")]
SelectorText = Annotated[str, Meta(max_length=512)]
PositiveInt = Annotated[int, Meta(ge=1, le=1_000_000)]
Urgency = Literal["urgent", "normal", "overnight"]
Kind = Literal["organisation", "rule", "labels"]

MAX_CHANGES = 120
"""Changes in one set. By default the store allows 128 operations in a transaction,
and the head is one of them."""

MAX_RECENT_WRITE_IDS = 64
"""Write ids kept in the head: those of about half an hour on an ordinary day. A
writer whose answer was lost searches them for its own id within seconds."""

URGENCIES: tuple[Urgency, ...] = ("urgent", "normal", "overnight")


class Cell(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of a guaranteed shape: ``count`` groups of adjacent accelerators.

    A cell of up to a worker's accelerators lies on one worker; a larger one takes
    entire workers of one rack.
    """

    failure_domain: Name
    accelerators: PositiveInt
    count: PositiveInt = 1


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer of the operators, with the shape that is guaranteed to it."""

    shape: tuple[Cell, ...] = ()
    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    request_share: Annotated[float, Meta(gt=0, le=1)] = 1.0


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Steer the work whose labels match ``selects``.

    Of several matching rules the one with the lowest ``order`` applies, then the
    first by name.
    """

    selects: SelectorText
    order: Annotated[int, Meta(ge=0, le=1_000_000)] = 1000
    organisation: Name | None = None
    workers: SelectorText = ""
    targets: SelectorText = ""
    urgency: Urgency | None = None


class Labels(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Labels that operators add to a worker or target, by its name."""

    values: dict[LabelText, LabelText] = {}


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set one part of the configuration, or remove it with a null value."""

    kind: Kind
    name: Name
    value: msgspec.Raw = msgspec.Raw(b"null")


class ChangeSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes that take effect together if ``expected_revision`` is still current."""

    expected_revision: Annotated[int, Meta(ge=0)]
    changes: Annotated[tuple[Change, ...], Meta(min_length=1, max_length=MAX_CHANGES)]
    dry_run: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """The complete configuration at one revision; never changed in place."""

    revision: int = 0
    organisations: dict[str, Organisation] = {}
    rules: dict[str, Rule] = {}
    labels: dict[str, Labels] = {}


class ConfigurationHead(msgspec.Struct, frozen=True):
    """The record that each change rewrites, so that changes are totally ordered.

    ``recent`` holds the write ids before ``write_id``, the latest first;
    ``clock`` is the writer's Lamport time when it accepted the change.
    """

    revision: int
    write_id: str
    recent: tuple[str, ...] = ()
    clock: int = 0

    def has_write(self, write_id: str) -> bool:
        """Return whether this write took effect as the last or a recent one."""
        return write_id == self.write_id or write_id in self.recent

    def make_successor(
        self, *, revision: int, write_id: str, clock: int
    ) -> "ConfigurationHead":
        """Return the head that the next change writes."""
        # With only the last id, a writer whose answer was lost would find the id
        # of a later change and report its own accepted change as refused.
        recent = (
            (self.write_id, *self.recent)[:MAX_RECENT_WRITE_IDS]
            if self.write_id
            else ()
        )
        return ConfigurationHead(revision, write_id, recent, clock)
