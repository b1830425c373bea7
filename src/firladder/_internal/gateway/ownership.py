"""Determine the only gateway that may run a request's id.

A *ticket* is an id minted by one incarnation of a gateway. Only that incarnation
may run it, which needs no write and works while the store is unavailable. Any
other id of a request that is not idempotent is claimed in the store, by creating
a key that must not exist yet.
"""

import dataclasses
import itertools
import math
from collections import OrderedDict

import msgspec

from ..etcd.store import StoreClient
from ..exceptions import InvalidValue, StoreConflict, StoreUnavailable, StoreUncertain
from ..models.entry import Committed, Compare, Lease, Put
from ..models.message import Identity
from ..models.request import MAX_DEADLINE_MS
from ..utils.codec import encode_json
from ..utils.identifiers import mint_write_id

PREFIX = "claims/"
TICKET_PREFIX = "t1"

CLAIM_TTL_S = 3600
"""Seconds a claim is kept, and so how long a caller may retry an id. All claims
of a gateway share a lease, so that a claim costs the store one write."""

MAX_CLAIM_ATTEMPTS = 2
"""Writes of one claim. The second one uses a new lease, or recognises the first
if that was applied late."""

MAX_NOT_RUN_IDS = 5_000
"""Ids kept that ended as "not run" and that this process may run again; at about
250 bytes each they take little more than 1 MB. A claimed id that is discarded is
answered as "unknown"."""


