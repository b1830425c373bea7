"""Accept operators' changes of the configuration, in one order for all."""

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
from ..utils.tokens import mint_write_id

RETRY_AFTER_S = 2.0

MAX_WRITE_ATTEMPTS = 3
"""Times the same write is sent while its fate is open; with the store's own
timeout an operator waits at most some seven seconds."""


class ConfigurationHandler:
    """Operators' changes at this gateway."""

    def __init__(
        self,
        *,
        store: StoreClient,
        holder: ConfigurationHolder,
        inventory: Inventory,
        find_newest: Callable[[], int],
        timeline: Timeline,
    ) -> None:
        """Write to ``store`` and put what was accepted in force here at once.

        ``find_newest`` returns the highest revision that a peer has named.
        """
        self._store = store
        self._holder = holder
        self._inventory = inventory
        self._find_newest = find_newest
        self._timeline = timeline

    async def change(self, change_set: ChangeSet) -> Accepted | Failure:
        """Accept a change set whole, or refuse it whole."""
        known = self._holder.current
        snapshot = await self._store.range(PREFIX)
        if isinstance(snapshot, Failure):
            return _make_unavailable(snapshot.reason)
        if not self._inventory.loaded:
            # Without the VM list no shape fits; saying so would be untrue.
            return _make_unavailable("the VM list is not known yet")
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
        head = read_head(entry).follow(
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
                return _make_unavailable(result.reason)
            # The write may have taken effect, or may yet: it can be on its way.
            # Only reading the head, an operator would be told "refused" and the
            # change would come into force after that. The same write again
            # either does it, or meets a head after which the first cannot.
            uncertain = True
        return _make_uncertain()

    async def _read_back(self, written: ConfigurationHead) -> Failure | None:
        # Either another operator was faster, or our own write took effect and
        # its answer was lost; only its write id tells.
        entry = await self._store.get(HEAD_KEY)
        if isinstance(entry, StoreUnavailable | StoreUncertain):
            return _make_uncertain()
        head = read_head(entry)
        if head.holds(written.write_id):
            return None
        return RevisionConflict(
            reason=f"the configuration is at revision {head.revision}",
            field="expected_revision",
            revision=head.revision,
        )


def _replace_all(stored: Iterable[Entry], updated: Configuration) -> list[Put | Delete]:
    """Return the writes that make the store hold ``updated`` and nothing else."""
    puts = encode_parts(updated)
    kept = {put.key for put in puts} | {HEAD_KEY}
    return [*puts, *(Delete(e.key) for e in stored if e.key not in kept)]


def _make_unavailable(reason: str) -> StoreUnavailable:
    return StoreUnavailable(
        reason=f"nothing was changed: {reason}", retry_after_s=RETRY_AFTER_S
    )


def _make_uncertain() -> StoreUncertain:
    return StoreUncertain(
        reason="the change may have been accepted; read the configuration",
        retry_after_s=RETRY_AFTER_S,
    )
