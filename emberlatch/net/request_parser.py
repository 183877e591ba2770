"""Parses the requests of one connection and enforces limits on them.

A request is rejected in each of these cases:

- httptools can't parse it, or a header contains a control character;
- its head or its body exceeds the limit;
- a header that may occur only once is repeated;
- it has both a Content-Length and a Transfer-Encoding;
- it asks for an upgrade of the protocol;
- too many earlier requests of the connection have no reply yet.
"""

from __future__ import annotations

import re
from collections.abc import Set
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from emberlatch.net.reply import REASON_PHRASES

HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header line in addition to its name and value: colon, space and line end."""
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


@dataclass(slots=True)
class Request:
    """A received request; header names are in lower case."""

    path: bytes = b""
    method: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    headers_complete: bool = False


class RequestLimits(Protocol):
    """The limits that a request must observe; they may change while a connection is open."""

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of the request line and all headers."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of the body."""

    @property
    def unique_headers(self) -> Set[str]:
        """Names of headers that may occur only once, in lower case."""

    @property
    def allow_obs_fold(self) -> bool:
        """Whether obsolete line folding (RFC 9112, 5.2) is accepted."""


class RequestHandler(Protocol):
    """Receives the events of a parser."""

    def accepts_request(self) -> bool:
        """Whether the client may send another request before it gets the pending replies."""

    def on_request_started(self) -> None:
        """Called when the first byte of a request has arrived."""

    def on_continue_expected(self) -> None:
        """Called when the client waits for an interim response before it sends the body."""

    def on_request(self, request: Request, keep_alive: bool) -> None:
        """Handle a complete request; `keep_alive`: whether the client wants to keep the connection open."""


class RequestParser:
    """Parses the requests of one connection.

    Attributes:
        request: the incomplete request; None between requests.
    """

    def __init__(self, limits: RequestLimits, handler: RequestHandler) -> None:
        self._limits, self._handler = limits, handler
        self._parser = httptools.HttpRequestParser(self)
        if limits.allow_obs_fold:
            self._parser.set_dangerous_leniencies(lenient_headers=True)
        self.request: Request | None = None
        self._partial_head: bytes | None = b""  # the received bytes of an incomplete head; None if unknown
        self._completed_request = False  # whether the current piece of data completed a request
        self._head_bytes = 0  # size of the pieces of data that contain a part of the incomplete head
        self._header_bytes = 0  # size of the current request's headers
        self._error_status = 400

    def feed(self, data: bytes) -> int | None:
        """Parse received data; return the status of the reply if the data is invalid, else None.

        After invalid data the parser can't be used any more.
        """
        self._completed_request = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._error_status
        request = self.request
        if request is None or request.headers_complete:
            self._partial_head = b""
            return None
        # httptools does not expose the bytes of an incomplete head, which a handover needs. Keep them here.
        if self._completed_request:  # the incomplete head began somewhere in this piece of data
            self._partial_head = None
        elif self._partial_head is not None:
            self._partial_head += data
        self._head_bytes += len(data)
        return 431 if self._head_bytes > self._limits.max_head_bytes else None

    def unfinished_data(self) -> bytes | None:
        """Return the received bytes of the incomplete request.

        The result is empty between requests, and None if the bytes are unknown.
        """
        if self.request is None or not self.request.headers_complete:
            return self._partial_head
        return self._serialize(self.request)

    def _serialize(self, request: Request) -> bytes | None:
        if "transfer-encoding" in request.headers:
            return None
        headers = {name: value for name, value in request.headers.items() if name != "expect"}
        method, path, version = (
            request.method.decode(),
            request.path.decode("latin-1"),
            self._parser.get_http_version(),
        )
        header_lines = (f"{name}: {value}" for name, value in headers.items())
        lines = [f"{method} {path} HTTP/{version}", *header_lines, "", ""]
        return "\r\n".join(lines).encode("latin-1") + request.body

    def _error(self, status: int) -> httptools.HttpParserError:
        self._error_status = status
        return httptools.HttpParserError(REASON_PHRASES[status])

    def on_message_begin(self) -> None:
        """Called by the parser, as are the following methods."""
        if not self._handler.accepts_request():
            raise self._error(429)
        self.request, self._head_bytes, self._header_bytes = Request(), 0, 0
        self._handler.on_request_started()

    def on_url(self, url: bytes) -> None:
        """Store a part of the path."""
        assert self.request is not None
        self.request.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; check the size of the head, and that a unique header is not repeated."""
        request, limits = self.request, self._limits
        assert request is not None
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes > limits.max_head_bytes:  # `_head_bytes` counts incomplete heads only
            raise self._error(431)
        key = name.decode("latin-1").lower()
        if key in limits.unique_headers and key in request.headers:
            raise self._error(400)
        # httptools rejects control characters itself, unless it is set to accept line folding.
        if limits.allow_obs_fold and _CONTROL_CHARACTER.search(value):
            raise self._error(400)
        request.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the framing and the announced size of the body."""
        request = self.request
        assert request is not None
        headers = request.headers
        request.method, request.headers_complete = self._parser.get_method(), True
        if self._parser.should_upgrade() or ("content-length" in headers and "transfer-encoding" in headers):
            raise self._error(400)
        if int(headers.get("content-length", 0)) > self._limits.max_body_bytes:
            raise self._error(413)
        if headers.get("expect", "").lower() == "100-continue":
            self._handler.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        assert self.request is not None
        received = self.request.body
        if len(received) + len(body) > self._limits.max_body_bytes:
            raise self._error(413)
        received += body

    def on_message_complete(self) -> None:
        """Report a complete request."""
        request, self.request, self._completed_request = self.request, None, True
        assert request is not None
        self._handler.on_request(request, self._parser.should_keep_alive())
