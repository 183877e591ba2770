"""The client side of HTTP/1.1: a connection with at most one request in flight."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from emberlatch.engine import Address
from emberlatch.store import MAX_BODY_BYTES

if TYPE_CHECKING:  # the platform's process does not load the `ssl` module, see `__main__`
    import ssl

MAX_HEAD_BYTES = 16 * 1024
"""Maximum size of the head of a request or a response."""
RESPONSE_COMPLETION_TIMEOUT_S = 0.3
"""Maximum time from the first to the last byte of a response; after that the response has failed."""


class NoResponseError(Exception):
    """There was no valid response.

    Attributes:
        written: whether the request had been sent completely.
        status: the status of an incomplete response; 0 if none was received.
    """

    def __init__(self, written: bool, status: int = 0) -> None:
        super().__init__(
            f"no valid response, request {'sent completely' if written else 'not sent completely'}"
        )
        self.written, self.status = written, status


class InvalidResponseError(Exception):
    """The received data cannot become a valid response."""


@dataclass(slots=True)
class Response:
    """A response; header names are in lower case."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)


def parse_address(text: str) -> Address:
    """Split `host:port`; raises ValueError if it is anything else."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether data or the end of the stream has arrived on a connection and has not been read yet."""
    is_unread = transport.get_extra_info("unread")  # set by a simulated transport, which has no socket
    if is_unread is not None:
        return bool(is_unread())
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class Connection(asyncio.Protocol):
    """One connection to a server, from connect to close.

    Attributes:
        written: whether all data has been passed to the operating system.
        closed: whether no more requests can be sent on the connection.
        idle_since: when the connection was last returned to its pool, in the loop's time.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._transport: asyncio.Transport
        self._parser: httptools.HttpResponseParser
        self._response = Response()
        self._pending_response: asyncio.Future[Response] | None = None
        self._completion_timeout: asyncio.TimerHandle | None = None
        self._response_started = self._head_complete = False
        self._head_bytes = 0  # size of the heads received so far, including those of 1xx responses
        self.written = True
        self.closed = False
        self.idle_since = 0.0
        self._response_filter: Callable[[Response], bool] | None = None

    def exchange(
        self, request: bytes, is_expected: Callable[[Response], bool] | None = None
    ) -> asyncio.Future[Response]:
        """Send a request; the future yields a Response, or raises NoResponseError.

        `is_expected` returns whether a response belongs to this request, and is not a late or duplicate
        response to an earlier one.
        """
        self._response_filter = is_expected
        # No part of the previous response may be mistaken for the response to this request: the previous
        # status 200 would turn a failed call into a delivery. So each exchange has its own parser as well.
        self._parser, self._response = httptools.HttpResponseParser(self), Response()
        self._response_started, self._head_complete, self._head_bytes = False, False, 0
        pending = self._pending_response = asyncio.get_running_loop().create_future()
        if self.closed:
            self._fail(written=False)
        else:
            self._transport.write(request)
        return pending

    @property
    def usable(self) -> bool:
        """Whether a request may be sent: the connection is open, and no unrequested data has arrived."""
        if not self.closed and has_unread_data(self._transport):
            # No request is in flight, so the unread data is the end of the stream, or belongs to no response.
            # The rest of a duplicate response would be mistaken for the response to a new request.
            self.close()
        return not self.closed

    @property
    def descriptor(self) -> int | None:
        """The file descriptor of the socket, if there is one."""
        sock = self._transport.get_extra_info("socket")
        return None if sock is None else int(sock.fileno())

    def close(self) -> None:
        """Abort the connection, even if a request is in flight."""
        self.closed = True
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop, as are the following methods."""
        self._transport = cast(asyncio.Transport, transport)  # the simulated loop has a class of its own
        # With a limit of 0, `pause_writing` and `resume_writing` report whether bytes are buffered in user
        # space. Under TLS they report the buffer of the TLS layer alone, and a limit of 0 would pause writing
        # even while that buffer is empty. So under TLS `written` may become true too early. A call that was
        # not sent completely may then be treated as possibly executed. A call that was sent completely is
        # never treated as unsent.
        plain = transport.get_extra_info("sslcontext") is None
        self._transport.set_write_buffer_limits(high=0 if plain else 1)

    def pause_writing(self) -> None:
        """Note that data is buffered in the process."""
        self.written = False

    def resume_writing(self) -> None:
        """Note that all data has been passed to the operating system."""
        self.written = True

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if the data belongs to no response."""
        if self._pending_response is None:  # no request is in flight, so this is no response
            self.close()
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
                raise InvalidResponseError
        except (InvalidResponseError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            # A response that is complete has been passed on already; one that is incomplete is lost.
            self._fail(written=True)
            self.close()
            return
        if self._response_started and self._completion_timeout is None:
            self._completion_timeout = asyncio.get_running_loop().call_later(
                RESPONSE_COMPLETION_TIMEOUT_S, self._on_completion_timeout
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, unless the end of the connection completes its response."""
        headers = self._response.headers
        framed = "content-length" in headers or "transfer-encoding" in headers
        if exc is None and not self.closed and self._head_complete and not framed:
            self._succeed()  # a body without a length ends with the connection
        self.closed = True
        self._fail(self.written)

    def _on_completion_timeout(self) -> None:
        self._fail(written=True)
        self.close()

    def _succeed(self) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_result(self._response)
        self._finish_exchange()

    def _fail(self, written: bool) -> None:
        if self._pending_response is not None and not self._pending_response.done():
            # Get the status from the parser: the status line may have arrived without the rest of the head.
            self._pending_response.set_exception(NoResponseError(written, self._parser.get_status_code()))
        self._finish_exchange()

    def _finish_exchange(self) -> None:
        self._pending_response = None
        self._end_response()

    def _end_response(self) -> None:
        self._response_started = False
        if self._completion_timeout is not None:
            self._completion_timeout.cancel()
            self._completion_timeout = None

    def on_message_begin(self) -> None:
        """Called by the parser, as are the following methods."""
        if self._pending_response is None:  # the response is complete, so this data belongs to no request
            raise InvalidResponseError
        self._response_started, self._head_complete, self._response = True, False, Response()

    def on_status(self, status: bytes) -> None:
        """Store the status, which is known before the response is complete."""
        self._response.status = self._parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the announced size of the body."""
        self._response.status = self._parser.get_status_code()
        self._head_complete = self._response.status >= 200
        if int(self._response.headers.get("content-length", 0)) > self._max_body_bytes:
            raise InvalidResponseError

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if len(self._response.body) + len(body) > self._max_body_bytes:
            raise InvalidResponseError
        self._response.body += body

    def on_message_complete(self) -> None:
        """Complete the request, unless this is an interim or an unexpected response."""
        if self._response.status < 200:
            self._end_response()  # an interim response: the final one may arrive much later
            return
        if self._response_filter is not None and not self._response_filter(self._response):
            self._end_response()  # the expected response may still arrive
            return
        if not self._parser.should_keep_alive():
            self.close()
        self._succeed()


async def connect(
    address: Address,
    timeout_s: float,
    max_body_bytes: int = MAX_BODY_BYTES,
    tls: ssl.SSLContext | None = None,
) -> Connection:
    """Open a connection for responses with bodies of at most `max_body_bytes`.

    Raises:
        OSError: the connection was refused, or not established within `timeout_s` seconds.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(lambda: Connection(max_body_bytes), *address, ssl=tls)
    return connection
