"""HTTP endpoints that all daemons serve: health, metrics and the timeline."""

from typing import Any

from aioprometheus import Registry, render

from ..network.http_server import HttpCall, HttpReply, RouteTable, reply_json


def add_operations(routes: RouteTable) -> None:
    """Register the endpoints that all daemons serve."""
    routes.route("GET", "/health/live")(report_liveness)
    routes.route("GET", "/health/ready")(report_readiness)
    routes.route("GET", "/metrics")(render_metrics)
    routes.route("GET", "/v1/events")(list_events)


async def report_liveness(app: Any, call: HttpCall) -> HttpReply:
    """Answer as long as the event loop runs."""
    return reply_json({"state": app.life.state})


async def report_readiness(app: Any, call: HttpCall) -> HttpReply:
    """Tell the load balancer whether to send clients here.

    A process that has reached neither the store nor a peer knows no organisation
    and would refuse every client as unknown.
    """
    ready = app.life.state == "serving" and app.configuration.loaded
    status = 200 if ready else 503
    return reply_json({"ready": ready, "state": app.life.state}, status=status)


async def render_metrics(app: Any, call: HttpCall) -> HttpReply:
    """Return all metrics in the Prometheus text format."""
    app.collect_metrics()
    registry: Registry = app.metrics.registry
    content, headers = render(registry, ["text/plain"])
    return HttpReply(200, content, headers.get("Content-Type", "text/plain"))


async def list_events(app: Any, call: HttpCall) -> HttpReply:
    """Return the events of this process's timeline."""
    after = call.query.get("after", "0")
    events = app.timeline.list_events(after=int(after) if after.isdigit() else 0)
    return reply_json({"events": events})
