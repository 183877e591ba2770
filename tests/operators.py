"""A client of the operators' HTTP interface of a forwarder."""

from __future__ import annotations

import asyncio

from tests.peers import read_message


async def call(port: int, method: str, path: str) -> tuple[int, str]:
    """Send one request; return status and body. Checks that the server closes the connection afterwards."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    line, headers, body = await read_message(reader)
    assert headers["connection"] == "close" and await reader.read() == b""
    writer.close()
    return int(line.split(" ")[1]), body.decode()


async def read_metrics(port: int) -> dict[str, int]:
    """Return the metrics of a forwarder by name, without the common prefix `app.`."""
    status, text = await call(port, "GET", "/ops/stats")
    assert status == 200
    pairs = [line.partition("=")[::2] for line in text.splitlines()]
    assert all(name.startswith("app.") for name, _ in pairs)
    return {name.removeprefix("app."): int(value) for name, value in pairs}


async def until(port: int, wanted: dict[str, int]) -> dict[str, int]:
    """Wait until the metrics include the wanted values; return all metrics."""
    while True:
        metrics = await read_metrics(port)
        if wanted.items() <= metrics.items():
            return metrics
