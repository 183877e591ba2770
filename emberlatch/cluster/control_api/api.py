"""The control address: HTTP calls of targets and operators.

A store handles the calls itself (`local`). A process without a disk forwards them to a store (`forwarding`).
"""

from __future__ import annotations

from typing import Protocol

from emberlatch.cluster.control_api.messages import ControlRequest, ControlResponse
from emberlatch.net.server import Reply, Request

UNAVAILABLE = 503
RETRY_AFTER_S = 0.2  # seconds after which a caller may retry a call that was answered 503


class CallHandler(Protocol):
    """Handles calls on the control API."""

    async def handle(self, request: ControlRequest) -> ControlResponse:
        """Return the response to a call."""


class ControlApi:
    """Decodes HTTP requests into calls for `call_handler`: `LocalHandler` or `ForwardingHandler`."""

    def __init__(self, call_handler: CallHandler) -> None:
        self._call_handler = call_handler

    async def handle(self, request: Request, reply: Reply) -> None:
        """Respond to one HTTP request."""
        path = request.path.decode("latin-1").partition("?")[0]
        segments = tuple(path.strip("/").split("/"))
        call = ControlRequest(request.method.decode("latin-1"), segments, bytes(request.body))
        response = await self._call_handler.handle(call)
        reply.send(response.status, RETRY_AFTER_S if response.status == UNAVAILABLE else None, response.body)
