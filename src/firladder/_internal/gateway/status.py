"""Describe the state of the fleet to operators, including unreachable parts."""

import asyncio
import itertools

from ..fleet.membership import Peer
from ..models.api import DomainStatus, FleetStatus, ProcessStatus
from ..models.message import DomainReply, FetchDomain, Heartbeat
from ..network.fabric import Fabric

STATUS_TIMEOUT_S = 1.0


async def describe_fleet(
    *, own_heartbeat: Heartbeat, peers: list[Peer], fabric: Fabric, now: float
) -> FleetStatus:
    """Return the state of every failure domain known to this gateway."""
    known = [(own_heartbeat, 0.0, True)] + [
        (p.heartbeat, now - p.heard_at, not p.lost) for p in peers
    ]
    ordered = sorted(known, key=lambda row: row[0].identity.failure_domain)
    groups = [
        (domain, list(rows))
        for domain, rows in itertools.groupby(
            ordered, key=lambda row: row[0].identity.failure_domain
        )
    ]
    domains = await asyncio.gather(
        *(_describe_domain(domain, rows, fabric) for domain, rows in groups)
    )
    in_force = all(
        d.in_force >= own_heartbeat.revision and not d.cut_off for d in domains
    )
    return FleetStatus(
        revision=own_heartbeat.revision,
        in_force_everywhere=in_force,
        store_reachable=own_heartbeat.store_reachable,
        failure_domains=tuple(domains),
    )


async def _describe_domain(
    domain: str, rows: list[tuple[Heartbeat, float, bool]], fabric: Fabric
) -> DomainStatus:
    alive = [heartbeat for heartbeat, _, is_alive in rows if is_alive]
    leading = max(
        (h for h in alive if h.leading), key=lambda h: h.leading, default=None
    )
    base = DomainStatus(
        failure_domain=domain,
        # For an unreachable failure domain the last known revision is shown, as
        # 0 would look like a reset configuration.
        in_force=min(
            h.revision for h in alive or [heartbeat for heartbeat, _, _ in rows]
        ),
        cut_off=not alive,
        processes=tuple(_describe_process(*row) for row in rows),
    )
    if leading is None:
        return base
    reply = await fabric.ask(
        leading.identity.address, FetchDomain(), timeout_s=STATUS_TIMEOUT_S
    )
    if not isinstance(reply, DomainReply):
        return base
    return DomainStatus(
        failure_domain=domain,
        in_force=base.in_force,
        cut_off=base.cut_off,
        processes=base.processes,
        leader=leading.identity.vm,
        epoch=reply.epoch,
        isolated=reply.isolated,
        queued=reply.queued,
        running=reply.running,
        accelerators=sum(w.accelerators for w in reply.workers),
        accelerators_busy=sum(w.busy for w in reply.workers),
        workers_unreachable=tuple(w.name for w in reply.workers if not w.reachable),
        workers_quarantined=tuple(w.name for w in reply.workers if w.quarantined),
        degraded=reply.degraded,
    )


def _describe_process(heartbeat: Heartbeat, age_s: float, alive: bool) -> ProcessStatus:
    return ProcessStatus(
        vm=heartbeat.identity.vm,
        role=heartbeat.identity.role,
        alive=alive,
        draining=heartbeat.draining,
        revision=heartbeat.revision,
        heard_s_ago=round(age_s, 3),
        http_address=heartbeat.identity.http_address,
    )
