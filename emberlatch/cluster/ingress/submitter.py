"""Submits a message to one store after another until one has accepted it."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from emberlatch.cluster.ingress.stores import Stores
from emberlatch.cluster.message_store import AcceptReply, AcceptRequest, SubmittedMessage
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod

STORE_TIMEOUT_S = 0.15  # seconds for a store to accept a message; the last store gets the remaining time
SUBMIT_TIMEOUT_S = 0.46  # seconds for all attempts together; then the client gets its response
MIN_ATTEMPT_S = 0.02  # An attempt begins only if more than this number of seconds remains.


class SubmitOutcome(Enum):
    """The outcome of submitting a message."""

    ACCEPTED = auto()  # The message is durable on a quorum of disks.
    REJECTED = auto()  # No store has the message: it never ran and never will.
    UNKNOWN = auto()  # A store may have the message.


class MessageSubmitter:
    """Tries the stores in order, within SUBMIT_TIMEOUT_S.

    Each request names the stores that may already have the message from an earlier attempt.
    """

    def __init__(self, stores: Stores) -> None:
        self._stores = stores

    async def submit(self, message: SubmittedMessage, service: str) -> SubmitOutcome:
        """Submit a message of this service; returns within SUBMIT_TIMEOUT_S."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        candidates = [peer for peer in self._stores.nearest_stores(service) if not peer.unresponsive]
        possible_holders: list[str] = []
        for index, peer in enumerate(candidates):
            remaining_s = started_at + SUBMIT_TIMEOUT_S - loop.time()
            if remaining_s <= MIN_ATTEMPT_S:
                break
            is_last = index + 1 == len(candidates)
            request = AcceptRequest(
                message, loop.time() - started_at, len(possible_holders), possible_holders
            )
            outcome = await self._attempt(
                peer, request, remaining_s if is_last else min(remaining_s, STORE_TIMEOUT_S)
            )
            if outcome is SubmitOutcome.ACCEPTED:
                return outcome
            if outcome is SubmitOutcome.UNKNOWN:
                possible_holders = [*possible_holders, peer.name]
        return SubmitOutcome.UNKNOWN if possible_holders else SubmitOutcome.REJECTED

    async def _attempt(self, peer: Peer, request: AcceptRequest, timeout_s: float) -> SubmitOutcome:
        try:
            reply = AcceptReply.from_wire(await peer.call(RpcMethod.ACCEPT, request.to_wire(), timeout_s))
        except CallFailedError as error:
            return SubmitOutcome.UNKNOWN if error.may_have_arrived else SubmitOutcome.REJECTED
        if reply.accepted:
            return SubmitOutcome.ACCEPTED
        return SubmitOutcome.REJECTED if reply.surely_not_executed else SubmitOutcome.UNKNOWN
