"""Handle requests from other nodes."""

from typing import TYPE_CHECKING

from ..exceptions import NotLeader
from ..models.message import (
    AnnounceCancel,
    AnnounceJob,
    AnyBody,
    AskJob,
    AskPending,
    JobReply,
    PendingReply,
    Received,
    Refused,
    StoreOutcome,
    StoreRecord,
)
from .term import Term

if TYPE_CHECKING:
    from .daemon import Node

HELP_TIMEOUT_S = 0.4
"""Timeout of a store write made for a peer, in seconds; the peer waits 0.5 s for it."""


def apply_announcement(term: Term, body: AnyBody) -> None:
    """Pass a stored job or cancellation to the term ahead of its store watch."""
    if isinstance(body, AnnounceJob):
        term.add_record(body.record)
    elif isinstance(body, AnnounceCancel):
        term.core.cancel_job(body.job_id)
        term.request_pass()


class PeerHandlers:
    """Handlers of the messages that peers send to a leader or to a store helper."""

    def __init__(self, node: "Node") -> None:
        """Handle requests to ``node``."""
        self._node = node

    def register(self) -> None:
        """Register all handlers with the node's fabric."""
        self._node.fabric.handle(AnnounceJob, self._handle_announcement)
        self._node.fabric.handle(AnnounceCancel, self._handle_announcement)
        self._node.fabric.handle(AskJob, self._handle_job_query)
        self._node.fabric.handle(AskPending, self._handle_pending_query)
        self._node.fabric.handle(StoreRecord, self._handle_store_request)

    def _refuse(self) -> Refused:
        return Refused(failure=NotLeader(reason="this node is not the leader"))

    async def _handle_announcement(self, message: AnyBody) -> AnyBody:
        if self._node.term is None or not self._node.term.ready:
            return self._refuse()
        apply_announcement(self._node.term, message)
        return Received()

    async def _handle_job_query(self, message: AskJob) -> AnyBody:
        if self._node.term is None or not self._node.term.ready:
            return self._refuse()
        state = self._node.term.core.read_state(message.job_id)
        return JobReply(state=state.value if state is not None else "")

    async def _handle_pending_query(self, message: AskPending) -> AnyBody:
        if self._node.term is None or not self._node.term.ready:
            return self._refuse()
        return PendingReply(count=self._node.term.core.count_pending(message.queue))

    async def _handle_store_request(self, message: StoreRecord) -> AnyBody:
        outcome = await self._node.records.create_directly(
            message.key, message.value, timeout_s=HELP_TIMEOUT_S
        )
        return StoreOutcome(outcome=outcome)
