"""Measures the cost of durable message classes: one gateway with closed-loop clients.

    python -m benchmarks.durable [--seconds 5] [--clients 1,16,128] [--folder .]

Mode `process` writes and never syncs, so that messages survive only a crash of the process. `machine` waits
for a sync that is shared by all waiting messages, so that they survive a crash of the machine. `each` syncs
separately for each waiting record. The partner answers at once: the time is that of the gateway and its disk.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import math
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from emberlatch.core import interface as api
from emberlatch.engine import (
    NO_DURABLE_CLASSES,
    REAL_MACHINE,
    Addresses,
    CallItem,
    CompletionNotice,
    DurableClasses,
    Engine,
    EnginePorts,
    Submission,
    Tasks,
)
from emberlatch.store import Folder, GroupSync, Journal

ORDER = api.Category("order", api.Effect.UNSAFE, 4.0, 24.0)
SETTINGS = api.Settings(
    (ORDER,), 2000, 5000, max_attempts=4, cancel=True, retry_after=True, max_retry_after=1.0
)
# Many targets, because a new destination starts with a single lease.
TARGETS = tuple(f"t{n}".encode() for n in range(200))


class _EnginePortStubs:
    """Stubs for the ports of the engine: a partner that answers at once, and a notifier of completions."""

    notifies_deliveries, pending, in_flight = True, False, 0

    def __init__(self) -> None:
        self.engine: Engine
        self.entries = {t: api.Entry(t, n + 1) for n, t in enumerate(TARGETS)}
        self.completions: dict[str, asyncio.Future[None]] = {}

    def start(self) -> None:
        listed = api.DirectoryUpdate(api.ListKind.CACHED, 1, tuple(self.entries.values()))
        self.engine.on_membership_update(listed, dict.fromkeys(TARGETS, ("h", 1)))

    def update(self, entries: Sequence[api.Entry], addresses: Addresses, is_complete: bool) -> None:
        """Ignore the update: the entries are fixed."""

    def entry(self, target: api.Target) -> api.Entry | None:
        return self.entries.get(target)

    def call(self, target: api.Target, items: list[CallItem]) -> None:
        for item in items:
            done = api.Outcome(item.ref, item.attempt, target, api.Result.OK, 0.001, is_final=True)
            asyncio.get_running_loop().call_soon(self.engine.on_attempt_outcome, done)

    def add(self, ref: int, notice: CompletionNotice) -> None:
        self.completions[notice["ref"]].set_result(None)
        asyncio.get_running_loop().call_soon(self.engine.on_notices_confirmed, [ref])

    def set_watching(self, active: bool) -> None: ...
    def request_list(self) -> None: ...
    def cancel(self, ref: int, attempt: int) -> None: ...
    def close_idle(self, target: api.Target) -> None: ...


class _Responder:
    """Stores whether one message was accepted."""

    client_disconnected = False

    def __init__(self) -> None:
        self.accepted_future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def respond_accepted(self) -> None:
        self.accepted_future.set_result(True)

    def respond_rejected(self, retry_after: float) -> None:
        self.accepted_future.set_result(False)

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        self.accepted_future.set_result(False)

    def respond_failed(self) -> None:
        self.accepted_future.set_result(False)


def _ignore(_error: OSError) -> None:
    pass


class EachSync(GroupSync):
    """Syncs once for each waiting callback, one after the other."""

    async def _run(self) -> None:
        while self._waiting:
            when_durable = self._waiting.pop(0)
            await self._offload(self._source.prepare_sync())
            self._source.on_synced()
            self.syncs, self.callbacks_run = self.syncs + 1, self.callbacks_run + 1
            when_durable()
        self._task = None


async def measure(mode: str, clients: int, seconds: float, folder: Path) -> str:
    """Run clients against one engine in a mode, and return the figures as a table row."""
    stubs = _EnginePortStubs()
    classes = NO_DURABLE_CLASSES if mode == "process" else DurableClasses(frozenset({"order"}))
    store = Journal(Folder(folder), 64 << 20, durable=classes.any)
    engine = stubs.engine = Engine(SETTINGS, 1, store, Tasks(), REAL_MACHINE, classes)
    if mode == "each":
        engine.durability.sync = EachSync(store, REAL_MACHINE.offload, _ignore)
    engine.connect(EnginePorts([], stubs, stubs, stubs))
    await engine.start()
    loop = asyncio.get_running_loop()
    started_at, cpu_started_s, latencies_s, number = loop.time(), time.process_time(), list[float](), 0

    async def client(client_number: int) -> None:
        nonlocal number
        while loop.time() < started_at + seconds:
            number += 1
            name, responder = f"m{number}", _Responder()
            stubs.completions[name] = loop.create_future()
            submitted_at = loop.time()
            message = Submission(name, "", "order", "", 1 + client_number % len(TARGETS), 24.0, b"x" * 500)
            engine.submit(message, responder)
            if await responder.accepted_future:
                await stubs.completions[name]
                latencies_s.append(loop.time() - submitted_at)
            del stubs.completions[name]

    await asyncio.gather(*(client(client_number) for client_number in range(clients)))
    took_s, cpu_used_s = loop.time() - started_at, time.process_time() - cpu_started_s
    latencies_s.sort()
    sync = engine.durability.sync
    batch = sync.callbacks_run / sync.syncs if sync.syncs else math.nan
    median, p99 = (latencies_s[int(len(latencies_s) * part)] * 1e3 for part in (0.5, 0.99))
    options = (
        f"{len(latencies_s) / took_s:9.0f} {median:8.2f} {p99:8.2f} {sync.syncs / took_s:8.0f} {batch:7.1f}"
    )
    return f"{options} {sync.largest_batch:8} {cpu_used_s / max(1, len(latencies_s)) * 1e6:9.0f}"


def median_sync_ms(folder: Path) -> float:
    """Return the median time of a sync of a small write in this folder, in milliseconds."""
    files = Folder(folder)
    handle, latencies_s = files.append_to("probe"), list[float]()
    for _ in range(50):
        files.write(handle, memoryview(b"x" * 600))
        submitted_at = time.perf_counter()
        files.sync(handle)
        latencies_s.append(time.perf_counter() - submitted_at)
    return sorted(latencies_s)[25] * 1e3


def main(print_row: Callable[[str], None] = print) -> None:
    """Print the table."""
    logging.disable(logging.CRITICAL)
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--clients", default="1,16,128")
    parser.add_argument("--folder", type=Path, default=Path("."))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        print_row(f"one sync of 600 bytes: {median_sync_ms(Path(name)):.2f} ms (median of 50)")
    print_row("mode     clients messages/s   p50 ms   p99 ms  syncs/s   batch  largest  CPU us/m")
    for clients in map(int, options.clients.split(",")):
        for mode in ("process", "machine", "each"):
            with tempfile.TemporaryDirectory(dir=options.folder) as name:
                row = asyncio.run(measure(mode, clients, options.seconds, Path(name)))
            print_row(f"{mode:8} {clients:7} {row}")


if __name__ == "__main__":
    main()
