"""Decide which gateway alone may run a request's id.

A *ticket* is an id minted by one start of one gateway: only that incarnation
may run it, which needs no write and works while the store is down. Any other
id of a request that is not idempotent is claimed in the store, by creating a
key that must not exist yet.
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
from ..utils.tokens import mint_write_id

PREFIX = "claims/"
TICKET_PREFIX = "t1"

CLAIM_TTL_S = 3600
"""Seconds a claim is kept: how long a caller may repeat an id. All claims of
a gateway share one lease, which costs the store no write of its own."""

MAX_CLAIM_ATTEMPTS = 2
"""Writes of one claim: the second goes under a fresh lease, or recognises the
first one when it took effect late."""

MAX_NOT_RUN_IDS = 5_000
"""Ids that ended "not run" and that this process may run again; with about 250
bytes each they cost little more than 1 MB. One that is forgotten is told as
"unknown" if it was claimed."""


class Claim(msgspec.Struct, frozen=True):
    """The store's record of who owns an id."""

    vm: str
    incarnation: str
    address: str
    digest: str
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedHere:
    """This process alone may run the id, up to a monotonic time."""

    held_until: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another incarnation alone may run the id."""

    owner: str
    digest: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeForgotten:
    """This process took the id before, and no longer knows what became of it."""

    digest: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerUnknown:
    """The store could not be asked; nothing of the request has run here.

    ``store_answered`` says that the store does answer, but has not taken the claim.
    """

    reason: str
    store_answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unowned:
    """Nobody has claimed the id, so nobody has run it."""


Ownership = OwnedHere | OwnedElsewhere | OutcomeForgotten | OwnerUnknown


class RequestIdRegistry:
    """Mint tickets, and claim ids that callers chose."""

    def __init__(self, *, identity: Identity, store: StoreClient) -> None:
        """Claim for this incarnation."""
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
        """Return an id that this incarnation alone may run."""
        self._last_ticket = next(self._ticket_numbers)
        return f"{TICKET_PREFIX}.{self._identity.incarnation}.{self._last_ticket}"

    def check_id(self, request_id: str) -> InvalidValue | None:
        """Return why an id cannot be one, if it looks like a ticket but is none."""
        if not request_id.startswith(f"{TICKET_PREFIX}."):
            return None
        ticket = _read_ticket(request_id)
        mine = ticket is not None and ticket[0] == self._identity.incarnation
        if ticket is None or (mine and ticket[1] > self._last_ticket):
            # A guessed number would be run now, and again when it is minted.
            return InvalidValue(reason="no such ticket was given out", field="id")
        return None

    async def find_owner(self, request_id: str, digest: str, now: float) -> Ownership:
        """Return who may run the id, claiming it if nobody has."""
        return self._find_known_owner(request_id, now) or await self._claim(
            request_id, digest, now
        )

    async def look_up(self, request_id: str, now: float) -> Ownership | Unowned:
        """Return who may run the id, without claiming it.

        For requests that will be refused anyway: a burst of refusals must not
        spend the store's writes.
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
        # Answers are forgotten oldest first. A retried ticket whose answer is
        # gone looks like a new one and would run twice; numbers rise, so the
        # highest forgotten one tells them apart.
        return (
            OutcomeForgotten() if ticket[1] <= self._highest_forgotten else OwnedHere()
        )

    def _read_claim(self, found: Claim) -> OwnedElsewhere | OutcomeForgotten:
        if found.incarnation == self._identity.incarnation:
            return OutcomeForgotten(found.digest)
        return OwnedElsewhere(found.incarnation, found.digest)

    async def _claim(self, request_id: str, digest: str, now: float) -> Ownership:
        # An earlier write whose answer was lost may still take effect; under
        # the same write id it is recognised as ours and not as a run.
        write_id, held_until = self._uncertain_claims.pop(request_id, ("", 0.0))
        if held_until < now + MAX_DEADLINE_MS / 1000:
            # That claim may lapse while the request runs, and another gateway
            # could then claim the id and run it too.
            write_id, held_until = mint_write_id(), 0.0
        owner: Ownership = OwnerUnknown("not tried")
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
            # The store may have lost the lease, and then refuses every write.
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
        # The answer to the write may have been lost after it took effect; only
        # the write id tells our own claim from that of somebody else.
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
        # A fresh lease twice in its life: a claim then outlives its write by
        # at least half of CLAIM_TTL_S, and old ones go by themselves.
        granted = await self._store.grant_lease(CLAIM_TTL_S)
        if isinstance(granted, Lease):
            self._lease = granted
            self._lease_renew_at = now + CLAIM_TTL_S / 2
            self._lease_ends_at = now + granted.ttl_s
        return granted

    def record_started(self, request_id: str) -> None:
        """Note that the id is about to run: it is no longer "not run"."""
        self._not_run.pop(request_id, None)

    def record_not_run(self, request_id: str, mine: OwnedHere) -> None:
        """Note that an id of this process certainly has not run.

        Its claim stays. Were it given up, a gateway that has read it and
        relays here, and one that claims it anew, could both run the id.
        """
        self._not_run[request_id] = mine.held_until
        _drop_oldest(self._not_run)

    def record_forgotten(self, request_id: str) -> None:
        """Note that the answer under an id of this process was let go."""
        ticket = _read_ticket(request_id)
        if ticket is not None and ticket[0] == self._identity.incarnation:
            self._highest_forgotten = max(self._highest_forgotten, ticket[1])


def _read_ticket(request_id: str) -> tuple[str, int] | None:
    parts = request_id.split(".")
    if len(parts) != 3 or parts[0] != TICKET_PREFIX:
        return None
    number = int(parts[2]) if parts[2].isascii() and parts[2].isdigit() else 0
    # "7" and "007" must not be two ids of one ticket.
    return (parts[1], number) if number > 0 and str(number) == parts[2] else None


def _drop_oldest(
    table: "OrderedDict[str, float] | OrderedDict[str, tuple[str, float]]",
) -> None:
    while len(table) > MAX_NOT_RUN_IDS:
        table.popitem(last=False)
