"""A cluster of operating system processes on loopback addresses of this machine."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path

from emberlatch.faults.process import Process
from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.clients import SimulatedClients
from emberlatch.simulation.environment import Environment, Result
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.operators import SimulatedOperator
from emberlatch.simulation.plan import Plan
from emberlatch.simulation.target import SimulatedTarget

THIS_CHECKOUT = Path(__file__).resolve().parents[3]
NODE_PACKAGES = "emberlatch.cluster", "huts"  # packages that start a node; older checkouts have the second
STORE_COUNT = 3
FORWARDER_COUNT = 2
TARGET_COUNT = 4
TARGET_IP = "127.0.3.1"
ZONE = "here"
FIRST_REVISION = 3
SHUTDOWN_GRACE_S = 6.0  # time from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.05
READY_POLLS = 200
READY_TIMEOUT_S = 1.0
STATE_TIMEOUT_S = 2.0
REGISTRATION_WAIT_S = 1.5  # time in which each target sends its first heartbeat
ROLL_OUT_PAUSE_S = 1.0  # pause after the replacement of each process
OK = 200
UNKNOWN_STATE = "unknown"


def free_ports(count: int) -> list[int]:
    """Find ports that are free at the moment."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def node_package(checkout: Path) -> str | None:
    """Return the package that starts a node in a checkout; None if there is no such package."""
    for package in NODE_PACKAGES:
        if checkout.joinpath(*package.split("."), "__main__.py").exists():
            return package
    return None


@dataclass(frozen=True, slots=True)
class Ports:
    """Port numbers, which are the same on every address."""

    control: int  # requests of operators
    client: int  # requests of clients
    readiness: int  # health checks
    peer: int  # connections of other processes in the cluster


