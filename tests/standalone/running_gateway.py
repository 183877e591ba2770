"""Runs a standalone gateway for tests, in the test process or in a separate one."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from emberlatch.config import load
from emberlatch.standalone import StandaloneGateway
from tests.peers import ROOT, Peer, free_port, read_message, request

HEADER = "id,address,partner,kind,wing,phase"
QUIET_PERIOD_S = 0.15


def run_async_test(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), 60)

    asyncio.run(limited())


def inventory_row(
    name: str, peer: Peer, partner: str = "momo", wing: str = "east-wing", phase: str = ""
) -> str:
    return f"{name},{peer.address},{partner},rural-bank,{wing},{phase}"


def save_inventory(folder: Path, *rows: str, name: str = "a.csv") -> None:
    """Create or replace an inventory file atomically."""
    inventory = folder / "inventory"
    inventory.mkdir(exist_ok=True)
    new = inventory / f".{name}.new"
    new.write_text("\n".join([HEADER, *rows]) + "\n")
    os.utime(new, (1, 1))
    new.rename(inventory / name)


async def write_configuration(folder: Path, **more: str) -> tuple[Path, int]:
    port = await free_port()
    top = {"listen": f'"127.0.0.1:{port}"'} | {k: v for k, v in more.items() if "." not in k}
    lines = [f"{key} = {value}" for key, value in top.items()]
    lines += [
        "[inventory]",
        'paths = ["inventory"]',
        'poll = "50ms"',
        f'settle = "{QUIET_PERIOD_S * 1000:.0f}ms"',
    ]
    lines += ["[limits]", "calls = 10"] + [f"{k} = {v}" for k, v in more.items() if k.startswith("limits.")]
    path = folder / "gateway.toml"
    path.write_text("\n".join(lines) + "\n")
    return path, port


@asynccontextmanager
async def running_gateway(
    folder: Path, *rows: str, **more: str
) -> AsyncIterator[tuple[StandaloneGateway, int]]:
    save_inventory(folder, *rows)
    path, port = await write_configuration(folder, **more)
    running = StandaloneGateway(load(path))
    await running.start()
    try:
        yield running, port
    finally:
        await running.stop()


def headers(name: str, partner: str = "momo", **changes: str) -> dict[str, str]:
    state = {
        "X-Request-ID": name,
        "X-Priority-Class": "payout",
        "Idempotency-Key": name,
        "X-Timeout-Ms": "24000",
        "Envelope": f"dest={partner}",
    }
    return state | {k.replace("_", "-"): v for k, v in changes.items()}


async def submit(port: int, name: str, partner: str = "momo", **changes: str) -> int:
    return (await request(port, "POST", "/api", headers(name, partner, **changes), b"x"))[0]


async def message_state(port: int, name: str) -> dict[str, Any] | None:
    """Return the answer to `GET /messages/NAME`, or None if the message is unknown."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET /messages/{name} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        line, _, body = await asyncio.wait_for(read_message(reader), 10)
        return json.loads(body) if line.split(" ")[1] == "200" else None
    finally:
        writer.close()


async def final_state(port: int, name: str) -> str:
    """Wait until a message has an outcome; return its state."""
    while (state := await message_state(port, name)) is None or state["state"] == "held":
        await asyncio.sleep(0.02)
    return str(state["state"])


def logged_outcomes(folder: Path) -> list[dict[str, Any]]:
    path = folder / "state" / "ends.jsonl"
    return [json.loads(line) for line in path.read_bytes().splitlines()] if path.exists() else []


class GatewayProcess:
    """Runs `emberlatch serve` in a separate process."""

    def __init__(self, folder: Path, path: Path, port: int) -> None:
        self.folder, self.path, self.port = folder, path, port

    async def start(self) -> None:
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "emberlatch", "serve", str(self.path), cwd=ROOT, stderr=log
            )
        while True:
            try:
                if (await request(self.port, "GET", "/healthz"))[0] == 200:
                    return
            except OSError:
                assert self.process.returncode is None, self.log()
                await asyncio.sleep(0.02)

    async def kill(self, number: int = signal.SIGKILL) -> int:
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def log(self) -> str:
        return (self.folder / "log").read_text()


@asynccontextmanager
async def gateway_process(folder: Path, *rows: str) -> AsyncIterator[GatewayProcess]:
    save_inventory(folder, *rows)
    running = GatewayProcess(folder, *await write_configuration(folder))
    await running.start()
    try:
        yield running
    finally:
        await running.kill()
