"""Test peers on loopback sockets: scripted targets, a discovery and notice service, and a client."""

from __future__ import annotations

import asyncio
import functools
import itertools
import json
import os
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]

SETTINGS: dict[str, Any] = {
    "allowed": {
        "cancel": True,
        "conn-idle": 15.0,
        "connect-timeout": 1.0,
        "max-attempts": 6,
        "max-retry-after": 2.0,
        "open-cap": 50,
        "probes": False,
        "retry-after": True,
        "second-copies": True,
    },
    "balancers": 2,
    "categories": [
        {
            "name": "payout",
            "idempotency": "idempotency_key",
            "dedup-scope": "zone",
            "window": 25.0,
            "target": 4.0,
            "deadline": 24.0,
            "gain": 1.0,
            "late-value": 0.4,
        },
        {
            "name": "status-update",
            "idempotency": "read_like",
            "target": 3.0,
            "deadline": 24.0,
            "gain": 3.0,
            "late-value": 0.5,
        },
        {"name": "order", "idempotency": "non_idempotent", "target": 3.0, "deadline": 24.0},
    ],
    "discovery": "ask",
    "extra": {"per-call": [10, 1], "separate-routes": [True, True], "workers": 5},
    "failure-domains": ["east-wing", "west-wing"],
    "machine-types": ["wallet-operator", "rural-bank"],
    "report": {"fields": ["x0", "x1"], "how": "inline"},
    "round": 0.005,
    "rules": {
        "answer-slack": 0.02,
        "ask-every": 10.0,
        "cold": 13.0,
        "cold-from": 0.27,
        "drain-grace": 0.5,
        "fall-multiple": 1.5,
        "tip-after": 3.0,
    },
    "tenants": [{"name": "acme", "allowance-per-s": 10.0}],
}


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test, with a time limit of 90 s."""

    async def limited() -> None:
        await asyncio.wait_for(test(), 90)

    asyncio.run(limited())


@dataclass
class Exchange:
    """A request that a peer received, with the connection on which to respond."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        await respond(self.writer, status, body, **headers)

    def reset(self) -> None:
        self.writer.transport.abort()


async def respond(writer: asyncio.StreamWriter, status: int, body: bytes = b"", **headers: str) -> None:
    lines = (
        [f"HTTP/1.1 {status} X"] if status == 204 else [f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}"]
    )
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read the next response and return its status."""
    line, _, _ = await read_message(reader)
    return int(line.split(" ")[1])


Handler = Callable[[Exchange], Awaitable[None]]


class Peer:
    """An HTTP server whose handler answers each request; the requests are queued in `exchanges`."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.exchanges: asyncio.Queue[Exchange] = asyncio.Queue()
        self.connections = 0
        self._open: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Peer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._open.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ")
                exchange = Exchange(method, path, headers, body, reader, writer)
                self.exchanges.put_nowait(exchange)
                await self.handler(exchange)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def next(self) -> Exchange:
        return await asyncio.wait_for(self.exchanges.get(), 10)


async def accept(exchange: Exchange) -> None:
    await exchange.answer(200)


async def never_respond(exchange: Exchange) -> None:
    await asyncio.Event().wait()


class Gate:
    """A handler that delays its responses, which all have status 200, until a test opens the gate."""

    def __init__(self) -> None:
        self._opened = asyncio.Event()

    async def __call__(self, exchange: Exchange) -> None:
        await self._opened.wait()
        await exchange.answer(200)

    def open(self) -> None:
        self._opened.set()


def member(address: str, name: str = "s-1", **more: Any) -> dict[str, Any]:
    entry = {"id": name, "host_port": address, "locality": "east-wing", "flavor": "rural-bank", "cell": 7}
    return entry | {"phase": "SERVING", "size": 1.0, "up_since_ms": 0} | more


@dataclass
class PlatformService:
    """A discovery service that also receives notices at `/reports`."""

    members: list[dict[str, Any]]
    revision: int = 1
    notice_status: int = 204
    down: bool = False
    notices: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)
    watches: asyncio.Queue[float] = field(default_factory=asyncio.Queue)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, exchange: Exchange) -> None:
        if exchange.path == "/reports":
            await exchange.answer(self.notice_status)
            for line in exchange.body.splitlines():
                self.notices.put_nowait(json.loads(line))
            return None
        self.watches.put_nowait(time.monotonic())
        if self.down:
            return await exchange.answer(503)
        if "since=" in exchange.path:
            await self.changed.wait()
            self.changed.clear()
        await exchange.answer(200, json.dumps(self.document()).encode())
        return None

    def document(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    def change(self, members: list[dict[str, Any]]) -> None:
        self.members, self.revision = members, self.revision + 1
        self.changed.set()

    async def notice(self) -> dict[str, Any]:
        return await asyncio.wait_for(self.notices.get(), 30)


@asynccontextmanager
async def listed_target(handler: Handler, **entry: Any) -> AsyncIterator[tuple[Peer, PlatformService, Peer]]:
    """Start a target and a platform that lists it with these fields.

    Yields the target, the platform, and the HTTP server of the platform.
    """
    async with Peer(handler) as target:
        platform = PlatformService([member(target.address, **entry)])
        async with Peer(platform.handle) as service:
            yield target, platform, service


def config(platform: str, known: dict[str, Any], port: int, **limits: float) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": platform,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3} | limits,
        "known": known,
        "settings": SETTINGS,
    }


