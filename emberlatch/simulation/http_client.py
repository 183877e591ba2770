"""The HTTP client of the simulated clients, targets and operators."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from emberlatch.net.http_connection import Connection, Response, connect

MAX_RESPONSE_BYTES = 1 << 20


async def send_request(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout_s: float,
) -> Response:
    """Send one request on a connection of its own.

    Raises OSError, NoResponseError or TimeoutError if there is no answer within `timeout_s` seconds.
    """
    async with asyncio.timeout(timeout_s):
        connection: Connection = await connect(address, timeout_s, MAX_RESPONSE_BYTES)
        try:
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            return await connection.exchange(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        finally:
            connection.close()
