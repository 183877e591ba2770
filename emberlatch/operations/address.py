"""The operators' address: HTTP/1.1, one call to a connection, which is closed after its answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import httptools

from emberlatch.engine import REAL, Address, Machine, Tasks
from emberlatch.net.accept import Acceptor

log = logging.getLogger(__name__)

PLACES = 16  # callers at a time
PATIENCE = 1.0  # seconds in which a call must have come
LINGER = 0.25  # seconds in which a caller that is still sending can read its answer
MAX_CALL = 8 * 1024  # bytes
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Call:
    """What an operator may ask: the method, and what gives status and text of the answer."""

    method: bytes
    answer: Callable[[], tuple[int, str]]


class Operators:
    """Listens for operators and answers each call by the path that it names."""

    def __init__(
        self, address: Address, calls: Mapping[bytes, Call], tasks: Tasks, machine: Machine = REAL
    ) -> None:
        self.calls = calls
        self._address, self._tasks, self._machine = address, tasks, machine
        self._callers: dict[_Caller, None] = {}  # the oldest first
        self._acceptor: Acceptor | None = None

    def start(self) -> None:
        """Begin to listen; OSError if it can't."""
        listener = self._machine.listen(self._address)
        self._acceptor = Acceptor(listener, lambda: _Caller(self), self._tasks)

    def close(self) -> None:
        """Listen no more."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    def joined(self, caller: _Caller) -> None:
        """Count a caller in; one too many ends the oldest that has its answer, or else the oldest."""
        if len(self._callers) >= PLACES:
            answered = (other for other in self._callers if other.answered)
            oldest = next(answered, next(iter(self._callers)))
            self.left(oldest)
            oldest.transport.abort()
        self._callers[caller] = None

    def left(self, caller: _Caller) -> None:
        """Count a caller out."""
        self._callers.pop(caller, None)


class _Caller(asyncio.Protocol):
    """One connection."""

    transport: asyncio.Transport

    def __init__(self, operators: Operators) -> None:
        self._operators = operators
        self._parser = httptools.HttpRequestParser(self)
        self._path, self._size, self._status = b"", 0, 400
        self._overdue: asyncio.TimerHandle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._overdue = asyncio.get_running_loop().call_later(PATIENCE, self._too_late)
        self._operators.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._operators.left(self)
        if self._overdue is not None:
            self._overdue.cancel()

    def eof_received(self) -> bool:
        return not self.answered  # half closed, it still hears its answer

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self._size += len(data)
        if self._size > MAX_CALL:
            return self._answer(431)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400)

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        call = self._operators.calls.get(self._path.partition(b"?")[0])
        if self.answered:
            return
        if call is None:
            return self._answer(404)
        if self._parser.get_method() != call.method:
            return self._answer(405, allow=call.method)
        try:
            status, text = call.answer()
        except Exception:  # costs this answer and nothing else
            log.exception("call %r failed", self._path)
            return self._answer(500)
        self._answer(status, text)

    def _too_late(self) -> None:
        if self.answered or not self._size:
            return self.transport.abort()
        self._answer(408)

    def _answer(self, status: int, text: str = "", allow: bytes = b"") -> None:
        if self.answered:
            return
        self.answered = True
        body = text.encode()
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n"
        head += "Content-Type: text/plain; charset=utf-8\r\n"
        head += f"Allow: {allow.decode()}\r\n" if allow else ""
        self.transport.write((head + "Connection: close\r\n\r\n").encode() + body)
        # Closed with bytes unread the connection is reset, and the answer may be lost with it.
        self.transport.write_eof()
        if self._overdue is not None:
            self._overdue.cancel()
        self._overdue = asyncio.get_running_loop().call_later(LINGER, self.transport.abort)
