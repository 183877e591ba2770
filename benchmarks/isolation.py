"""Repeats the experiment of the paper behind the design on the real program: failure of one of two tasks.

    python -m benchmarks.isolation [seconds per phase] [file for the plot]

A hundred clients each send one request after the other, to task A or B at random. A call of a task takes 10
ms. In the failure phase, nine of ten calls to A hang for 10 s; in the recovery phase, A works again. Three
variants run in sequence in one process, with the same partners on loopback sockets:

- `nothing`: clients call the partners directly.
- `semaphore`: a semaphore of 60 for each task. A caller waits at most 7 ms for it, the time in which 60 slots
  of 10 ms clear a burst of 40 callers above the limit (40 * 10 ms / 60).
- `emberlatch`: the forwarder (engine, HTTP front end, HTTP carrier) with 60 slots, a latency target of 50 ms
  and a deadline of 1 s for each message.

The CPU share is that of the process, which includes clients and partners.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from emberlatch.core import interface as api
from emberlatch.engine import REAL_MACHINE, CompletionNotice, Engine, EnginePorts, Tasks
from emberlatch.faults.disk import Disk
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.net.http_connection import Connection, NoResponseError, connect, parse_address
from emberlatch.net.message_api import MessageApi
from emberlatch.net.server import Server
from emberlatch.standins import Behaviour, CallOutcome, EndpointModel, Message, PartnerServer
from emberlatch.store import Journal

CLIENTS, SLOTS, SEMAPHORE_TIMEOUT_S = 100, 60, 0.007
HANG_S, HANG_SHARE = 10.0, 0.9
DEADLINE_S = 1.0  # deadline of a message, a hundred times the normal duration of a call
PHASES = ("normal", "failure", "recovery")
NAMES = ("A", "B")

CallTask = Callable[[int, str], Awaitable[bool]]


class Task(EndpointModel):
    """A partner whose calls take 10 ms; while `fails` is set, most calls take 10 s."""

    def __init__(self) -> None:
        super().__init__(Behaviour(service_time_s=0.01, service_time_variation=0.0, workers=10_000))
        self.fails = False
        self._hang_rng = random.Random(1)

    def call(self, now: float, messages: list[Message]) -> CallOutcome:  # type: ignore[override]
        """See `EndpointModel.call`."""
        hangs = self.fails and self._hang_rng.random() < HANG_SHARE
        return CallOutcome(now + (HANG_S if hangs else 0.01))


@dataclass
class Tally:
    """The requests of one task in one phase."""

    done: int = 0
    succeeded: int = 0
    latency_s: float = 0.0  # sum of all requests


@dataclass
class Result:
    """The measurements of one variant."""

    name: str
    tallies: dict[tuple[str, str], Tally] = field(default_factory=dict)
    cpu_share: dict[str, float] = field(default_factory=dict)
    rate: list[int] = field(default_factory=list)  # requests completed in each half second


class Calls:
    """Plain HTTP calls on persistent connections."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = [parse_address(address) for address in addresses]
        self._idle: list[list[Connection]] = [[] for _ in addresses]

    async def call(self, task: int, name: str) -> bool:
        """Make one call; return whether its response was 200."""
        try:
            idle = self._idle[task]
            connection = idle.pop() if idle else await connect(self._addresses[task], 5.0)
            head = f"POST /v1/messages HTTP/1.1\r\nX-Request-ID: {name}\r\nContent-Length: 1\r\n\r\nx"
            answer = await connection.exchange(head.encode())
        except (OSError, NoResponseError):
            return False
        self._idle[task].append(connection)
        return answer.status == 200


class CompletionObserver:
    """A completion port of the engine that notifies the waiting client."""

    notifies_deliveries = True
    pending = False

    def __init__(self, confirmed: Callable[[list[int]], None]) -> None:
        self._confirmed = confirmed
        self.waiting: dict[str, asyncio.Future[bool]] = {}

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """Complete the future for which the client waits."""
        future = self.waiting.pop(notice["ref"], None)
        if future is not None and not future.done():
            future.set_result(notice["result"] == "delivered")
        asyncio.get_running_loop().call_soon(self._confirmed, [ref])


