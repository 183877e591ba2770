"""Runs stand-in partners and the gateway as processes of their own, feeds traffic and breaks one partner."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from emberlatch.demo.account import Account, Summary
from emberlatch.standalone.control import ask
from emberlatch.standalone.ends import CURRENT

RATE = 60.0  # messages a second, to all partners
AIM = 4.0  # seconds, of the class that is used
LAST_ENDS = 25.0  # seconds that the last answers may take: none takes longer than its deadline
REFUSALS = {429: "turned away at once: no prospect of its turn", 503: "turned away at once: no room"}
"""Why a message is not taken on, by the status of its answer."""
LATER = "taken on, and then its turn could not be expected in time"
LOOK = 0.25  # seconds between looks at the log of ends

PARTNERS: dict[str, dict[str, Any]] = {
    # share of the traffic, kind, and how each endpoint behaves
    "harbour-mobile": {"share": 0.30, "kind": "wallet-operator", "work": 0.06, "limit": 40.0},
    "coast-wallet": {"share": 0.25, "kind": "wallet-operator", "work": 0.08, "limit": 40.0},
    "hill-bank": {"share": 0.20, "kind": "rural-bank", "work": 0.07, "limit": 0.0},
    "river-bank": {"share": 0.15, "kind": "rural-bank", "work": 0.09, "limit": 0.0},
    "savanna-bank": {"share": 0.10, "kind": "rural-bank", "work": 0.06, "limit": 0.0},
}
BROKEN = "harbour-mobile"
WINGS = ("east-wing", "west-wing")

CONFIG = """\
listen = "{listen}"
state = "state"

[inventory]
paths = ["inventory"]

