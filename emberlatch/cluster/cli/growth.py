"""What the control plane costs as a cluster grows, from simulated clusters."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

from emberlatch.simulation import mending
from emberlatch.simulation.growth import Growth, measure

HEAD = (
    "forwarders stores  start MB  frames/s  of one  over kB/s  known s  cpu s/s"
    " | a forwarder: kB/s  cpu % | busiest store: kB/s  mean cpu % | peak MB"
)


def line(growth: Growth) -> str:
    """One size, as the table has it."""
    return (
        f"{growth.forwarders:10d} {growth.stores:6d} {growth.start_over / 1e6:9.2f} {growth.frames:9.0f} "
        f"{growth.most_frames:7.0f} {growth.over / 1e3:10.1f} {growth.known_s:8.2f} {growth.cpu_s:8.3f}"
        f" | {growth.forwarder.bytes / 1e3:17.2f} {growth.forwarder.processor * 100:6.2f}"
        f" | {growth.store.bytes / 1e3:19.1f} {growth.stores_processor * 100:11.1f} | {growth.peak_mb:7.0f}"
    )


def as_json_object(growth: Growth) -> dict[str, Any]:
    """All of it, the costs of members as objects of their own."""
    return vars(growth) | {"forwarder": vars(growth.forwarder), "store": vars(growth.store)}


def _pairs(given: list[str], usual: list[str], words: str, least: int) -> list[tuple[int, int]] | None:
    """`A/B` items as numbers; None, and a line to standard error, if one can't be read."""
    pairs = list[tuple[int, int]]()
    for item in given or usual:
        first, _, second = item.partition("/")
        if not (first.isdigit() and second.isdigit() and int(second) >= least):
            print(f"{item}: {words} is wanted, the second {least} at least", file=sys.stderr)
            return None
        pairs.append((int(first), int(second)))
    return pairs


def run(sizes: list[str], zones: int, targets: int, as_json: bool) -> int:
    """Measure each size (`FORWARDERS/STORES`); 2 if one can't be read."""
    logging.basicConfig(level=logging.CRITICAL)
    pairs = _pairs(sizes, ["8/3", "24/9", "64/18"], "FORWARDERS/STORES", 2)
    if pairs is None:
        return 2
    if not as_json:
        print(HEAD)
    for many, count in pairs:
        found = measure(many, count, zones, targets, sampled=True)
        print(json.dumps(as_json_object(found)) if as_json else line(found), flush=True)
    return 0


def mend(sizes: list[str], as_json: bool) -> int:
    """Measure what it costs to make two stores alike (`RECORDS/LACKING`); 2 if one can't be read."""
    logging.basicConfig(level=logging.CRITICAL)
    pairs = _pairs(sizes, ["10000/200", "10000/3000", "10000/10000"], "RECORDS/LACKING", 0)
    if pairs is None:
        return 2
    if not as_json:
        print("records lacking  frames     bytes     least  again B  cpu s  longest s  peak MB")
    for records, lacking in pairs:
        told = mending.measure(records, min(records, lacking))
        print(
            json.dumps(vars(told))
            if as_json
            else f"{records:7d} {lacking:7d} {told.frames:7d} {told.bytes:9d} {told.least:9d} "
            f"{told.again_bytes:8d} {told.cpu_s:6.2f} {told.longest_s:10.2f} {told.peak_mb:8.0f}",
            flush=True,
        )
    return 0
