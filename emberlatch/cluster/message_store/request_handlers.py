"""Handlers of the message store's calls: they decode payloads and encode replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberlatch.cluster.message_store.message_store import MessageStore
from emberlatch.cluster.message_store.messages import (
    AcceptRequest,
    CommitStateRequest,
    MessageIds,
    MessageQuery,
    RangeDigests,
    RecordBatch,
    StateReport,
)
from emberlatch.cluster.message_store.ownership_messages import AssumeOwnershipRequest, TakeoverInquiry
from emberlatch.cluster.message_store.record import Record
from emberlatch.cluster.rpc import RpcConnection, RpcMethod

Handler = Callable[[RpcConnection, object], object]
"""Takes the connection and the payload; returns the reply's payload, or a coroutine that returns it."""


class MessageStoreHandlers:
    """Serves the calls to one message store. Handlers raise MessageDecodeError for an invalid payload."""

    def __init__(self, message_store: MessageStore) -> None:
        self._accept_service, self._replication = message_store.accept_service, message_store.replication
        self._cancellation, self._state_commits = message_store.cancellation, message_store.state_commits
        self._ownership, self._repair = message_store.ownership, message_store.repair
        self._takeover = message_store.takeover

    def table(self) -> dict[str, Handler]:
        """Return the handler of each method."""
        return {
            RpcMethod.ACCEPT: self._accept,
            RpcMethod.PROBE: self._probe,
            RpcMethod.REPLICATE: self._replicate,
            RpcMethod.COMMIT_STATE: self._commit_state,
            RpcMethod.MESSAGE_STATE: self._message_state,
            RpcMethod.MESSAGE_BODY: self._message_body,
            RpcMethod.ASSUME_OWNERSHIP: self._assume_ownership,
            RpcMethod.TAKEOVER_INQUIRY: self._takeover_inquiry,
            RpcMethod.DIGEST_RANGES: self._digest_ranges,
            RpcMethod.RECORDS: self._records,
            RpcMethod.REPAIR: self._receive_records,
        }

    async def _accept(self, _: RpcConnection, payload: object) -> object:
        return (await self._accept_service.accept(AcceptRequest.from_wire(payload))).to_wire()

    def _probe(self, _: RpcConnection, payload: object) -> object:
        return self._cancellation.probe(StateReport.from_wire(payload)).to_wire()

    async def _replicate(self, _: RpcConnection, payload: object) -> object:
        copy = Record.from_wire(payload, asyncio.get_running_loop().time())
        return (await self._replication.replicate(copy)).to_wire()

    async def _commit_state(self, _: RpcConnection, payload: object) -> object:
        return (await self._state_commits.commit_states(CommitStateRequest.from_wire(payload))).to_wire()

    def _message_state(self, _: RpcConnection, payload: object) -> object:
        status = self._state_commits.message_state(MessageQuery.from_wire(payload))
        return None if status is None else status.to_wire()

    async def _message_body(self, _: RpcConnection, payload: object) -> object:
        return (await self._state_commits.message_body(MessageQuery.from_wire(payload))).to_wire()

    def _assume_ownership(self, _: RpcConnection, payload: object) -> object:
        return self._ownership.assume_ownership(AssumeOwnershipRequest.from_wire(payload)).to_wire()

    def _takeover_inquiry(self, _: RpcConnection, payload: object) -> object:
        return self._takeover.answer(TakeoverInquiry.from_wire(payload)).to_wire()

    def _digest_ranges(self, connection: RpcConnection, payload: object) -> object:
        return self._repair.compare_digests(connection.name, RangeDigests.from_wire(payload)).to_wire()

    def _records(self, connection: RpcConnection, payload: object) -> object:
        return self._repair.records(connection.name, MessageIds.from_wire(payload)).to_wire()

    async def _receive_records(self, _: RpcConnection, payload: object) -> object:
        return (await self._repair.receive(RecordBatch.from_wire(payload))).to_wire()
