"""Client of the workers' task interface (HTTP and JSON)."""

from typing import TypeVar

import msgspec

from ..exceptions import FencedOff, NotSent, WorkerUnreachable
from ..models.task import (
    ClaimWorker,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
    TaskReport,
    TaskStatus,
)
from ..network.http_client import HttpClient, HttpResponse
from ..utils.codec import encode_json

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0
"""Time for a command; a worker answers in milliseconds."""

WorkerFailure = WorkerUnreachable | FencedOff


class WorkerClient:
    """Send commands to workers, each under the leader's epoch."""

    def __init__(self, *, http: HttpClient) -> None:
        """Share the connection pool of ``http`` among all workers."""
        self._http = http

    async def claim(self, address: str, epoch: int) -> TaskReport | WorkerFailure:
        """Fence off lower epochs; return all tasks of the worker."""
        return await self._post(address, "/claim", ClaimWorker(epoch), TaskReport)

    async def reserve(
        self, address: str, req: ReserveTask
    ) -> TaskStatus | WorkerFailure:
        """Reserve accelerators for a task."""
        return await self._post(address, "/tasks", req, TaskStatus)

    async def start(
        self, address: str, task: str, epoch: int
    ) -> TaskStatus | WorkerFailure:
        """Start a task whose accelerators are reserved."""
        return await self._post(
            address, f"/tasks/{task}/start", StartTask(epoch), TaskStatus
        )

    async def stop(
        self, address: str, task: str, req: StopTask
    ) -> TaskStatus | WorkerFailure:
        """Stop a task."""
        return await self._post(address, f"/tasks/{task}/stop", req, TaskStatus)

    async def checkpoint(
        self, address: str, task: str, epoch: int
    ) -> TaskStatus | WorkerFailure:
        """Save a task's progress, so that its job can continue elsewhere."""
        return await self._post(
            address, f"/tasks/{task}/checkpoint", StartTask(epoch), TaskStatus
        )

    async def renew(self, address: str, req: RenewTasks) -> TaskReport | WorkerFailure:
        """Renew the leases of all confirmed tasks of the worker."""
        return await self._post(address, "/renew", req, TaskReport)

    async def follow(
        self, address: str, *, since: int, wait_s: float
    ) -> TaskReport | WorkerFailure:
        """Poll a worker, up to ``wait_s``, for tasks that changed after ``since``."""
        response = await self._http.call(
            "GET",
            f"http://{address}/tasks?since={since}&wait_s={wait_s}",
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        return _decode(response, TaskReport)

    async def _post(
        self, address: str, path: str, req: msgspec.Struct, type_: type[T]
    ) -> T | WorkerFailure:
        response = await self._http.call(
            "POST",
            f"http://{address}{path}",
            body=encode_json(req),
            timeout_s=CALL_TIMEOUT_S,
        )
        return _decode(response, type_)


def _decode(response: HttpResponse | object, type_: type[T]) -> T | WorkerFailure:
    if not isinstance(response, HttpResponse):
        sent = not isinstance(response, NotSent)
        reason = getattr(response, "reason", "")
        return WorkerUnreachable(reason=reason, field="sent" if sent else None)
    if response.status == 409:
        return FencedOff(reason="the worker obeys a higher epoch")
    if response.status != 200:
        return WorkerUnreachable(reason=f"the worker answered {response.status}")
    try:
        return msgspec.json.decode(response.body, type=type_)
    except msgspec.DecodeError as error:
        return WorkerUnreachable(reason=f"cannot decode response: {error}")
