"""Checks of a forwarder's disk and memory at the end of a run."""

from __future__ import annotations

from collections.abc import Iterator, Sized

from emberlatch.faults.checks import Rule
from emberlatch.faults.disk import Disk
from emberlatch.faults.forwarder import SimulatedForwarder
from emberlatch.faults.settings import DISK_BYTES, SLOTS
from emberlatch.platform import PlatformForwarder


def check_forwarder(forwarder: SimulatedForwarder) -> Iterator[tuple[Rule, str]]:
    """The rules that a forwarder's disk or memory breaks, each with a text that says how."""
    yield from _check_disk(forwarder.name, forwarder.disk)
    if forwarder.platform is not None and (remaining := _remaining(forwarder.platform)):
        yield Rule.MEMORY, f"{forwarder.name} still has entries at the end, expected none: {remaining}"


def _check_disk(name: str, disk: Disk) -> Iterator[tuple[Rule, str]]:
    if disk.peak_bytes > DISK_BYTES:
        yield Rule.DISK, f"{name} used {disk.peak_bytes} bytes of disk, limit {DISK_BYTES}"


def _remaining(platform: PlatformForwarder) -> dict[str, int]:
    """The numbers of entries that remain in tables of the engine and the decision module."""
    engine, module = platform.engine, platform.engine._forwarder
    tables: dict[str, Sized] = {
        "pending messages": engine.messages.open_messages,
        "unconfirmed notices": engine.messages.completed,
        "arriving messages": engine._submissions._pending,
        "ids": engine.messages._open_ids,
        "open messages": module.open_messages,
        "calls": module.calls,
        "leaving targets": platform.carrier._deregistered,
    }
    remaining = {table: len(rows) for table, rows in tables.items() if rows}
    leases = sum(pool.leases for pool in module.pools.values())
    if leases or module.free_slots != SLOTS:
        remaining["leases"] = leases or SLOTS - module.free_slots
    return remaining
