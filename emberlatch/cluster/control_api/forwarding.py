"""Forwards calls on the control API from processes without a disk to stores."""

from __future__ import annotations

import asyncio
from typing import Protocol

from emberlatch.cluster.control_api.api import UNAVAILABLE
from emberlatch.cluster.control_api.messages import ControlRequest, ControlResponse
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod

FORWARD_TIMEOUT_S = 0.9  # seconds for all attempts together, because callers wait for one second
FORWARD_ATTEMPT_S = 0.45  # seconds for one attempt, after which the next store is tried


class StoreDirectory(Protocol):
    """Lists the stores that calls can be forwarded to."""

    def nearest_stores(self) -> list[Peer]:
        """The writable stores, the nearest first."""


class ForwardingHandler:
    """Implements `CallHandler` in a process without a disk."""

    def __init__(self, stores: StoreDirectory) -> None:
        self._stores = stores

    async def handle(self, request: ControlRequest) -> ControlResponse:
        """Try the stores in turn until one responds with a status other than 503.

        A store that this process can reach may be isolated from the majority of the voters. It then responds
        503.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FORWARD_TIMEOUT_S
        response = ControlResponse.failed(UNAVAILABLE, "no machine with a disk can be reached")
        payload = request.to_wire()
        for peer in self._stores.nearest_stores():
            remaining_s = deadline - loop.time()
            if remaining_s <= 0:
                break
            try:
                answer = await peer.call(RpcMethod.CONTROL_API, payload, min(remaining_s, FORWARD_ATTEMPT_S))
            except CallFailedError:
                continue
            response = ControlResponse.from_wire(answer)
            if response.status != UNAVAILABLE:
                break
        return response
