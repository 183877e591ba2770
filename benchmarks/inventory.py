"""Measures the time and memory to load and compare inventories, and the event loop stalls of a change.

    python -m benchmarks.inventory            # all measurements, a few minutes
    python -m benchmarks.inventory load 10000 csv
    python -m benchmarks.inventory change 50000

Each measurement runs in a process of its own, so that its memory is measured separately. Ratios are relative
to the smallest size of the same run. The stalls of the loop during a change are printed with those of the
same loop while idle.
"""

from __future__ import annotations

import asyncio
import json
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from emberlatch.config import parse as parse_config
from emberlatch.config import settings
from emberlatch.engine import Engine, EnginePorts, Tasks
from emberlatch.inventory import InventoryMembership, Vocabulary, diff, load
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.standalone.outcome_log import OutcomeLog
from emberlatch.store import Folder, Journal

VOCABULARY = Vocabulary(("east-wing", "west-wing"), ("wallet-operator", "rural-bank"))
SIZES = (1_000, 10_000, 100_000)
FILES = 40
TICK_S = 0.001  # duration of the short sleeps by which stalls of the loop are detected


def rows(count: int) -> list[dict[str, str]]:
    """Return the rows of a valid inventory with two endpoints per partner, one in each wing."""
    return [
        {
            "id": f"ep-{n}",
            "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:5000",
            "partner": f"bank-{n // 2}x",
            "kind": VOCABULARY.kinds[n // 2 % 2],
            "wing": VOCABULARY.wings[n % 2],
            "limit": str(n // 2 % 7 + 1),
        }
        for n in range(count)
    ]


def write(folder: Path, count: int, file_format: str) -> None:
    """Write the rows, distributed over several files of one format."""
    all_rows = rows(count)
    for part in range(FILES):
        file_rows = all_rows[part::FILES]
        if file_format == "csv":
            lines = [",".join(file_rows[0]), *(",".join(row.values()) for row in file_rows)]
        else:
            lines = ["all:", "  hosts:"]
            for row in file_rows:
                fields = ", ".join(f'{k}: "{v}"' if k != "limit" else f"{k}: {v}" for k, v in row.items())
                lines.append(f"    {row['id']}: {{{fields.partition(', ')[2]}}}")
        (folder / f"f{part:02d}.{file_format}").write_text("\n".join(lines) + "\n")


def timed(work: Callable[[], Any]) -> tuple[float, Any]:
    """Call a function; return the seconds that it took, and its result."""
    started_at = time.perf_counter()
    result = work()
    return time.perf_counter() - started_at, result


def measure_load(count: int, file_format: str) -> dict[str, float]:
    """Return the seconds to load an inventory, those to compare it with one that differs in one row, and the
    memory that the load added to the process, in MiB."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write(folder, count, file_format)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        took, old = timed(lambda: load([folder], VOCABULARY))
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        file = folder / f"f00.{file_format}"
        file.write_text(file.read_text().replace("limit: 1}", "limit: 9}", 1).replace(",1\n", ",9\n", 1))
        new = load([folder], VOCABULARY)
        compared, changes = timed(lambda: diff(old, new))
        assert len(changes) == 1, changes
    return {"load_s": took, "diff_s": compared, "memory_mb": memory / 1024}


async def stalls(until: asyncio.Event) -> list[float]:
    """Sleep repeatedly for `TICK_S`; return by how many seconds each sleep took longer."""
    loop = asyncio.get_running_loop()
    stalls_s = []
    while not until.is_set():
        started_at = loop.time()
        await asyncio.sleep(TICK_S)
        stalls_s.append(loop.time() - started_at - TICK_S)
    return stalls_s


async def _change(count: int, folder: Path) -> dict[str, float]:
    tasks, config = Tasks(), parse_config(b'[inventory]\npaths = ["x"]\n', "x")
    decision_settings = settings(config)
    (folder / "journal").mkdir()
    engine = Engine(decision_settings, 1, Journal(Folder(folder / "journal"), 10_000_000), tasks)
    files = folder / "inventory"
    files.mkdir()
    write(files, count, "csv")
    started_at = time.perf_counter()
    membership = InventoryMembership(
        [files], folder, VOCABULARY, 0.1, 0.2, engine.on_membership_update, tasks
    )
    targets = HttpCarrier(decision_settings, 100, engine.on_attempt_outcome, tasks)
    outcomes = OutcomeLog(folder, 1 << 20, 100, engine.on_notices_confirmed)
    engine.connect(EnginePorts([], targets, membership, outcomes))
    await engine.start()
    start_s = time.perf_counter() - started_at
    await asyncio.sleep(1.0)

    finished = asyncio.Event()
    idle_stalls = asyncio.create_task(stalls(finished))
    await asyncio.sleep(3.0)
    finished.set()
    baseline = max(await idle_stalls)

    file, digest = files / "f00.csv", membership.inventory.digest
    file.write_text(file.read_text().replace(",1\n", ",9\n", 1))
    finished = asyncio.Event()
    busy_stalls = asyncio.create_task(stalls(finished))
    started_at = time.perf_counter()
    while membership.inventory.digest == digest:
        await asyncio.sleep(0.05)
    taken_s = time.perf_counter() - started_at
    await asyncio.sleep(1.0)  # wait for the last good inventory to be saved
    finished.set()
    stalls_s = sorted(await busy_stalls)
    tasks.cancel()
    return {
        "start_s": start_s,
        "taken_s": taken_s,
        "stall_quiet_ms": baseline * 1000,
        "stall_ms": stalls_s[-1] * 1000,
        "stall_p99_ms": stalls_s[int(len(stalls_s) * 0.99)] * 1000,
    }


def measure_change(count: int) -> dict[str, float]:
    """Measure the stalls of the loop while one row of an inventory changes."""
    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(_change(count, Path(name)))


def measure_in_process(*arguments: str) -> dict[str, float]:
    """Run a measurement in a process of its own, and return its figures."""
    command = [sys.executable, "-m", "benchmarks.inventory", *arguments]
    finished = subprocess.run(command, check=True, capture_output=True, text=True)
    result: dict[str, float] = json.loads(finished.stdout)
    return result


def main(arguments: list[str]) -> None:
    """Run one measurement, or all of them as a table."""
    match arguments:
        case ["load", size, file_format]:
            print(json.dumps(measure_load(int(size), file_format)))
        case ["change", size]:
            print(json.dumps(measure_change(int(size))))
        case _:
            print(
                "| format | rows | load s | us per row | ratio to smallest | diff ms | MiB | bytes per row |"
            )
            print("| --- | --- | --- | --- | --- | --- | --- | --- |")
            for file_format in ("csv", "yaml"):
                smallest_us_per_row = 0.0
                for count in SIZES:
                    figures = measure_in_process("load", str(count), file_format)
                    us_per_row = figures["load_s"] / count * 1e6
                    smallest_us_per_row = smallest_us_per_row or us_per_row
                    print(
                        f"| {file_format} | {count} | {figures['load_s']:.2f} | {us_per_row:.0f} "
                        f"| {us_per_row / smallest_us_per_row:.2f} "
                        f"| {figures['diff_s'] * 1000:.1f} | {figures['memory_mb']:.0f} "
                        f"| {figures['memory_mb'] * 2**20 / count:.0f} |"
                    )
            for count in (5_000, 50_000):
                for _ in range(3):
                    figures = measure_in_process("change", str(count))
                    print(
                        f"one row of {count} changes: "
                        + ", ".join(f"{k} {v:.1f}" for k, v in figures.items())
                    )


if __name__ == "__main__":
    main(sys.argv[1:])
