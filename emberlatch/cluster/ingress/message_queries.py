"""Queries all reachable stores for the state or the body of a message."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.ingress.stores import Stores
from emberlatch.cluster.message_store import MessageBody, MessageQuery, MessageState, MessageStatus
from emberlatch.cluster.message_store.record import STATE_NAMES
from emberlatch.cluster.rpc import CallFailedError, RpcMethod

QUERY_TIMEOUT_S = 0.7  # seconds for a store to respond
COMPLETED = STATE_NAMES[MessageState.COMPLETED]
_BY_FINALITY = (MessageState.COMPLETED, MessageState.DEAD_LETTERED, MessageState.QUEUED)
_FINALITY = {STATE_NAMES[state]: rank for rank, state in enumerate(_BY_FINALITY)}


class NoSuchMessageError(LookupError):
    """The message or its body was not found although every store responded.

    Also raised for the body of a completed message, which was deleted.
    """


class StoresUnreachableError(LookupError):
    """Not all stores responded, and those that did do not have the message or its body."""


class MessageQueries:
    """Queries the stores and combines their responses."""

    def __init__(self, stores: Stores) -> None:
        self._stores = stores

    async def status(self, message_id: str) -> MessageStatus:
        """Return the most final of the reported states: completed, then dead-lettered, then queued.

        Raises NoSuchMessageError or StoresUnreachableError if no store reports the message.
        """
        statuses, complete = await self._ask_all(message_id)
        if not statuses:
            raise _not_found(message_id, complete)
        return min(statuses, key=lambda status: _FINALITY[status.name])

    async def body(self, message_id: str) -> bytes:
        """Return the body of a queued or dead-lettered message; a completed one has none.

        Raises the same errors as `status`.
        """
        statuses, complete = await self._ask_all(message_id)
        if any(status.name == COMPLETED for status in statuses):
            raise NoSuchMessageError(f"{message_id}: the message is completed and its body was deleted")
        query = MessageQuery(message_id).to_wire()
        for peer in self._stores.reachable_stores():
            try:
                payload = await peer.call(RpcMethod.MESSAGE_BODY, query, QUERY_TIMEOUT_S)
            except CallFailedError:
                complete = False
                continue
            if (body := MessageBody.from_wire(payload).body) is not None:
                return body
        raise _not_found(message_id, complete)

    async def _ask_all(self, message_id: str) -> tuple[list[MessageStatus], bool]:
        """Return the statuses that the stores report, and whether all known stores responded."""
        query = MessageQuery(message_id).to_wire()
        calls = (
            peer.call(RpcMethod.MESSAGE_STATE, query, QUERY_TIMEOUT_S)
            for peer in self._stores.reachable_stores()
        )
        answers = await asyncio.gather(*calls, return_exceptions=True)
        payloads = [answer for answer in answers if not isinstance(answer, BaseException)]
        statuses = [MessageStatus.from_wire(payload) for payload in payloads if payload is not None]
        return statuses, len(payloads) >= max(1, len(self._stores.stores()))


def _not_found(message_id: str, complete: bool) -> LookupError:
    if complete:
        return NoSuchMessageError(f"{message_id}: no store has this message")
    return StoresUnreachableError(f"{message_id}: not found, but not all stores responded; retry the query")