class LoopbackCluster(Environment):
    """Runs stores and forwarders as processes; clients, targets and operators are simulated in this process.

    Attributes:
        hosts: loopback addresses of the processes, by process name.
        processes: running processes by name.
        checkout: checkout of the program from which processes are started.
    """

    def __init__(self, per_s: float, seconds: float) -> None:
        plan = Plan(random.randrange(1 << 30), messages_per_s=per_s, duration_s=seconds)
        super().__init__(plan, random.Random())
        self.folder = Path(tempfile.mkdtemp(prefix="emberlatch-try-"))
        self.ports = Ports(*free_ports(4))
        self.stores = {f"store-{n}": f"127.0.1.{n + 1}" for n in range(STORE_COUNT)}
        self.forwarders = {f"front-{n}": f"127.0.2.{n + 1}" for n in range(FORWARDER_COUNT)}
        self.hosts = self.stores | self.forwarders
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.checkout = THIS_CHECKOUT

    def control_addresses(self) -> list[tuple[str, int]]:
        """Return the control addresses of all stores in random order."""
        addresses = [(host, self.ports.control) for host in self.stores.values()]
        self.random.shuffle(addresses)
        return addresses

    def pick_forwarder(self, zone: str, chance: random.Random) -> tuple[str, int] | None:
        """Choose a forwarder at random."""
        return chance.choice(list(self.forwarders.values())), self.ports.client

    def run_in(self, process: Process, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Run a coroutine in this process."""
        return asyncio.get_running_loop().create_task(work)

    async def add_target(self, service: str, address: tuple[str, int]) -> None:
        """Start a target in this process."""
        target = SimulatedTarget(self, f"i-{self.next_number()}", service, ZONE, address)
        await self.run_in(target.process, target.start())

    def start_process(self, name: str, first_start: bool) -> None:
        """Start a node from the current checkout; append its output to a file in `folder`."""
        package = node_package(self.checkout)
        assert package is not None, f"{self.checkout} is not a checkout of this program"
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._settings_text(name, first_start))
        with (self.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", package],
                env=os.environ | {"EMBERLATCH_BOOT": str(settings), "PYTHONPATH": str(self.checkout)},
                cwd=self.checkout,
                stderr=out,
                stdout=out,
            )

    def _settings_text(self, name: str, first_start: bool) -> str:
        host, is_store = self.hosts[name], name in self.stores
        seeds = [f"{store}:{self.ports.control}" for store in self.stores.values()]
        lines = [
            f'node = "{name}"', f'ip = "{host}"', f'zone = "{ZONE}"', f'region = "{ZONE}"',
            f"seeds = {json.dumps(seeds)}",
            f"port_range = [{self.ports.peer}, {self.ports.peer}]",
            f"initial_start = {str(first_start).lower()}",
            "serves = " + ('["store", "control"]' if is_store else '["front"]'),
            f"counted = {str(is_store).lower()}",
        ]  # fmt: skip
        if is_store:
            lines += [f'data_dir = "{self.folder / name}"', "[listen]"]
            lines += [f'control = "{host}:{self.ports.control}"']
        else:
            lines += ["[listen]", f'front = "{host}:{self.ports.client}"']
            lines += [f'ready = "{host}:{self.ports.readiness}"']
        lines += ["[limits]", "memory_mb = 300", "max_fds = 1000", "[resilience]", "machines = 1"]
        return "\n".join(lines) + "\n"

    async def start(self) -> bool:
        """Start all processes and targets, apply a configuration, and return whether the cluster is ready."""
        for name in self.hosts:
            self.start_process(name, True)
        for n in range(TARGET_COUNT):
            await self.add_target(self.services[n % 2], (TARGET_IP, free_ports(1)[0]))
        if not await SimulatedOperator(self).send(FIRST_REVISION) or not await self.wait_ready():
            print("the cluster did not become ready", file=sys.stderr)
            return False
        await asyncio.sleep(REGISTRATION_WAIT_S)
        return True

    async def wait_ready(self) -> bool:
        """Wait until all forwarders are ready; return False if they are not after READY_POLLS checks."""
        for _ in range(READY_POLLS):
            if await self._all_ready():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _all_ready(self) -> bool:
        try:
            for host in self.forwarders.values():
                address = host, self.ports.readiness
                response = await send_request(address, "GET", "/api/readiness", b"", {}, READY_TIMEOUT_S)
                if response.status != OK:
                    return False
        except (OSError, NoResponseError, TimeoutError):
            return False
        return True

    async def message_state(self, id: str) -> str:
        """Query a message's state at a forwarder; return UNKNOWN_STATE unless the answer has status 200."""
        address, path = (self.forwarders["front-0"], self.ports.client), f"/api/message/{id}"
        try:
            response = await send_request(address, "GET", path, b"", {"Host": "a"}, STATE_TIMEOUT_S)
        except (OSError, NoResponseError, TimeoutError):
            return UNKNOWN_STATE
        return bytes(response.body).decode().split('"')[3] if response.status == OK else UNKNOWN_STATE

    def kill_and_restart(self, name: str) -> None:
        """Kill a process with SIGKILL, and restart it on the same disk at once."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.start_process(name, False)

    async def replace_process(self, name: str) -> bool:
        """Restart a process from the current checkout; return False if it had to be killed."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        for _ in range(int(SHUTDOWN_GRACE_S / POLL_INTERVAL_S)):
            if process.poll() is not None:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        exited = process.poll() is not None
        process.kill()
        process.wait()
        self.start_process(name, False)
        return exited

    async def roll_out(self, checkout: Path) -> None:
        """Replace all processes, one after another, with processes from another checkout."""
        self.checkout = checkout
        for name in self.hosts:
            exited = await self.replace_process(name)
            now = asyncio.get_running_loop().time()
            print(
                f"{now:.2f} {name} runs from {checkout.name}"
                + ("" if exited else f": killed, it did not exit within {SHUTDOWN_GRACE_S:g} s")
            )
            if not exited:
                self.history.record_breach("GRACE", now, name)
            await self.wait_ready()
            await asyncio.sleep(ROLL_OUT_PAUSE_S)

    def clients(self) -> SimulatedClients:
        """Create clients that submit messages at the plan's rate."""
        return SimulatedClients(self, ZONE, self.plan.messages_per_s)

    def close(self) -> None:
        """Kill all started processes, and remove their files."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
