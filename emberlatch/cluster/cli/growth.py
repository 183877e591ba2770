"""The commands `growth` and `mending`: cost of the control plane and of repair in simulated clusters."""

from __future__ import annotations

import json
import logging
import sys
from dataclasses import dataclass

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.simulation import repair_cost
from emberlatch.simulation.growth import GrowthCost, measure
from emberlatch.simulation.repair_cost import RepairCost

GROWTH_HEADER = (
    "forwarders stores  start MB  frames/s  of one  over kB/s  known s  cpu s/s"
    " | a forwarder: kB/s  cpu % | busiest store: kB/s  mean cpu % | peak MB"
)
REPAIR_HEADER = "records lacking  frames     bytes     least  again B  cpu s  longest s  peak MB"


class SizeError(ValueError):
    """A size on the command line is malformed."""


@dataclass(frozen=True, slots=True)
class SizeFormat:
    """Format of a size argument: two numbers separated by a slash, the second at least `min_second`."""

    name: str
    min_second: int
    defaults: tuple[str, ...]

    def parse(self, sizes: list[str]) -> list[tuple[int, int]]:
        """Parse sizes, or the defaults if there are none. Raises SizeError."""
        return [self._parse_one(size) for size in sizes or self.defaults]

    def _parse_one(self, size: str) -> tuple[int, int]:
        first, _, second = size.partition("/")
        if not (first.isdigit() and second.isdigit() and int(second) >= self.min_second):
            raise SizeError(f"{size}: {self.name} expected, the second number at least {self.min_second}")
        return int(first), int(second)


CLUSTER_SIZES = SizeFormat("FORWARDERS/STORES", 2, ("8/3", "24/9", "64/18"))
REPAIR_SIZES = SizeFormat("RECORDS/LACKING", 0, ("10000/200", "10000/3000", "10000/10000"))


def growth_line(cost: GrowthCost) -> str:
    """Format a table row for GROWTH_HEADER."""
    forwarder, store = cost.forwarder, cost.busiest_store
    return (
        f"{cost.forwarders:10d} {cost.stores:6d} {cost.start_cross_zone_bytes / 1e6:9.2f} "
        f"{cost.frames_per_s:9.0f} {cost.busiest_frames_per_s:7.0f} "
        f"{cost.cross_zone_bytes_per_s / 1e3:10.1f} {cost.configuration_s:8.2f} "
        f"{cost.processor_share:8.3f}"
        f" | {forwarder.bytes_per_s / 1e3:17.2f} {forwarder.processor_share * 100:6.2f}"
        f" | {store.bytes_per_s / 1e3:19.1f} {cost.mean_store_processor_share * 100:11.1f}"
        f" | {cost.peak_memory_mib:7.0f}"
    )


def repair_line(records: int, lacking: int, cost: RepairCost) -> str:
    """Format a table row for REPAIR_HEADER."""
    return (
        f"{records:7d} {lacking:7d} {cost.frames:7d} {cost.bytes:9d} {cost.minimum_bytes:9d} "
        f"{cost.repeat_bytes:8d} {cost.processor_s:6.2f} {cost.longest_block_s:10.2f} "
        f"{cost.peak_memory_mib:8.0f}"
    )


def measure_growth(sizes: list[str], zones: int, targets: int, as_json: bool) -> ExitCode:
    """Measure and print clusters of these sizes. Return UNUSABLE if a size is malformed."""
    logging.basicConfig(level=logging.CRITICAL)
    try:
        parsed = CLUSTER_SIZES.parse(sizes)
    except SizeError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    if not as_json:
        print(GROWTH_HEADER)
    for forwarders, stores in parsed:
        cost = measure(forwarders, stores, zones, targets, sampled=True)
        print(json.dumps(cost.to_json()) if as_json else growth_line(cost), flush=True)
    return ExitCode.OK


def measure_repair(sizes: list[str], as_json: bool) -> ExitCode:
    """Measure the repair of a store that lacks records. Return UNUSABLE if a size is malformed."""
    logging.basicConfig(level=logging.CRITICAL)
    try:
        parsed = REPAIR_SIZES.parse(sizes)
    except SizeError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    if not as_json:
        print(REPAIR_HEADER)
    for records, lacking in parsed:
        cost = repair_cost.measure(records, min(records, lacking))
        print(json.dumps(cost.to_json()) if as_json else repair_line(records, lacking, cost), flush=True)
    return ExitCode.OK