class FixedMembership:
    """A membership of two endpoints that never changes."""

    def __init__(self, addresses: list[str], on_list: Callable[..., None]) -> None:
        self._addresses, self._on_list = addresses, on_list

    def start(self) -> None:
        """Report both endpoints to the engine."""
        entries = tuple(api.Entry(name.encode(), n) for n, name in enumerate(NAMES))
        addresses_by_target = {
            name.encode(): parse_address(a) for name, a in zip(NAMES, self._addresses, strict=True)
        }
        self._on_list(api.DirectoryUpdate(api.ListKind.CACHED, 1, entries), addresses_by_target)

    def set_watching(self, active: bool) -> None:
        """Do nothing: the membership never changes."""

    def request_list(self) -> None:
        """Do nothing: the membership never changes."""


class Forwarder:
    """The forwarder between clients and partners."""

    def __init__(self, addresses: list[str]) -> None:
        note = api.Category("note", api.Effect.SAFE, latency_target=0.05, deadline=DEADLINE_S)
        settings = api.Settings(
            categories=(note,),
            slots=SLOTS,
            open_cap=2 * CLIENTS,
            max_attempts=1,
            separate_routes=(True,),
            retry_after=True,
            max_retry_after=1.0,
            connection_idle=60.0,
        )
        tasks = Tasks()
        self._engine = Engine(settings, 1, Journal(Disk(), 20_000_000), tasks)
        self._completions = CompletionObserver(self._engine.on_notices_confirmed)
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        listener.setblocking(False)
        self._address = listener.getsockname()
        machine = replace(REAL_MACHINE, listen=lambda _: listener)
        self._server = Server(self._address, MessageApi(self._engine.submit), 1000, tasks, machine=machine)
        targets = HttpCarrier(settings, 1000, self._engine.on_attempt_outcome, tasks)
        membership = FixedMembership(addresses, self._engine.on_membership_update)
        self._engine.connect(EnginePorts([self._server], targets, membership, self._completions))
        self._idle: list[Connection] = []

    async def start(self) -> None:
        """Start the engine, which then accepts messages."""
        await self._engine.start()

    async def call(self, task: int, name: str) -> bool:
        """Submit one message; return whether it was delivered."""
        completion = self._completions.waiting[name] = asyncio.get_running_loop().create_future()
        head = (
            f"POST /api HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Priority-Class: note\r\n"
            f"X-Timeout-Ms: {DEADLINE_S * 1000:.0f}\r\nEnvelope: dest={task}\r\nContent-Length: 1\r\n\r\nx"
        )
        try:
            connection = self._idle.pop() if self._idle else await connect(self._address, 5.0)
            answer = await connection.exchange(head.encode())
        except (OSError, NoResponseError):
            return False
        if connection.usable:
            self._idle.append(connection)
        if answer.status != 202:
            self._completions.waiting.pop(name, None)
            return False
        return bool(await completion)


async def measure(name: str, call_task: CallTask, task: Task, seconds: float) -> Result:
    """Run all phases of one variant with `CLIENTS` clients."""
    result, phase, finished = Result(name), PHASES[0], False
    loop, number = asyncio.get_running_loop(), 0

    async def client(rng: random.Random) -> None:
        nonlocal number
        while not finished:
            task_index, started_at, phase_at_start = rng.randrange(2), loop.time(), phase
            number += 1
            succeeded = await call_task(task_index, f"{name}-{number}")
            tally = result.tallies.setdefault((phase_at_start, NAMES[task_index]), Tally())
            tally.done, tally.succeeded = tally.done + 1, tally.succeeded + succeeded
            tally.latency_s += loop.time() - started_at
            if not succeeded:  # pause after a rejection, so that the clients don't retry in a busy loop
                await asyncio.sleep(0.01)

    clients = [asyncio.create_task(client(random.Random(n))) for n in range(CLIENTS)]
    for phase_name in PHASES:
        phase, task.fails = phase_name, phase_name == "failure"
        cpu_started_s = time.process_time()
        for _ in range(round(2 * seconds)):
            before = sum(tally.done for tally in result.tallies.values())
            await asyncio.sleep(0.5)
            result.rate.append(sum(tally.done for tally in result.tallies.values()) - before)
        result.cpu_share[phase_name] = (time.process_time() - cpu_started_s) / seconds
    finished = True
    await asyncio.wait(clients, timeout=HANG_S + 3)
    for client_task in clients:
        client_task.cancel()
    return result


