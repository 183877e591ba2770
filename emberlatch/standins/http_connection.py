"""The server side of HTTP connections for stand-ins: parses requests, and tracks open connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

MAX_BODY_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    path: bytes
    headers: dict[str, str]
    body: bytes


class OpenConnections:
    """The open connections of a server."""

    def __init__(self) -> None:
        self._open: dict[HttpConnection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: HttpConnection) -> None:
        """Add a connection that was opened."""
        self._open[connection] = None

    def remove(self, connection: HttpConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)

    def abort_all(self) -> None:
        """Abort all open connections."""
        for connection in list(self._open):
            connection.transport.abort()


class HttpConnection(asyncio.Protocol):
    """Parses requests, and aborts the connection if one is invalid or too large.

    Subclasses implement `on_request`.
    """

    transport: asyncio.Transport

    def __init__(self, connections: OpenConnections) -> None:
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._path, self._headers, self._body = b"", dict[str, str](), bytearray()

    def on_request(self, request: HttpRequest) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    @property
    def process(self) -> str:
        """The name of the peer's process if a simulated network provides it; otherwise empty."""
        return str(self.transport.get_extra_info("peer_process", ""))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.Protocol`."""
        self._connections.remove(self)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """See `httptools.HttpRequestParser`, which also calls the methods below."""
        self._path, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise httptools.HttpParserError("body too large")

    def on_message_complete(self) -> None:
        """Pass the complete request to `on_request`."""
        self.on_request(HttpRequest(self._path, self._headers, bytes(self._body)))
