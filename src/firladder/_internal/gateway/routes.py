"""The HTTP interface of callers and operators."""

import hmac
from typing import Any

import msgspec

from ..exceptions import Failure, Unauthorised
from ..fleet.operations import add_operations
from ..models.api import JobList, TicketRequest, Tickets
from ..models.configuration import ChangeSet
from ..models.job import JobRecord, JobSpec
from ..models.request import Outcome, RequestResult, ServiceRequest
from ..network.http_server import (
    HttpCall,
    HttpReply,
    RouteTable,
    reply_failure,
    reply_json,
)
from ..utils.codec import decode_json
from .status import describe_fleet

routes = RouteTable()
add_operations(routes)

OUTCOME_STATUS: dict[Outcome, int] = {"done": 200, "failed": 502, "unknown": 504}


def reply_result(result: RequestResult) -> HttpReply:
    """Return the reply that carries a request's final answer."""
    headers = {}
    if result.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(result.retry_after_s)))
    status = OUTCOME_STATUS.get(result.outcome, 503)
    return reply_json(result, status=status, **headers)


def reply_value(value: Any, *, status: int = 200) -> HttpReply:
    """Return the reply that carries a value or a failure, with its status."""
    if isinstance(value, Failure):
        return reply_failure(value)
    return reply_json(value, status=status)


def check_operator(app: Any, call: HttpCall) -> Unauthorised | None:
    """Return a failure if a token is set and the call does not carry it."""
    token = app.read_setting("operator_token")
    given = call.headers.get("authorization", "")
    # Compared in constant time: the duration of a plain comparison would reveal
    # how much of a guessed token is correct.
    if token and not hmac.compare_digest(given.encode(), f"Bearer {token}".encode()):
        return Unauthorised(reason="the operators' token is needed")
    return None


@routes.route("POST", "/v1/tickets")
async def mint_tickets(app: Any, call: HttpCall) -> HttpReply:
    """Return new ids for requests that must run at most once."""
    req = decode_json(call.body or b"{}", TicketRequest)
    if isinstance(req, Failure):
        return reply_failure(req)
    ids = tuple(app.id_registry.mint_ticket() for _ in range(req.count))
    return reply_json(Tickets(ids))


@routes.route("POST", "/v1/services/{service}/requests")
async def answer_request(app: Any, call: HttpCall) -> HttpReply:
    """Run a caller's request on a target and return its final answer."""
    req = decode_json(call.body, ServiceRequest)
    if isinstance(req, Failure):
        return reply_failure(req)
    started = app.clock.read_monotonic()
    result = await app.requests.answer(
        call.params["service"], req, disconnected=call.disconnected
    )
    if isinstance(result, Failure):
        return reply_failure(result)
    app.metrics.count_request(result, app.clock.read_monotonic() - started)
    return reply_result(result)


@routes.route("POST", "/v1/jobs")
async def submit_job(app: Any, call: HttpCall) -> HttpReply:
    """Accept a job."""
    spec = decode_json(call.body, JobSpec)
    if isinstance(spec, Failure):
        return reply_failure(spec)
    return reply_value(await app.jobs.submit(spec), status=202)


@routes.route("GET", "/v1/jobs")
async def list_jobs(app: Any, call: HttpCall) -> HttpReply:
    """Return the jobs of an organisation, in a state, or all."""
    found = await app.jobs.list_jobs(
        organisation=call.query.get("organisation", ""),
        state=call.query.get("state", ""),
    )
    return reply_value(found if isinstance(found, Failure) else JobList(tuple(found)))


@routes.route("GET", "/v1/jobs/{job}")
async def find_job(app: Any, call: HttpCall) -> HttpReply:
    """Return a job."""
    return reply_value(await app.jobs.find(call.params["job"]))


@routes.route("DELETE", "/v1/jobs/{job}")
async def cancel_job(app: Any, call: HttpCall) -> HttpReply:
    """Request the cancellation of a job."""
    result = await app.jobs.cancel(call.params["job"])
    done = isinstance(result, JobRecord) and result.state == "finished"
    return reply_value(result, status=200 if done else 202)


@routes.route("GET", "/v1/config")
async def show_configuration(app: Any, call: HttpCall) -> HttpReply:
    """Return the configuration in force at this gateway."""
    failure = check_operator(app, call)
    if failure is not None:
        return reply_failure(failure)
    return reply_json(app.configuration.current)


@routes.route("POST", "/v1/config")
async def change_configuration(app: Any, call: HttpCall) -> HttpReply:
    """Change organisations, rules and labels, all or nothing."""
    failure = check_operator(app, call)
    if failure is not None:
        return reply_failure(failure)
    change_set = decode_json(call.body, ChangeSet)
    if isinstance(change_set, Failure):
        return reply_failure(change_set)
    return reply_value(await app.changes.change(change_set))


@routes.route("GET", "/v1/status")
async def show_status(app: Any, call: HttpCall) -> HttpReply:
    """Return the state of the fleet as known to this gateway."""
    status = await describe_fleet(
        own_heartbeat=app.describe(),
        peers=app.membership.list_all(),
        fabric=app.fabric,
        now=app.clock.read_monotonic(),
    )
    return reply_json(msgspec.to_builtins(status))
