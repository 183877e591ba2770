"""One connection of a client: its requests, the order of their replies, its time-outs and its handover."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from typing import Protocol, cast

from emberlatch.admission import ConnectionLimiter
from emberlatch.net.http_connection import MAX_HEAD_BYTES, has_unread_data
from emberlatch.net.reply import Reply
from emberlatch.net.request_parser import Request, RequestLimits, RequestParser

log = logging.getLogger(__name__)

LINGER_S = 0.25
"""Time between the reply to an invalid request and the abort of the connection.

In this time a client that is still sending can read the reply.
"""
MAX_PIPELINED_REQUESTS = 8
"""Maximum number of requests of one connection that have no reply yet."""


@dataclass(frozen=True, slots=True)
class ExportedConnection:
    """An open connection that another process can continue.

    Attributes:
        data: the bytes of an incomplete request that have been read.
        proven: whether the client has sent a valid request on the connection.
    """

    descriptor: int
    data: bytes
    proven: bool


class ConnectionOwner(RequestLimits, Protocol):
    """The server that a connection belongs to."""

    @property
    def paused(self) -> bool:
        """Whether reading is paused for a handover."""

    @property
    def closes_connections(self) -> bool:
        """Whether each connection is closed after its reply."""

    @property
    def request_timeout_s(self) -> float:
        """Time limit for the first request, for a complete request to arrive, and for reading replies."""

    @property
    def limiter(self) -> ConnectionLimiter[ServerConnection]:
        """Tracks the open connections."""

    def add(self, connection: ServerConnection) -> None:
        """Track a new connection."""

    def route(self, request: Request, reply: Reply) -> None:
        """Handle a complete request."""


class ServerConnection(asyncio.Protocol):
    """One connection of a client, from accept to close."""

    transport: asyncio.Transport

    def __init__(self, server: ConnectionOwner, data: bytes = b"", proven: bool = False) -> None:
        """`data` and `proven` describe a connection that another process handed over.

        `data`: the bytes of an incomplete request that the other process has read; `proven`: whether that
        process has received a valid request on the connection.
        """
        self._server, self._initial_data, self._proven = server, data, proven
        self._parser = RequestParser(server, self)
        self._replies: deque[Reply] = deque()
        self._state_since = 0.0  # start of the current request, idle time or pause of writing
        self._received_eof = False
        self._has_responded = False
        self._rejected = False  # the client sent an invalid request: nothing more is read
        self._writing_paused = False  # the client does not read its replies

    @property
    def idle(self) -> bool:
        """Whether no request is incomplete, and each request has its reply."""
        return self._parser.request is None and not self._replies

    @property
    def has_unread_data(self) -> bool:
        """Whether data has arrived that has not been read yet."""
        return has_unread_data(self.transport)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Track the connection, and parse the data that another process has read."""
        self.transport = cast(asyncio.Transport, transport)  # the simulated loop has a class of its own
        self._state_since = asyncio.get_running_loop().time()
        self._server.add(self)
        if self._proven:
            self._server.limiter.adopt(self, self._state_since)
        if self._initial_data:
            self.data_received(self._initial_data)
        if self._server.paused:
            self.pause(True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop tracking the connection."""
        self._server.limiter.remove(self)

    def eof_received(self) -> bool:
        """Note that the client sends no more; return whether to keep the connection for pending replies."""
        self._received_eof = True
        return bool(self._replies)

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read its replies."""
        self._writing_paused, self._state_since = True, asyncio.get_running_loop().time()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading, as the client has read its replies."""
        self._writing_paused = False
        self._resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received data.

        The parser buffers an incomplete head without a limit. So it gets the data in pieces, and the size of
        the head is checked after each piece.
        """
        transport, parser = self.transport, self._parser
        for start in range(0, len(data), MAX_HEAD_BYTES):
            if not self._rejected and not transport.is_closing():
                status = parser.feed(data[start : start + MAX_HEAD_BYTES])
                if status is not None:
                    self._reject(status)

    # Called by the parser.

    def accepts_request(self) -> bool:
        """Whether the client may send another request before it gets the pending replies."""
        return len(self._replies) < MAX_PIPELINED_REQUESTS

    def on_request_started(self) -> None:
        """Start the time limit of a request when its first byte has arrived."""
        if self._has_responded:  # the limit of the first request starts with the connection
            self._state_since = asyncio.get_running_loop().time()

    def on_continue_expected(self) -> None:
        """Send the interim response that the client waits for before it sends the body."""
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_request(self, request: Request, keep_alive: bool) -> None:
        """Handle a complete request; `keep_alive`: whether the client wants to keep the connection open."""
        reply = self._add_reply(keep_alive)
        try:
            self._server.route(request, reply)
        except Exception:  # a fault affects only this request
            log.exception("request %s failed with an unexpected error", request.headers.get("x-request-id"))
            reply.send(500)

    def _reject(self, status: int) -> None:
        """Reply to an invalid request after all earlier requests, and ignore all data after it."""
        self._rejected, self._parser.request = True, None
        self.transport.pause_reading()
        self._add_reply(keep_alive=False).send(status)

    # Called by replies.

    @property
    def is_closing(self) -> bool:
        """Whether the client has disconnected, or the connection is being closed."""
        return self.transport.is_closing()

    @property
    def closes_after_reply(self) -> bool:
        """Whether the connection is to be closed even if the client wants to keep it open."""
        return self._server.closes_connections

    def on_valid_request(self) -> None:
        """Report a valid request to the limiter; close the connection that the limiter selects, if any."""
        limiter = self._server.limiter
        if self.transport.is_closing():
            limiter.remove(self)
            return
        expendable = limiter.on_valid_request(self, asyncio.get_running_loop().time())
        if expendable is not None:
            expendable.transport.close()

    def write_replies(self) -> None:
        """Write the replies that are complete, up to the first one that is not."""
        replies, transport = self._replies, self.transport
        while replies and (data := replies[0].data) is not None:
            keep_alive = replies.popleft().keep_alive
            transport.write(data)
            if self._rejected and not replies:
                # Closing with unread data would reset the connection, and the reply might be lost.
                asyncio.get_running_loop().call_later(LINGER_S, transport.abort)
                transport.write_eof()
                return
            if not keep_alive or (self._received_eof and not replies):
                transport.close()
                return
        self._has_responded, self._state_since = True, asyncio.get_running_loop().time()

    def _add_reply(self, keep_alive: bool) -> Reply:
        reply = Reply(self, keep_alive)
        self._replies.append(reply)
        return reply

    # Called by the server.

    def pause(self, active: bool) -> None:
        """Stop reading if `active`; otherwise resume."""
        if active:
            self.transport.pause_reading()
        else:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if not (self._rejected or self._writing_paused or self._server.paused):
            self.transport.resume_reading()

    def close_if_idle(self) -> None:
        """Close the connection, unless a request is in progress, or has arrived and would be lost."""
        if self.idle and not self.has_unread_data:
            self.transport.close()

    def check_timeouts(self, now: float, idle_timeout_s: float) -> None:
        """Close the connection after a time-out; the reply to an incomplete request is 408."""
        elapsed_s = now - self._state_since
        if self._writing_paused and elapsed_s > self._server.request_timeout_s:
            self.transport.abort()
        elif self._parser.request is not None and elapsed_s > self._server.request_timeout_s:
            self._reject(408)
        elif self.idle and elapsed_s > idle_timeout_s:
            self.transport.close()

    def export(self) -> ExportedConnection | None:
        """Return what another process needs to continue this connection; None if it can't be continued."""
        transport = self.transport
        busy = self._replies or self._rejected or self._received_eof or self._writing_paused
        if busy or transport.is_closing() or transport.get_write_buffer_size():
            return None
        data, sock = self._parser.unfinished_data(), transport.get_extra_info("socket")
        if data is None or sock is None:
            return None
        return ExportedConnection(sock.fileno(), data, self._server.limiter.is_proven(self))
