"""The HTTP/1.1 server for clients: listening, routing, the health check, draining, and handover."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator, Set
from urllib.parse import unquote

from emberlatch.admission import ConnectionLimiter
from emberlatch.engine import REAL_MACHINE, Address, Machine, Tasks
from emberlatch.net.acceptor import Acceptor
from emberlatch.net.http_connection import MAX_HEAD_BYTES
from emberlatch.net.reply import Reply
from emberlatch.net.request_parser import Request
from emberlatch.net.server_connection import ExportedConnection, ServerConnection
from emberlatch.store import MAX_BODY_BYTES

__all__ = ["UNIQUE_HEADERS", "Reply", "Request", "Server"]

HEALTH_PATH = b"/healthz"
MESSAGES_PATH = b"/messages/"
"""Prefix of the path of a message's state; the message's id follows. Served only with `message_status`."""
UNIQUE_HEADERS = {
    "content-length",
    "envelope",
    "idempotency-key",
    "transfer-encoding",
    "x-priority-class",
    "x-request-id",
    "x-retried",
    "x-tenant-id",
    "x-timeout-ms",
}
"""Headers that may occur only once in a request.

If a header had several values, other software might use another value than this server.
"""
REQUEST_TIMEOUT_S = 2.0
"""Time limit for three things: the first request of a new connection, the arrival of a complete request, and
a client that reads its replies.
"""
IDLE_TIMEOUT_S = 5.0
"""Maximum time between two requests of a connection."""
DRAINING_IDLE_TIMEOUT_S = 0.5
"""Replaces IDLE_TIMEOUT_S while the server stops or drains.

It applies to idle connections with unread data, which are not closed at once.
"""
TIMEOUT_CHECK_INTERVAL_S = 0.25


class Server:
    """Listens for clients; `submit` gets each complete message with its reply.

    `message_status`, if given, takes the id of a message and returns the message's state as JSON, or None if
    the message is unknown.

    Attributes:
        stopping: whether each connection is closed after its current request; never reset.
        draining: like `stopping`, but `drain(False)` resets it.
        paused: whether accepting and reading are paused for a handover.
    """

    def __init__(
        self,
        address: Address,
        submit: Callable[[Request, Reply], None],
        max_connections: int,
        tasks: Tasks,
        message_status: Callable[[str], bytes | None] | None = None,
        machine: Machine = REAL_MACHINE,
        path: bytes = b"/api",
        max_body_bytes: int = MAX_BODY_BYTES,
        unique_headers: Set[str] = UNIQUE_HEADERS,
        allow_obs_fold: bool = False,
    ) -> None:
        """`path` is where messages are posted; `unique_headers` may occur only once in a request.

        `allow_obs_fold` accepts obsolete line folding (RFC 9112, 5.2), used by senders of long headers.
        """
        self.submit, self.message_status = submit, message_status
        self.paths = {path: b"POST", HEALTH_PATH: b"GET"}
        self.max_body_bytes, self.max_head_bytes = max_body_bytes, MAX_HEAD_BYTES
        self.unique_headers, self.allow_obs_fold = unique_headers, allow_obs_fold
        self.request_timeout_s, self.idle_timeout_s = REQUEST_TIMEOUT_S, IDLE_TIMEOUT_S
        self.stopping = self.draining = self.paused = False
        self._address, self._tasks, self._machine = address, tasks, machine
        self.limiter: ConnectionLimiter[ServerConnection] = ConnectionLimiter(max_connections)
        self._acceptor: Acceptor | None = None

    def start(self) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        listener = self._machine.listen(self._address)
        self._acceptor = Acceptor(listener, lambda: ServerConnection(self), self._tasks)
        asyncio.get_running_loop().call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def stop(self) -> None:
        """Close idle connections now, and other connections after their reply; still accept new ones."""
        self.stopping = True
        self._close_idle_connections()

    def drain(self, active: bool) -> None:
        """Close connections as `stop` does if `active`; otherwise keep connections open again."""
        self.draining = active
        if active:
            self._close_idle_connections()

    @property
    def closes_connections(self) -> bool:
        """Whether each connection is closed after its reply."""
        return self.stopping or self.draining

    def _close_idle_connections(self) -> None:
        for connection in self._connections():
            connection.close_if_idle()

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    # Handover to another process.

    async def pause(self) -> None:
        """Stop accepting and reading for a handover; new data stays in the sockets."""
        self.paused = True
        if self._acceptor is not None:
            self._acceptor.pause(True)
        for connection in self._connections():
            connection.pause(True)
        # Wait until each accepted connection has its protocol, which takes a few turns of the loop at most.
        while self._acceptor is not None and self._acceptor.connecting:  # noqa: ASYNC110
            await asyncio.sleep(0)

    def resume(self) -> None:
        """Continue after `pause`."""
        self.paused = False
        if self._acceptor is not None:
            self._acceptor.pause(False)
        for connection in self._connections():
            connection.pause(False)

    def export_connections(self) -> Iterator[ExportedConnection]:
        """Yield the connections that another process can continue.

        A connection is closed here when the next item is requested.
        """
        for connection in self._connections():
            if (exported := connection.export()) is not None:
                yield exported
                self.limiter.remove(connection)
                connection.transport.abort()  # the exported descriptor stays open

    def adopt_connection(self, sock: socket.socket, data: bytes, proven: bool) -> None:
        """Continue a connection that another process exported."""
        assert self._acceptor is not None
        self._acceptor.adopt(sock, lambda: ServerConnection(self, data, proven))

    def stop_after_handover(self) -> None:
        """Stop serving: reject requests on the remaining connections with 503, and close the connections."""
        self.stopping, self.paused = True, False
        self.submit = lambda _, reply: reply.send(503)
        self.close_listener()
        for connection in self._connections():
            connection.pause(False)
        self._close_idle_connections()

    def _connections(self) -> list[ServerConnection]:
        return [*self.limiter.unproven, *self.limiter.proven]

    @property
    def has_clients(self) -> bool:
        """Whether any connection is open."""
        return bool(len(self.limiter))

    def add(self, connection: ServerConnection) -> None:
        """Track a new connection; abort the one (perhaps this one) that the limiter selects, if any."""
        if (evicted := self.limiter.add(connection)) is not None:
            evicted.transport.abort()

    def route(self, request: Request, reply: Reply) -> None:
        """Handle a complete request: pass a message to `submit`, and reply to any other request here."""
        path = request.path.partition(b"?")[0]
        if self.message_status is not None and path.startswith(MESSAGES_PATH) and request.method == b"GET":
            status_json = self.message_status(unquote(path[len(MESSAGES_PATH) :].decode("latin-1")))
            reply.send(404) if status_json is None else reply.send(200, body=status_json)
        elif path not in self.paths:
            reply.send(404)
        elif request.method != self.paths[path]:
            reply.send(405, headers={"Allow": self.paths[path].decode()})
        elif path == HEALTH_PATH:
            reply.send(503 if self.closes_connections else 200)
        else:
            self.submit(request, reply)

    def _check_timeouts(self) -> None:
        now = asyncio.get_running_loop().time()
        for connection in self.limiter.unproven:
            connection.check_timeouts(now, self.request_timeout_s)
        idle_timeout_s = DRAINING_IDLE_TIMEOUT_S if self.closes_connections else self.idle_timeout_s
        for connection in self.limiter.proven:
            connection.check_timeouts(now, idle_timeout_s)
        asyncio.get_running_loop().call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
