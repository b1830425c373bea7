"""HTTP endpoints for the load balancer and operators."""

from typing import TYPE_CHECKING

from ..network.http_server import HttpCall, HttpReply, RouteTable, reply_json

if TYPE_CHECKING:
    from .daemon import Node

READY = RouteTable()
METRICS = RouteTable()


@READY.route("GET", "/-/ready")
async def report_readiness(node: "Node", call: HttpCall) -> HttpReply:
    """Report to the load balancer whether to send new connections here."""
    ready = node.ready
    return reply_json({"ready": ready}, status=200 if ready else 503)


@METRICS.route("GET", "/metrics")
async def show_metrics(node: "Node", call: HttpCall) -> HttpReply:
    """Return all metrics in the Prometheus text format."""
    node.metrics.collect(node)
    content, content_type = node.metrics.render()
    return HttpReply(200, content, content_type)


@METRICS.route("GET", "/events")
async def list_events(node: "Node", call: HttpCall) -> HttpReply:
    """Return this process's timeline events after the number ``after``."""
    after = call.query.get("after", "0")
    events = node.timeline.list_events(after=int(after) if after.isdigit() else 0)
    return reply_json({"events": events})
