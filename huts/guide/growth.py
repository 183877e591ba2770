"""What the control plane costs as a cluster grows, from simulated clusters."""

from __future__ import annotations

import json
import logging
import sys

from huts.weather.growth import Growth, measure

HEAD = "forwarders stores  start MB  frames/s  of one  over kB/s  known s  cpu s/s"


def line(growth: Growth) -> str:
    """One size, as the table has it."""
    return (
        f"{growth.forwarders:10d} {growth.stores:6d} {growth.start_over / 1e6:9.2f} {growth.frames:9.0f} "
        f"{growth.most_frames:7.0f} {growth.over / 1e3:10.1f} {growth.known_s:8.2f} {growth.cpu_s:8.3f}"
    )


def run(sizes: list[str], zones: int, targets: int, as_json: bool) -> int:
    """Measure each size (`FORWARDERS/STORES`); 2 if one can't be read."""
    logging.basicConfig(level=logging.CRITICAL)
    pairs = list[tuple[int, int]]()
    for size in sizes or ["8/3", "24/9", "64/18"]:
        forwarders, _, stores = size.partition("/")
        if not (forwarders.isdigit() and stores.isdigit() and int(stores) >= 2):
            print(f"{size}: FORWARDERS/STORES is wanted, two stores at least", file=sys.stderr)
            return 2
        pairs.append((int(forwarders), int(stores)))
    if not as_json:
        print(HEAD)
    for many, count in pairs:
        found = measure(many, count, zones, targets)
        print(json.dumps(vars(found)) if as_json else line(found), flush=True)
    return 0
