"""Compares two ways to replace the forwarder's process under load: takeover and restart.

    python -m benchmarks.takeover [times]

During the run, clients with persistent connections submit messages in closed loops, and a prober opens a new
connection every 10 ms and requests the health. Meanwhile the process is replaced `times` times in each way,
alternately. Prints the longest wait of a new connection for its answer, requests that failed without an
answer, messages that were sent twice, memory and descriptors of all processes together, and the latency of
operators' requests.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import statistics
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from emberlatch.net.http_connection import Connection, NoResponseError, connect
from emberlatch.standins import (
    Behaviour,
    CallOutcome,
    Directory,
    DirectoryServer,
    EndpointModel,
    Message,
    PartnerServer,
)

ROOT = Path(__file__).parents[1]
CLIENTS, MEAN_PAUSE_S = 40, 0.05  # clients, and the mean pause of each between two messages
PROBE_INTERVAL_S = 0.01  # time between two new connections of the prober
SAMPLE_INTERVAL_S = 0.02  # time between two samples of memory and descriptors
PARTNERS = 4
OPERATOR_CALLS = 300  # requests to the operators' address, each with load and without
SETTINGS: dict[str, Any] = {
    "allowed": {
        "max-attempts": 6,
        "open-cap": 400,
        "connect-timeout": 1.0,
        "conn-idle": 15.0,
        "retry-after": True,
        "max-retry-after": 1.0,
    },
    "balancers": 1,
    "categories": [
        {"name": "note", "idempotency": "read_like", "target": 3.0, "deadline": 12.0},
        {"name": "order", "idempotency": "non_idempotent", "target": 3.0, "deadline": 12.0},
    ],
    "discovery": "ask",
    "extra": {"workers": 60, "separate-routes": [True]},
    "failure-domains": ["east"],
    "machine-types": ["bank"],
    "rules": {"ask-every": 10.0, "drain-grace": 0.5, "tip-after": 3.0, "cold": 5.0, "cold-from": 0.3},
}


@dataclass
class Figures:
    """The measurements for one way to replace the process."""

    replaced: int = 0
    gaps_s: list[float] = field(default_factory=list)  # longest wait of a new connection, per replacement
    ready_s: list[float] = field(default_factory=list)
    failed_requests: int = 0
    memory: float = 0.0  # maximum of all processes together, in MiB
    descriptors: int = 0


class UnsafeMessageObserver:
    """Counts how often the partners receive each unsafe message; the count should never exceed 1."""

    def __init__(self) -> None:
        self.received: Counter[str] = Counter()

    def on_call(self, number: int, process: str, messages: list[Message]) -> None:
        """Count unsafe messages."""
        self.received.update(message.id for message in messages if message.id.startswith("order"))

    def on_answer(self, number: int, outcome: CallOutcome) -> None:
        """Do nothing: only calls are counted."""

    def on_disconnect(self, number: int) -> None:
        """Do nothing: only calls are counted."""


class Bench:
    """The platform's role: starts and replaces forwarder processes, and generates the load."""

    def __init__(self, folder: Path, discovery: str, members: list[dict[str, Any]]) -> None:
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.listener.getsockname()[1])
        self.processes: list[asyncio.subprocess.Process] = []
        self.operators_port = 0
        self.figures = Figures()
        self.statuses: Counter[int] = Counter()
        self.longest_probe_s = 0.0
        (folder / "state").mkdir()
        document = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "1",
            "limits": {"memory_mb": 64, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(document))

    async def start(self) -> None:
        """Start a process and wait until it reports that it is ready."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.operators_port = int(free.getsockname()[1])
        environment = os.environ | {
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "EDGE_STATE": str(self.folder / "state"),
            "EDGE_OPS": f"127.0.0.1:{self.operators_port}",
            "EDGE_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.folder),
        }
        started_at = asyncio.get_running_loop().time()
        with (self.folder / "log").open("ab") as log:
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "emberlatch"),
                    cwd=ROOT,
                    env=environment,
                    stderr=log,
                    pass_fds=[self.listener.fileno()],
                )
            )
        while await self.ask("/ops/readiness") != 200:
            await asyncio.sleep(0.005)
        self.figures.ready_s.append(asyncio.get_running_loop().time() - started_at)

    async def ask(self, path: str) -> int:
        """Send a request to the operators' address; return the status, or 0 if there was no response."""
        try:
            connection = await connect(("127.0.0.1", self.operators_port), 5.0)
            answer = await connection.exchange(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        except (OSError, NoResponseError):
            return 0
        connection.close()
        return answer.status

    async def replace(self, takeover: bool) -> None:
        """Replace the running process, by takeover or by restart, and record the longest probe."""
        (old,) = self.processes
        self.longest_probe_s = 0.0
        if not takeover:
            old.terminate()
            await old.wait()
        await self.start()
        if takeover:
            old.terminate()
            await old.wait()
        self.processes.remove(old)
        await asyncio.sleep(0.3)  # wait for probes that are still in flight
        self.figures.replaced += 1
        self.figures.gaps_s.append(self.longest_probe_s)

    async def probe(self) -> None:
        """Open a new connection at each interval, and measure the time until its answer."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._probe())
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            connection = await connect(("127.0.0.1", self.port), 5.0)
            answer = await connection.exchange(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            if answer.status == 200:
                self.longest_probe_s = max(self.longest_probe_s, loop.time() - started_at)
            connection.close()
        except (OSError, NoResponseError):
            self.figures.failed_requests += 1

    async def sample(self) -> None:
        """Record the maximum of the memory and of the descriptors of all processes together."""
        while True:
            memory, descriptors = 0.0, 0
            for process in self.processes:
                try:
                    status = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
                    descriptors += len(os.listdir(f"/proc/{process.pid}/fd"))
                except OSError:
                    continue
                memory += next(int(x.split()[1]) for x in status.splitlines() if x.startswith("Pss:")) / 1024
            self.figures.memory = max(self.figures.memory, memory)
            self.figures.descriptors = max(self.figures.descriptors, descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def client(self, number: int) -> None:
        """Submit messages in a closed loop, on one connection until it closes."""
        kept_connection: Connection | None = None
        for message in range(1_000_000):
            kind = "order" if message % 2 else "note"
            name = f"{kind}-{number}-{message}"
            head = (
                f"POST /api HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Priority-Class: {kind}\r\n"
                f"X-Timeout-Ms: 12000\r\nEnvelope: dest={number % PARTNERS}\r\nContent-Length: 200\r\n\r\n"
            )
            try:
                if kept_connection is None or not kept_connection.usable:
                    kept_connection = await connect(("127.0.0.1", self.port), 5.0)
                answer = await kept_connection.exchange(head.encode() + bytes(200))
                self.statuses[answer.status] += 1
            except (OSError, NoResponseError):
                self.figures.failed_requests += 1
                kept_connection = None
            await asyncio.sleep(MEAN_PAUSE_S * (0.5 + (number * 7 + message) % 10 / 10))


def table_row(name: str, figures: Figures) -> str:
    """Return the table row of one way to replace the process."""
    gaps_s = sorted(figures.gaps_s)
    return (
        f"{name:9} {figures.replaced:4} {1000 * statistics.median(gaps_s):9.0f} {1000 * gaps_s[-1]:9.0f}"
        f" {1000 * statistics.median(figures.ready_s):9.0f} {figures.failed_requests:8} {figures.memory:8.1f}"
        f" {figures.descriptors:7}"
    )


async def operator_latencies(bench: Bench) -> list[float]:
    """Return the latencies of requests to the operators' address, in milliseconds, sorted."""
    loop, times = asyncio.get_running_loop(), []
    for _ in range(OPERATOR_CALLS):
        started_at = loop.time()
        assert await bench.ask("/ops/stats") == 200
        times.append(1000 * (loop.time() - started_at))
    return sorted(times)


async def run(times: int) -> None:
    """Run the benchmark that the module describes, and print its results."""
    observer, directory = UnsafeMessageObserver(), Directory()
    partners = [
        PartnerServer(EndpointModel(Behaviour(service_time_s=0.05, workers=40, queue_capacity=200)), observer)
        for _ in range(PARTNERS)
    ]
    for number, partner in enumerate(partners):
        await partner.start()
        directory.change(
            f"s-{number}",
            host_port=partner.address,
            locality="east",
            flavor="bank",
            cell=number,
            phase="SERVING",
            size=1.0,
            up_since_ms=0,
        )
    service = DirectoryServer(directory)
    await service.start()
    with tempfile.TemporaryDirectory() as name:
        bench = Bench(Path(name), service.address, list(directory.members.values()))
        await bench.start()
        idle_latencies = await operator_latencies(bench)
        load = [asyncio.ensure_future(bench.client(number)) for number in range(CLIENTS)]
        load += [asyncio.ensure_future(bench.probe()), asyncio.ensure_future(bench.sample())]
        await asyncio.sleep(1.0)
        busy_latencies = await operator_latencies(bench)
        results: dict[str, Figures] = {"takeover": Figures(), "restart": Figures()}
        for _ in range(times):
            for mode, figures in results.items():
                bench.figures = figures
                await bench.replace(mode == "takeover")
        for task in load:
            task.cancel()
        for process in bench.processes:
            process.kill()
            await process.wait()
        print("mode     times  gap p50   gap max  ready p50  failed   MiB all  descr.")
        print("                     ms        ms         ms")
        for mode, figures in results.items():
            print(table_row(mode, figures))
        by_takeover, by_restart = results["takeover"], results["restart"]
        ratio = statistics.median(by_takeover.gaps_s) / statistics.median(by_restart.gaps_s)
        print(f"ratio of the median gaps, takeover to restart: {ratio:.3f}")
        print(f"answers to clients: {dict(bench.statuses)}")
        duplicates = sum(number > 1 for number in observer.received.values())
        print(f"unsafe messages that a partner received twice: {duplicates} of {len(observer.received)}")
        for load_name, latencies in (("without load", idle_latencies), ("with load", busy_latencies)):
            p50, p99 = latencies[len(latencies) // 2], latencies[len(latencies) * 99 // 100]
            print(
                f"operators' address {load_name}: p50 {p50:.1f}, p99 {p99:.1f}, worst {latencies[-1]:.1f} ms"
            )


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]) if len(sys.argv) > 1 else 50))
