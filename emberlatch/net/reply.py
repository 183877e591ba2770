"""The reply to one request, and its encoding as an HTTP/1.1 response."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
VALID_REQUEST_STATUSES = {200, 202, 429, 503}
"""Statuses that show that a request was valid."""
NO_HEADERS: Mapping[str, str] = {}


class ReplyWriter(Protocol):
    """The connection on which a reply is sent."""

    @property
    def is_closing(self) -> bool:
        """Whether the client has disconnected, or the connection is being closed."""

    @property
    def closes_after_reply(self) -> bool:
        """Whether the connection is to be closed even if the client wants to keep it open."""

    def on_valid_request(self) -> None:
        """Called if the status of a reply shows that its request was valid, before the reply is encoded."""

    def write_replies(self) -> None:
        """Write the replies that are complete, up to the first one that is not."""


class Reply:
    """The reply to one request. The replies of a connection are written in the order of its requests.

    Attributes:
        data: the encoded response; None until `send` is called.
        keep_alive: whether the connection stays open after this reply.
    """

    def __init__(self, writer: ReplyWriter, keep_alive: bool) -> None:
        self._writer, self.keep_alive = writer, keep_alive
        self.data: bytes | None = None

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self._writer.is_closing

    def send(
        self,
        status: int,
        retry_after: float | None = None,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Send the response; must be called once only.

        `retry_after` is in seconds. Without `headers`, a body is declared as JSON.
        """
        writer = self._writer
        if status in VALID_REQUEST_STATUSES:
            writer.on_valid_request()
        self.keep_alive = self.keep_alive and not writer.closes_after_reply
        head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Length: {len(body)}\r\n"
        head += "Content-Type: application/json\r\n" if body and not headers else ""
        head += f"Retry-After: {retry_after:.3f}\r\n" if retry_after is not None else ""
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        head += "\r\n" if self.keep_alive else "Connection: close\r\n\r\n"
        self.data = head.encode() + body
        writer.write_replies()
