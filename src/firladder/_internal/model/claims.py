"""Model of one request id, two gateways, and a store whose answers can be lost."""

from collections.abc import Iterator
from typing import NamedTuple

from .specification import Guards, Specification, Step, register


class Claims(NamedTuple):
    """The store's claim, what each gateway believes, and who has run the id.

    A gateway is idle, asking (its write may or may not have taken effect),
    refused (its write found a key), unsure (its answer was lost), mine, theirs,
    or declined (it has told its caller "not run").
    """

    owner: str = ""
    gateways: tuple[str, str] = ("idle", "idle")
    runs: int = 0
    ran: tuple[bool, ...] = (False, False)
    store_up: bool = True


def _set_state(claims: Claims, who: int, state: str, **fields: object) -> Claims:
    gateways = tuple(state if i == who else g for i, g in enumerate(claims.gateways))
    return claims._replace(gateways=gateways, **fields)  # type: ignore[arg-type]


def expand(claims: Claims, guards: Guards) -> Iterator[Step]:
    """Yield every step from this state."""
    word = "goes down" if claims.store_up else "comes back"
    yield f"the store {word}", claims._replace(store_up=not claims.store_up)
    for who, name in enumerate("AB"):
        state = claims.gateways[who]
        if state in ("idle", "declined"):
            yield f"the caller asks {name}", _set_state(claims, who, "asking")
        elif state == "asking":
            yield from _write(claims, guards, who, name)
        elif state in ("refused", "unsure"):
            yield from _read_back(claims, guards, who, name)
        elif state == "mine" and not claims.ran[who]:
            ran = tuple(r or i == who for i, r in enumerate(claims.ran))
            yield f"{name} runs it", claims._replace(ran=ran, runs=claims.runs + 1)


def _write(claims: Claims, guards: Guards, who: int, name: str) -> Iterator[Step]:
    if not claims.store_up:
        yield f"{name} cannot ask, and declines", _set_state(claims, who, "declined")
        return
    free = not claims.owner or "create_claim" not in guards
    if free:
        yield f"{name} claims the id", _set_state(claims, who, "mine", owner=name)
        yield (
            f"{name} claims the id and the answer is lost",
            _set_state(claims, who, "unsure", owner=name),
        )
    else:
        yield f"{name} finds a claim", _set_state(claims, who, "refused")
        yield f"{name} asks and the answer is lost", _set_state(claims, who, "unsure")


def _read_back(claims: Claims, guards: Guards, who: int, name: str) -> Iterator[Step]:
    if claims.store_up:
        mine = claims.owner == name or "read_back_owner" not in guards
        after = "mine" if mine else "theirs"
        yield f"{name} reads the claim back as {after}", _set_state(claims, who, after)
        return
    unsure = "declined" if "unsure_declines" in guards else "mine"
    yield f"{name} cannot read back: {unsure}", _set_state(claims, who, unsure)


CLAIMS = register(
    Specification(
        name="request-claim",
        summary="one id that must run once, two gateways, lost answers, an outage",
        initial=Claims(),
        fields=Claims._fields,
        expand=expand,
        invariants={"an id that must run once runs once": lambda c: c.runs < 2},
        guards={
            "create_claim": "a claim is created only if there is none",
            "read_back_owner": "a claim whose answer was lost is matched by its owner",
            "unsure_declines": "a claim that cannot be read back is not taken",
        },
    )
)
