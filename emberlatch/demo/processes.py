"""Starts the processes of a demonstration: the stand-in partners, and the gateway with its configuration."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import IO

WINGS = ("east-wing", "west-wing")
OPERATOR, BANK = "wallet-operator", "rural-bank"
BROKEN_PARTNER = "harbour-mobile"

EXIT_TIMEOUT_S = 10.0
CONNECT_RETRY_S, CONNECT_ATTEMPTS = 0.02, 500

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
class PartnerProfile:
    """A partner's share of the traffic, and how each of its endpoints behaves."""

    share: float
    kind: str
    work_s: float
    limit: float
    """The most calls a second that an endpoint accepts; 0 for no limit."""


PARTNERS: Mapping[str, PartnerProfile] = {
    "harbour-mobile": PartnerProfile(0.30, OPERATOR, 0.06, 40.0),
    "coast-wallet": PartnerProfile(0.25, OPERATOR, 0.08, 40.0),
    "hill-bank": PartnerProfile(0.20, BANK, 0.07, 0.0),
    "river-bank": PartnerProfile(0.15, BANK, 0.09, 0.0),
    "savanna-bank": PartnerProfile(0.10, BANK, 0.06, 0.0),
}


def endpoint_id(partner: str, wing: str) -> str:
    """The id of a partner's endpoint in a wing."""
    return f"{partner}-{wing[:4]}"


def free_port() -> int:
    """Return a TCP port of the loopback address on which no process listens at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


@contextlib.asynccontextmanager
async def _process(
    *arguments: str,
    stdin: int | None = None,
    stdout: int | None = None,
    stderr: IO[bytes] | None = None,
) -> AsyncIterator[Process]:
    """Run a Python module in a process, which is terminated when the context ends.

    The process is killed if it does not exit within `EXIT_TIMEOUT_S`.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stdin=stdin, stdout=stdout, stderr=stderr, env=os.environ
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_S)
            except TimeoutError:
                process.kill()
                await process.wait()


class Partners:
    """Controls the running stand-in partners. Each command is one line of JSON on their standard input."""

    def __init__(self, process: Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self._stdin, self._stdout = process.stdin, process.stdout
        self.addresses: dict[str, str] = {}
        """The address of each endpoint, by its id."""

    async def configure(self) -> None:
        """Create the endpoints and read their addresses."""
        endpoints = [
            {"id": endpoint_id(name, wing), "behaviour": {"work": profile.work_s, "limit": profile.limit}}
            for name, profile in PARTNERS.items()
            for wing in WINGS
        ]
        self.addresses = json.loads(await self._exchange(endpoints))

    async def set_condition(self, endpoint: str, condition: str) -> None:
        """Set the condition of an endpoint, such as "hang" or "well". It lasts until the next call."""
        await self._exchange({"id": endpoint, "condition": condition})

    async def _exchange(self, command: object) -> bytes:
        self._stdin.write(json.dumps(command).encode() + b"\n")
        return await self._stdout.readline()


@contextlib.asynccontextmanager
async def start_partners() -> AsyncIterator[Partners]:
    """Run the stand-in partners until the context ends."""
    pipe = asyncio.subprocess.PIPE
    async with _process("emberlatch.standins", stdin=pipe, stdout=pipe) as process:
        partners = Partners(process)
        await partners.configure()
        yield partners


def write_configuration(folder: Path, addresses: Mapping[str, str], listen: str) -> None:
    """Write the gateway's configuration and inventory: operators in a CSV file, banks in a YAML file."""
    inventory = folder / "inventory"
    inventory.mkdir()
    (folder / "gateway.toml").write_text(CONFIG.format(listen=listen))
    rows, hosts = ["id,address,partner,kind,wing,limit"], []
    for name, profile in PARTNERS.items():
        for wing in WINGS:
            endpoint = endpoint_id(name, wing)
            address = addresses[endpoint]
            if profile.kind == OPERATOR:
                rows.append(f"{endpoint},{address},{name},{profile.kind},{wing},{profile.limit:.0f}")
            else:
                variables = f'address: "{address}", partner: {name}, wing: {wing}'
                hosts.append(f"        {endpoint}: {{{variables}}}")
    (inventory / "operators.csv").write_text("\n".join(rows) + "\n")
    banks = ["all:", "  children:", "    banks:", f"      vars: {{kind: {BANK}}}", "      hosts:", *hosts]
    (inventory / "banks.yaml").write_text("\n".join(banks) + "\n")


@contextlib.asynccontextmanager
async def start_gateway(folder: Path, port: int) -> AsyncIterator[None]:
    """Run the gateway until the context ends; wait first until it accepts connections.

    The wait ends without an error after `CONNECT_ATTEMPTS` attempts.

    Raises:
        RuntimeError: the gateway exited during the wait; the text is its log.
    """
    with (folder / "log").open("wb") as log:
        async with _process("emberlatch", "serve", str(folder / "gateway.toml"), stderr=log) as process:
            for _ in range(CONNECT_ATTEMPTS):
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                if process.returncode is not None:
                    raise RuntimeError((folder / "log").read_text())
                await asyncio.sleep(CONNECT_RETRY_S)
            yield
