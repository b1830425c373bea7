"""Apply operators' changes to the configuration, serialized by the store."""

from collections.abc import Callable, Iterable

import msgspec

from ..etcd.inventory import Inventory
from ..etcd.store import StoreClient
from ..exceptions import (
    Failure,
    RevisionConflict,
    StoreConflict,
    StoreUnavailable,
    StoreUncertain,
)
from ..fleet.configuration import (
    HEAD_KEY,
    PREFIX,
    ConfigurationHolder,
    encode_change,
    encode_head,
    encode_parts,
    read_configuration,
    read_head,
)
from ..models.api import Accepted
from ..models.configuration import ChangeSet, Configuration, ConfigurationHead
from ..models.entry import Committed, Compare, Delete, Entry, Put, Snapshot
from ..policies.configuration_changes import (
    RESTORE_REVISION_GAP,
    apply_changes,
    choose_base,
    describe_actions,
)
from ..utils.events import Event, Timeline
from ..utils.identifiers import mint_write_id

RETRY_AFTER_S = 2.0

MAX_WRITE_ATTEMPTS = 3
"""Times a write with an uncertain outcome is sent. With the store's timeout an
operator waits about seven seconds at most."""


class ConfigurationHandler:
    """Handle the changes that operators send to this gateway."""

    def __init__(
        self,
        *,
        store: StoreClient,
        holder: ConfigurationHolder,
        inventory: Inventory,
        find_newest: Callable[[], int],
        timeline: Timeline,
    ) -> None:
        """Write changes to ``store``, and accepted ones to ``holder`` at once.

        ``find_newest`` returns the highest revision that a peer has announced.
        """
        self._store = store
        self._holder = holder
        self._inventory = inventory
        self._find_newest = find_newest
        self._timeline = timeline

    async def change(self, change_set: ChangeSet) -> Accepted | Failure:
        """Apply a change set, all or nothing."""
        known = self._holder.current
        snapshot = await self._store.range(PREFIX)
        if isinstance(snapshot, Failure):
            return _make_unavailable_failure(snapshot.reason)
        if not self._inventory.loaded:
            # Without the VM list no shape would fit, and the refusal would be wrong.
            return _make_unavailable_failure("the VM list is not known yet")
        stored = read_configuration(snapshot.entries)
        base = choose_base(stored, known, newest=self._find_newest())
        if isinstance(base, Failure):
            return base
        updated = apply_changes(base, change_set, self._inventory.list_role("worker"))
        if isinstance(updated, Failure):
            self._timeline.record(Event.CONFIGURATION_REFUSED, reason=updated.reason)
            return updated
        actions = describe_actions(base, updated, change_set.changes)
        if change_set.dry_run:
            return Accepted(
                revision=base.revision,
                dry_run=True,
                changed=tuple(actions),
                actions=actions,
            )
        changes: Iterable[Put | Delete] = map(encode_change, change_set.changes)
        if base is not stored:
            updated = msgspec.structs.replace(
                updated, revision=updated.revision + RESTORE_REVISION_GAP
            )
            changes = _replace_all(snapshot.entries, updated)
        clock = self._timeline.stamp()
        failure = await self._write(snapshot, changes, updated.revision, clock)
        if failure is not None:
            return failure
        self._timeline.record_at(
            clock,
            Event.CONFIGURATION_ACCEPTED,
            revision=updated.revision,
            changed=tuple(actions),
        )
        self._holder.adopt(updated, source="accepted here")
        return Accepted(
            revision=updated.revision, changed=tuple(actions), actions=actions
        )

    async def _write(
        self,
        snapshot: Snapshot,
        changes: Iterable[Put | Delete],
        revision: int,
        clock: int = 0,
    ) -> Failure | None:
        entry = next((e for e in snapshot.entries if e.key == HEAD_KEY), None)
        head = read_head(entry).make_successor(
            revision=revision, write_id=mint_write_id(), clock=clock
        )
        compares = [Compare(HEAD_KEY, entry.mod_revision if entry else 0)]
        writes = [encode_head(head), *changes]
        uncertain = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._store.commit(compares, writes)
            if isinstance(result, Committed):
                return None
            if isinstance(result, StoreConflict):
                return await self._read_back(head)
            if isinstance(result, StoreUnavailable) and not uncertain:
                return _make_unavailable_failure(result.reason)
            # The write may have been applied or may still be in flight. Reading
            # the head could show the old revision, and the change would come into
            # force after the operator was told "refused". Repeating the write
            # either applies it, or conflicts with a head that also rejects the
            # first copy.
            uncertain = True
        return _make_uncertain_failure()

    async def _read_back(self, written: ConfigurationHead) -> Failure | None:
        # Either another operator wrote first, or this write was applied and its
        # answer was lost. The write id distinguishes the two.
        entry = await self._store.get(HEAD_KEY)
        if isinstance(entry, StoreUnavailable | StoreUncertain):
            return _make_uncertain_failure()
        head = read_head(entry)
        if head.has_write(written.write_id):
            return None
        return RevisionConflict(
            reason=f"the configuration is at revision {head.revision}",
            field="expected_revision",
            revision=head.revision,
        )


def _replace_all(stored: Iterable[Entry], updated: Configuration) -> list[Put | Delete]:
    """Return the writes that replace everything stored with ``updated``."""
    puts = encode_parts(updated)
    kept = {put.key for put in puts} | {HEAD_KEY}
    return [*puts, *(Delete(e.key) for e in stored if e.key not in kept)]


def _make_unavailable_failure(reason: str) -> StoreUnavailable:
    return StoreUnavailable(
        reason=f"nothing was changed: {reason}", retry_after_s=RETRY_AFTER_S
    )


def _make_uncertain_failure() -> StoreUncertain:
    return StoreUncertain(
        reason="the change may have been accepted; read the configuration",
        retry_after_s=RETRY_AFTER_S,
    )