# Below the range from which the kernel assigns ports.
FIRST_PORT = 20_000
BLOCK_PORTS = 150
BLOCKS = 80


@functools.cache
def port_block() -> Iterator[int]:
    """Return an endless cycle over the ports of a block that is reserved for this process.

    A process reserves a block by binding the block's name in the abstract namespace of Unix sockets. The
    kernel releases the name when the process ends, as it releases the ports, and both are shared by the same
    processes.
    """
    for block in range(BLOCKS):
        reservation = socket.socket(socket.AF_UNIX)
        try:
            reservation.bind(f"\0emberlatch-test-ports-{block}")
        except OSError:
            reservation.close()
            continue
        RESERVATIONS.append(reservation)
        first = FIRST_PORT + block * BLOCK_PORTS
        return itertools.cycle(range(first, first + BLOCK_PORTS))
    raise RuntimeError(
        f"all {BLOCKS} blocks of {BLOCK_PORTS} ports from {FIRST_PORT} are reserved by other test processes"
    )


RESERVATIONS: list[socket.socket] = []  # keeps the sockets bound until the process ends


async def free_port() -> int:
    """Return a free port for a process whose port has to be known before it starts.

    A port that the kernel assigned and that was closed again could be assigned to a concurrent test before
    the process binds it; the forwarder of that test would then receive the requests. Therefore each process
    that runs tests, in this run or in a concurrent one, takes ports from a block of its own.
    """
    while True:
        port = next(port_block())
        try:
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)
        except OSError:
            continue
        server.close()
        await server.wait_closed()
        return port


class Process:
    """The forwarder program in a process of its own."""

    def __init__(self, folder: Path, platform: Peer, known: dict[str, Any], **limits: float) -> None:
        self.folder, self.platform, self.known, self.limits = folder, platform, known, limits

    async def start(self) -> None:
        self.port = await free_port()
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        path = self.configure(self.document(self.platform.address))
        environment = os.environ | {"EDGE_CONFIG": str(path), "EDGE_STATE": str(state)}
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "emberlatch", cwd=ROOT, env=environment, stderr=log
            )
        async with asyncio.timeout(20):
            while True:
                try:
                    if (await request(self.port, "GET", "/healthz"))[0] == 200:
                        return
                except OSError:
                    await asyncio.sleep(0.02)

    def document(self, platform: str) -> str:
        return json.dumps(config(platform, self.known, self.port, **self.limits))

    def configure(self, text: str) -> Path:
        """Replace the configuration file atomically, and return its path."""
        new, path = self.folder / "config.new", self.folder / "config.json"
        new.write_text(text)
        return new.replace(path)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def submit(self, request_id: str = "m1", body: bytes = b"hello", **headers: str) -> int:
        return await submit(self.port, request_id, body, **headers)


def message_headers(request_id: str, **changes: str) -> dict[str, str]:
    headers = {
        "X-Request-ID": request_id,
        "X-Priority-Class": "status-update",
        "X-Tenant-Id": "acme",
        "X-Timeout-Ms": "24000",
        "Envelope": "dest=7",
    }
    return {k: v for k, v in (headers | {k.replace("_", "-"): v for k, v in changes.items()}).items() if v}


async def submit(port: int, request_id: str = "m1", body: bytes = b"x", **headers: str) -> int:
    """Submit one message; return the status of the response."""
    return (await request(port, "POST", "/api", message_headers(request_id, **headers), body))[0]


def message_bytes(request_id: str, body: bytes, **headers: str) -> bytes:
    """Return the bytes that a client sends to submit a message."""
    lines = ["POST /api HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in message_headers(request_id, **headers).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def request(
    port: int, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> tuple[int, dict[str, str]]:
    """Send one request on a new connection; return the status and the headers of the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: app.svc", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        line, response_headers, _ = await asyncio.wait_for(read_message(reader), 10)
        return int(line.split(" ")[1]), response_headers
    finally:
        writer.close()
