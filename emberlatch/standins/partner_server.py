"""Serves the model of a partner's endpoint on a loopback socket."""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Protocol

from emberlatch.standins.endpoint_model import CallOutcome, Condition, EndpointModel, Message
from emberlatch.standins.http_connection import HttpConnection, HttpRequest, OpenConnections

TRUNCATED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-"
GARBLED_ANSWER = b"\x00noise\r\n\r\n"


class EndpointObserver(Protocol):
    """Is notified of calls and answers on an endpoint's connections; each call has a unique number."""

    def on_call(self, number: int, process: str, messages: list[Message]) -> None:
        """A complete call was received from a process."""

    def on_answer(self, number: int, outcome: CallOutcome) -> None:
        """The answer to a call is written; it may be truncated."""

    def on_disconnect(self, number: int) -> None:
        """The connection of a call ended before an answer was written."""


class PartnerServer:
    """Listens for one endpoint; its faults are set with `set_condition`."""

    def __init__(
        self,
        endpoint: EndpointModel,
        observer: EndpointObserver | None = None,
        reservation: socket.socket | None = None,
    ) -> None:
        """`reservation` keeps the port reserved while the server does not listen (`reserved_ports`)."""
        self.endpoint, self.observer, self._reservation = endpoint, observer, reservation
        self.calls = 0
        self._connections = OpenConnections()
        self._server: asyncio.Server | None = None
        self._port = 0 if reservation is None else int(reservation.getsockname()[1])

    @property
    def address(self) -> str:
        """The address as host:port; valid after the first `start`, and unchanged by an outage."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen on the reserved port or on a free one; a later start uses the same port again."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, self._connections),
            "127.0.0.1",
            self._port,
            reuse_port=self._reservation is not None or None,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def set_condition(self, condition: Condition) -> None:
        """Set or clear a fault; stop listening if the endpoint refuses connections."""
        self.endpoint.set_condition(asyncio.get_running_loop().time(), condition)
        if not self.endpoint.accepts():
            await self.stop()
        elif self._server is None:
            await self.start()

    async def stop(self) -> None:
        """Refuse new connections, and break the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._connections.abort_all()


class _Connection(HttpConnection):
    """One connection from a forwarder; it has one call at a time."""

    def __init__(self, server: PartnerServer, connections: OpenConnections) -> None:
        super().__init__(connections)
        self._server = server
        self._open_call = 0  # number of the call that waits for its answer; 0 if there is none

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self._open_call and self._server.observer is not None:
            self._server.observer.on_disconnect(self._open_call)

    def on_request(self, request: HttpRequest) -> None:
        is_batch = request.path.endswith(b":batch")
        messages = _parse_batch(request.body) if is_batch else [_message(request)]
        if not messages:
            self._answer(CallOutcome(0.0, 400), [], is_batch)
            return
        loop = asyncio.get_running_loop()
        self._server.calls += 1
        self._open_call = self._server.calls
        if self._server.observer is not None:
            self._server.observer.on_call(self._open_call, self.process, messages)
        outcome = self._server.endpoint.call(loop.time(), messages)
        if outcome.at < math.inf:
            loop.call_at(outcome.at, self._answer, outcome, messages, is_batch)

    def _answer(self, outcome: CallOutcome, messages: list[Message], is_batch: bool) -> None:
        if self.transport.is_closing():
            return
        if outcome.status == 0:
            self.transport.abort()
            return
        if self._open_call and self._server.observer is not None:
            self._server.observer.on_answer(self._open_call, outcome)
        self._open_call = 0
        if outcome.complete:
            self.transport.write(_response(outcome, messages if is_batch else []))
        elif outcome.status == 200:
            self.transport.write(TRUNCATED_ANSWER)
            self.transport.close()
        else:
            self.transport.write(GARBLED_ANSWER)


def _response(outcome: CallOutcome, batch: list[Message]) -> bytes:
    body = "".join(f"{message.id} ok\r\n" for message in batch) if outcome.status == 200 else ""
    head = f"HTTP/1.1 {outcome.status} X\r\nContent-Length: {len(body)}\r\n"
    if outcome.retry_after:
        head += f"Retry-After: {outcome.retry_after:.3f}\r\n"
    if outcome.report is not None:
        head += f"X-Server-Load: x0={outcome.report[0]:.3f},x1={outcome.report[1]:.3f}\r\n"
    return f"{head}\r\n{body}".encode()


def _message(request: HttpRequest) -> Message:
    headers = request.headers
    return Message(headers.get("x-request-id", ""), headers.get("idempotency-key", ""))


def _parse_batch(body: bytes) -> list[Message]:
    """Parse the messages of a batch; returns an empty list if the batch is invalid.

    Each message is a line `ID KEY SIZE`, then a body of SIZE bytes and a line end. KEY is `-` if the message
    has no key.
    """
    messages: list[Message] = []
    position = 0
    try:
        while position < len(body):
            line_end = body.index(b"\r\n", position)
            name, key, size = body[position:line_end].decode().split(" ")
            messages.append(Message(name, "" if key == "-" else key))
            position = line_end + 2 + int(size) + 2
    except ValueError:
        return []
    return messages
