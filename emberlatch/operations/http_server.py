"""HTTP/1.1 server for operators: one request per connection, which is closed after the response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from emberlatch.engine import REAL_MACHINE, Address, Machine, Tasks
from emberlatch.net.acceptor import Acceptor

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
"""Connections that may be open at the same time."""
REQUEST_TIMEOUT_S = 1.0
"""Time limit for a complete request to arrive."""
LINGER_S = 0.25
"""Time between the response and the abort of the connection.

In this time a client that is still sending can read the response.
"""
MAX_REQUEST_BYTES = 8 * 1024


@dataclass(frozen=True, slots=True)
class OperatorEndpoint:
    """The method that a path accepts, and the handler that returns status and text of the response."""

    method: bytes
    handler: Callable[[], tuple[int, str]]


class OperatorServer:
    """Listens for operators and passes each request to the `OperatorEndpoint` of its path."""

    def __init__(
        self,
        address: Address,
        endpoints: Mapping[bytes, OperatorEndpoint],
        tasks: Tasks,
        machine: Machine = REAL_MACHINE,
    ) -> None:
        self.endpoints = endpoints
        self._address, self._tasks, self._machine = address, tasks, machine
        self._connections: dict[_Connection, None] = {}  # ordered from oldest to newest
        self._acceptor: Acceptor | None = None

    def start(self) -> None:
        """Start listening; raises OSError if the address cannot be bound."""
        listener = self._machine.listen(self._address)
        self._acceptor = Acceptor(listener, lambda: _Connection(self), self._tasks)

    def close(self) -> None:
        """Stop listening; open connections are not closed."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    def add(self, connection: _Connection) -> None:
        """Track a connection; at the limit, abort the oldest answered connection, else the oldest."""
        if len(self._connections) >= MAX_CONNECTIONS:
            answered = (other for other in self._connections if other.answered)
            oldest = next(answered, next(iter(self._connections)))
            self.remove(oldest)
            oldest.transport.abort()
        self._connections[connection] = None

    def remove(self, connection: _Connection) -> None:
        """Stop tracking a connection."""
        self._connections.pop(connection, None)


class _Connection(asyncio.Protocol):
    """One connection of an operator."""

    transport: asyncio.Transport

    def __init__(self, operators: OperatorServer) -> None:
        self._operators = operators
        self._parser = httptools.HttpRequestParser(self)
        self._path, self._received_bytes = b"", 0
        self._timeout: asyncio.TimerHandle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._timeout = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._time_out)
        self._operators.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._operators.remove(self)
        if self._timeout is not None:
            self._timeout.cancel()

    def eof_received(self) -> bool:
        return not self.answered  # a half-closed connection still receives its response

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._respond(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(HTTPStatus.BAD_REQUEST)

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        endpoint = self._operators.endpoints.get(self._path.partition(b"?")[0])
        if self.answered:
            return
        if endpoint is None:
            self._respond(HTTPStatus.NOT_FOUND)
        elif self._parser.get_method() != endpoint.method:
            self._respond(HTTPStatus.METHOD_NOT_ALLOWED, allow=endpoint.method)
        else:
            self._handle(endpoint)

    def _handle(self, endpoint: OperatorEndpoint) -> None:
        try:
            status, text = endpoint.handler()
        except Exception:  # a fault affects only this request
            log.exception("operator request %r failed with an unexpected error", self._path)
            self._respond(HTTPStatus.INTERNAL_SERVER_ERROR)
        else:
            self._respond(HTTPStatus(status), text)

    def _time_out(self) -> None:
        if self.answered or not self._received_bytes:
            self.transport.abort()
        else:
            self._respond(HTTPStatus.REQUEST_TIMEOUT)

    def _respond(self, status: HTTPStatus, text: str = "", allow: bytes = b"") -> None:
        if self.answered:
            return
        self.answered = True
        body = text.encode()
        head = f"HTTP/1.1 {status:d} {status.phrase}\r\nContent-Length: {len(body)}\r\n"
        head += "Content-Type: text/plain; charset=utf-8\r\n"
        head += f"Allow: {allow.decode()}\r\n" if allow else ""
        self.transport.write((head + "Connection: close\r\n\r\n").encode() + body)
        # Closing with unread data would reset the connection, and the response might be lost.
        self.transport.write_eof()
        if self._timeout is not None:
            self._timeout.cancel()
        self._timeout = asyncio.get_running_loop().call_later(LINGER_S, self.transport.abort)
