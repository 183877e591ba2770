"""Sends HTTP POST requests, each over a new connection. Uses none of the forwarder's code."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

POST_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class PostResponse:
    """A response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class _ResponseReader(asyncio.Protocol):
    """Reads one response; `response` fails with ConnectionResetError if the connection ends too early."""

    def __init__(self) -> None:
        self.response: asyncio.Future[PostResponse] = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body = dict[str, str](), bytearray()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.connection_lost(None)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if not self.response.done():
            status = self._parser.get_status_code()
            self.response.set_result(PostResponse(status, self._headers, bytes(self._body)))

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.response.done():
            self.response.set_exception(ConnectionResetError("no answer"))


async def post(
    host: str, port: int, headers: list[tuple[str, str]], body: bytes, path: str = "/as2"
) -> PostResponse:
    """Post a body; raises OSError if there is no response within the time-out."""
    async with asyncio.timeout(POST_TIMEOUT_S):
        transport, reader = await asyncio.get_running_loop().create_connection(_ResponseReader, host, port)
        try:
            head = "".join(f"{name}: {value}\r\n" for name, value in headers)
            lines = f"POST {path} HTTP/1.1\r\nHost: {host}\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            transport.write(lines.encode("latin-1") + body)
            return await reader.response
        finally:
            transport.abort()