class Claim(msgspec.Struct, frozen=True):
    """The record in the store of the gateway that owns an id."""

    vm: str
    incarnation: str
    address: str
    digest: str
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedHere:
    """Only this process may run the id, until a monotonic time."""

    held_until: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Only another incarnation, ``owner``, may run the id."""

    owner: str
    digest: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeForgotten:
    """This process has owned the id before and no longer knows its outcome."""

    digest: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerUnknown:
    """The owner could not be determined; the request has not run here.

    ``store_answered`` is set if the store answers but does not hold the claim.
    """

    reason: str
    store_answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unowned:
    """No gateway has claimed the id, so none has run it."""


Ownership = OwnedHere | OwnedElsewhere | OutcomeForgotten | OwnerUnknown


class RequestIdRegistry:
    """Mint tickets, and claim ids that callers chose."""

    def __init__(self, *, identity: Identity, store: StoreClient) -> None:
        """Claim ids in ``store`` for the incarnation of ``identity``."""
        self._identity = identity
        self._store = store
        self._ticket_numbers = itertools.count(1)
        self._last_ticket = 0
        self._highest_forgotten = 0
        self._not_run: OrderedDict[str, float] = OrderedDict()
        self._uncertain_claims: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._lease: Lease | None = None
        self._lease_renew_at = 0.0
        self._lease_ends_at = 0.0

    def mint_ticket(self) -> str:
        """Return a new id that only this incarnation may run."""
        self._last_ticket = next(self._ticket_numbers)
        return f"{TICKET_PREFIX}.{self._identity.incarnation}.{self._last_ticket}"

    def check_id(self, request_id: str) -> InvalidValue | None:
        """Return a failure if the id looks like a ticket that was never minted."""
        if not request_id.startswith(f"{TICKET_PREFIX}."):
            return None
        ticket = _read_ticket(request_id)
        is_own = ticket is not None and ticket[0] == self._identity.incarnation
        if ticket is None or (is_own and ticket[1] > self._last_ticket):
            # A guessed number would run now, and again once it is minted.
            return InvalidValue(reason="no such ticket was issued", field="id")
        return None

    async def find_owner(self, request_id: str, digest: str, now: float) -> Ownership:
        """Return which gateway may run the id, claiming it if none has."""
        return self._find_known_owner(request_id, now) or await self._claim(
            request_id, digest, now
        )

    async def look_up(self, request_id: str, now: float) -> Ownership | Unowned:
        """Return which gateway may run the id, without claiming it.

        Used for requests that will be refused anyway: a burst of refusals must
        not cause writes to the store.
        """
        known = self._find_known_owner(request_id, now)
        if known is not None:
            return known
        entry = await self._store.get(PREFIX + request_id)
        if isinstance(entry, StoreUnavailable | StoreUncertain):
            return OwnerUnknown(entry.reason)
        if entry is None:
            return Unowned()
        return self._read_claim(msgspec.json.decode(entry.value, type=Claim))

    def _find_known_owner(self, request_id: str, now: float) -> Ownership | None:
        ticket = _read_ticket(request_id)
        if ticket is not None and ticket[0] != self._identity.incarnation:
            return OwnedElsewhere(ticket[0])
        held_until = self._not_run.get(request_id, 0.0)
        if held_until > now + MAX_DEADLINE_MS / 1000:
            return OwnedHere(held_until)
        if ticket is None:
            return None
        # A retried ticket whose answer was discarded looks like a new one and
        # would run twice. Ticket numbers increase and answers are discarded
        # oldest first, so every number up to the highest discarded is a retry.
        return (
            OutcomeForgotten() if ticket[1] <= self._highest_forgotten else OwnedHere()
        )

    def _read_claim(self, found: Claim) -> OwnedElsewhere | OutcomeForgotten:
        if found.incarnation == self._identity.incarnation:
            return OutcomeForgotten(found.digest)
        return OwnedElsewhere(found.incarnation, found.digest)

    async def _claim(self, request_id: str, digest: str, now: float) -> Ownership:
        # An earlier write whose answer was lost may still be applied. With the
        # same write id it is recognised as this claim and not as a run.
        write_id, held_until = self._uncertain_claims.pop(request_id, ("", 0.0))
        if held_until < now + MAX_DEADLINE_MS / 1000:
            # The earlier claim may expire while the request runs, and another
            # gateway could then claim the id and run it too.
            write_id, held_until = mint_write_id(), 0.0
        owner: Ownership = OwnerUnknown("no write was attempted")
        for _ in range(MAX_CLAIM_ATTEMPTS):
            lease = await self._ensure_lease(now)
            if not isinstance(lease, Lease):
                owner = OwnerUnknown(lease.reason)
                break
            held_until = held_until or self._lease_ends_at
            owner = await self._try_claim(
                request_id, digest, write_id, lease, held_until
            )
            if not isinstance(owner, OwnerUnknown):
                return owner
            if not owner.store_answered:
                break
        self._uncertain_claims[request_id] = (write_id, held_until)
        _drop_oldest(self._uncertain_claims)
        return owner

    async def _try_claim(
        self,
        request_id: str,
        digest: str,
        write_id: str,
        lease: Lease,
        held_until: float,
    ) -> Ownership:
        key = PREFIX + request_id
        identity = self._identity
        claim = Claim(
            identity.vm, identity.incarnation, identity.address, digest, write_id
        )
        result = await self._store.commit(
            [Compare(key, 0)], [Put(key, encode_json(claim), lease.id)]
        )
        if isinstance(result, Committed):
            return OwnedHere(held_until)
        if isinstance(result, StoreUncertain):
            # The store may have lost the lease; it would then refuse every write.
            self._lease = None
        return await self._read_back(key, claim, result, held_until)

    async def _read_back(
        self,
        key: str,
        claim: Claim,
        result: StoreConflict | StoreUncertain | StoreUnavailable,
        held_until: float,
    ) -> Ownership:
        if isinstance(result, StoreUnavailable):
            return OwnerUnknown(result.reason)
        # The write may have been applied although its answer was lost. Only the
        # write id distinguishes this claim from that of another gateway.
        entry = await self._store.get(key)
        if isinstance(entry, StoreUnavailable | StoreUncertain):
            return OwnerUnknown(entry.reason)
        if entry is None:
            return OwnerUnknown(result.reason, store_answered=True)
        found = msgspec.json.decode(entry.value, type=Claim)
        if found.write_id == claim.write_id:
            return OwnedHere(held_until)
        return self._read_claim(found)

    async def _ensure_lease(
        self, now: float
    ) -> Lease | StoreUnavailable | StoreUncertain:
        if self._lease is not None and now < self._lease_renew_at:
            return self._lease
        # Replaced at half its TTL, so that each claim lasts for at least half of
        # CLAIM_TTL_S after its write. Old claims expire with their lease.
        granted = await self._store.grant_lease(CLAIM_TTL_S)
        if isinstance(granted, Lease):
            self._lease = granted
            self._lease_renew_at = now + CLAIM_TTL_S / 2
            self._lease_ends_at = now + granted.ttl_s
        return granted

    def record_started(self, request_id: str) -> None:
        """Record that the id is about to run, so that it is no longer "not run"."""
        self._not_run.pop(request_id, None)

    def record_not_run(self, request_id: str, owned: OwnedHere) -> None:
        """Record that an id owned by this process certainly has not run.

        Its claim stays in the store. If it were deleted, a gateway that has read
        it and relays to this one, and a gateway that claims the id again, could
        both cause a run.
        """
        self._not_run[request_id] = owned.held_until
        _drop_oldest(self._not_run)

    def record_forgotten(self, request_id: str) -> None:
        """Record that the answer of an id owned by this process was discarded."""
        ticket = _read_ticket(request_id)
        if ticket is not None and ticket[0] == self._identity.incarnation:
            self._highest_forgotten = max(self._highest_forgotten, ticket[1])


def _read_ticket(request_id: str) -> tuple[str, int] | None:
    parts = request_id.split(".")
    if len(parts) != 3 or parts[0] != TICKET_PREFIX:
        return None
    number = int(parts[2]) if parts[2].isascii() and parts[2].isdigit() else 0
    # Only one spelling is valid: "7" and "007" must not be two ids of one ticket.
    return (parts[1], number) if number > 0 and str(number) == parts[2] else None


def _drop_oldest(
    table: "OrderedDict[str, float] | OrderedDict[str, tuple[str, float]]",
) -> None:
    while len(table) > MAX_NOT_RUN_IDS:
        table.popitem(last=False)