[limits]
calls = 40
messages = 2000
"""


@dataclass(frozen=True, slots=True)
class Progress:
    """What is shown while it runs; times in seconds."""

    elapsed: float
    total: float
    part: str
    account: Account
    status: dict[str, Any]


Show = Callable[[Progress], None]


async def run(seconds: float, seed: int, show: Show) -> Summary:
    """One demonstration: a third each before, during and after the break."""
    with tempfile.TemporaryDirectory(prefix="emberlatch-") as name:
        folder = Path(name)
        async with _partners() as (addresses, command):
            listen = f"127.0.0.1:{await _free_port()}"
            _write(folder, addresses, listen)
            async with _gateway(folder, listen):
                drive = _Drive(folder, listen, seconds, seed, show, command)
                return await drive.run()


@contextlib.asynccontextmanager
async def _process(*arguments: str, **more: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", *arguments, **more)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), 10)
            except TimeoutError:
                process.kill()
                await process.wait()


Command = Callable[[str, str], Awaitable[None]]


@contextlib.asynccontextmanager
async def _partners() -> AsyncIterator[tuple[dict[str, str], Command]]:
    pipe = asyncio.subprocess.PIPE
    async with _process("emberlatch.standins", stdin=pipe, stdout=pipe) as process:
        assert process.stdin is not None and process.stdout is not None
        told = [
            {"id": f"{name}-{wing[:4]}", "behaviour": {"work": p["work"], "limit": p["limit"]}}
            for name, p in PARTNERS.items()
            for wing in WINGS
        ]
        process.stdin.write(json.dumps(told).encode() + b"\n")
        addresses = json.loads(await process.stdout.readline())

        async def command(endpoint: str, condition: str) -> None:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(json.dumps({"id": endpoint, "condition": condition}).encode() + b"\n")
            await process.stdout.readline()

        yield addresses, command


def _write(folder: Path, addresses: dict[str, str], listen: str) -> None:
    """A configuration, and an inventory in both forms: operators in a CSV file, banks in a YAML one."""
    inventory = folder / "inventory"
    inventory.mkdir()
    (folder / "gateway.toml").write_text(CONFIG.format(listen=listen))
    rows, hosts = ["id,address,partner,kind,wing,limit"], []
    for name, p in PARTNERS.items():
        for wing in WINGS:
            endpoint = f"{name}-{wing[:4]}"
            if p["kind"] == "wallet-operator":
                rows.append(f"{endpoint},{addresses[endpoint]},{name},{p['kind']},{wing},{p['limit']:.0f}")
            else:
                place = f'address: "{addresses[endpoint]}", partner: {name}, wing: {wing}'
                hosts.append(f"        {endpoint}: {{{place}}}")
    (inventory / "operators.csv").write_text("\n".join(rows) + "\n")
    banks = ["all:", "  children:", "    banks:", "      vars: {kind: rural-bank}", "      hosts:", *hosts]
    (inventory / "banks.yaml").write_text("\n".join(banks) + "\n")


@contextlib.asynccontextmanager
async def _gateway(folder: Path, listen: str) -> AsyncIterator[None]:
    with (folder / "log").open("wb") as log:
        arguments = ("emberlatch", "serve", str(folder / "gateway.toml"))
        async with _process(*arguments, stderr=log, env=os.environ) as process:
            host, _, port = listen.rpartition(":")
            for _ in range(500):
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.close()
                    break
                if process.returncode is not None:
                    raise RuntimeError((folder / "log").read_text())
                await asyncio.sleep(0.02)
            yield


class _Drive:
    """Hands in messages at random moments, and reads how they end."""

    def __init__(
        self, folder: Path, listen: str, seconds: float, seed: int, show: Show, command: Command
    ) -> None:
        host, _, port = listen.rpartition(":")
        self._address = host, int(port)
        self._folder, self._seconds, self._show, self._command = folder, seconds, show, command
        self._random = random.Random(seed)
        self._account = Account(PARTNERS, BROKEN, AIM)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._read = 0  # bytes of the log of ends
        self._status: dict[str, Any] = {}
        self._part = "before"

    async def run(self) -> Summary:
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as tasks:
            watching = tasks.create_task(self._watch(began))
            breaking = tasks.create_task(self._break())
            at, number = began, 0
            while (at := at + self._random.expovariate(RATE)) < began + self._seconds:
                await asyncio.sleep(max(0.0, at - loop.time()))
                number += 1
                tasks.create_task(self._hand_in(f"demo-{number}"))
            await breaking
            last = loop.time() + LAST_ENDS
            while self._account.open and loop.time() < last:
                await asyncio.sleep(LOOK)
            watching.cancel()
        for _, writer in self._idle:
            writer.close()
        self._ends()
        return self._account.summary()

    async def _break(self) -> None:
        for part, condition in (("during", "hang"), ("after", "well")):
            await asyncio.sleep(self._seconds / 3)
            for wing in WINGS:
                await self._command(f"{BROKEN}-{wing[:4]}", condition)
            self._part = part

    async def _watch(self, began: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._ends()
            with contextlib.suppress(OSError, ValueError):
                self._status = await asyncio.to_thread(ask, self._folder / "state", "status")
            elapsed = loop.time() - began
            self._show(Progress(elapsed, self._seconds, self._part, self._account, self._status))
            await asyncio.sleep(LOOK)

    def _ends(self) -> None:
        """Read what has been added to the log of ends: whole lines only."""
        with contextlib.suppress(FileNotFoundError), (self._folder / "state" / CURRENT).open("rb") as file:
            file.seek(self._read)
            data = file.read()
            whole = data[: data.rfind(b"\n") + 1]
            self._read += len(whole)
            for line in whole.splitlines():
                end = json.loads(line)
                self._account.ended(end["id"], end["state"], end["at"], LATER)

    async def _hand_in(self, message: str) -> None:
        names = list(PARTNERS)
        partner = self._random.choices(names, [PARTNERS[name]["share"] for name in names])[0]
        self._account.sent(message, partner, self._part, time.time())
        head = (
            f"POST /api HTTP/1.1\r\nHost: gateway\r\n"
            f"X-Request-ID: {message}\r\nIdempotency-Key: {message}\r\n"
            f"X-Priority-Class: payout\r\nX-Timeout-Ms: 24000\r\nEnvelope: dest={partner}\r\n"
            "Content-Length: 5\r\n\r\nhello"
        )
        status = await self._exchange(head.encode())
        if status != 202:  # not taken on, which is its answer
            state = "refused" if status in REFUSALS else "failed"
            self._account.ended(message, state, time.time(), REFUSALS.get(status, ""))

    async def _exchange(self, request: bytes) -> int:
        try:
            reader, writer = self._idle.pop() if self._idle else await asyncio.open_connection(*self._address)
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            return 0
        if b"Connection: close" in head:
            writer.close()
        else:
            self._idle.append((reader, writer))
        return int(head.split(b" ", 2)[1])


async def _free_port() -> int:
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port