def limited(call_task: CallTask) -> CallTask:
    """Return a call function that limits the concurrent calls of each task by a semaphore."""
    semaphores = [asyncio.Semaphore(SLOTS) for _ in NAMES]

    async def call(task: int, name: str) -> bool:
        try:
            async with asyncio.timeout(SEMAPHORE_TIMEOUT_S):
                await semaphores[task].acquire()
        except TimeoutError:
            return False
        try:
            return await call_task(task, name)
        finally:
            semaphores[task].release()

    return call


async def run(seconds: float) -> list[Result]:
    """Measure all three variants in sequence."""
    results = []
    for name in ("nothing", "semaphore", "emberlatch"):
        tasks = [Task(), Task()]
        servers = [PartnerServer(task) for task in tasks]
        for server in servers:
            await server.start()
        addresses = [server.address for server in servers]
        calls = Calls(addresses)
        call_task: CallTask = calls.call
        if name == "semaphore":
            call_task = limited(calls.call)
        elif name == "emberlatch":
            forwarder = Forwarder(addresses)
            await forwarder.start()
            call_task = forwarder.call
        results.append(await measure(name, call_task, tasks[0], seconds))
        for server in servers:
            await server.stop()
    return results


def table(results: list[Result], seconds: float) -> str:
    """Return a table with a row for each variant and phase."""
    lines = ["| variant | phase | requests/s | CPU | A good | A ms | B/s | B good | B ms |"]
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for result in results:
        for phase in PHASES:
            a, b = (result.tallies.get((phase, name), Tally()) for name in NAMES)
            cells = [f"{(a.done + b.done) / seconds:.0f}", f"{result.cpu_share[phase]:.0%}"]
            for tally in (a, b):
                cells += [f"{tally.done / seconds:.0f}"] if tally is b else []
                succeeded = f"{tally.succeeded / tally.done:.1%}" if tally.done else "-"
                cells += [succeeded, f"{1000 * tally.latency_s / max(tally.done, 1):.0f}"]
            lines.append(f"| {result.name} | {phase} | {' | '.join(cells)} |")
    return "\n".join(lines)


def plot(results: list[Result]) -> str:
    """Return an SVG plot of the requests per second over time, on a logarithmic scale."""
    width, height, colours = 720, 300, ("#888", "#c90", "#2a7")
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="11">'
    ]
    parts.append(f'<rect width="{width}" height="{height}" fill="white"/>')
    points = len(results[0].rate)

    def point(n: int, rate: float) -> str:
        return f"{50 + n * (width - 70) / points:.1f},{height - 30 - math.log10(max(rate, 1)) * 60:.1f}"

    for power in range(5):
        y = height - 30 - power * 60
        parts.append(
            f'<text x="4" y="{y}">{10**power}/s</text>'
            f'<line x1="50" x2="{width}" y1="{y}" y2="{y}" stroke="#eee"/>'
        )
    for n, phase in enumerate(PHASES):
        parts.append(f'<text x="{60 + n * (width - 70) / 3:.0f}" y="{height - 8}">{phase}</text>')
    for n, (result, colour) in enumerate(zip(results, colours, strict=True)):
        line = " ".join(point(at, 2 * rate) for at, rate in enumerate(result.rate))
        parts.append(f'<polyline points="{line}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts.append(f'<text x="{width - 110}" y="{20 + 14 * n}" fill="{colour}">{result.name}</text>')
    return "\n".join([*parts, "</svg>\n"])


def main(arguments: list[str]) -> None:
    """Measure, print the table, write the plot."""
    seconds = float(arguments[0]) if arguments else 10.0
    results = asyncio.run(run(seconds))
    print(table(results, seconds))
    if len(arguments) > 1:
        Path(arguments[1]).write_text(plot(results))
    else:
        print(json.dumps({result.name: result.rate for result in results}))


if __name__ == "__main__":
    main(sys.argv[1:])
