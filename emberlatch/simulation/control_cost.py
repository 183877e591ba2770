"""Measures what a control change costs: `python -m emberlatch.simulation.control_cost VOTERS/STORES...`.

One or more operators send configurations, one after the other, to random control addresses. The traffic that
the idle cluster sends in the same time is subtracted. Times are those of the simulated links and disks.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import statistics
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field

from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.configuration import Route
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.plan import Plan
from emberlatch.simulation.scenario import Scenario, play
from emberlatch.simulation.traffic import method_traffic

FIRST_REVISION = 100
PAUSE_S = 0.5  # seconds between two rounds of changes
POLL_S = 0.002  # seconds between two checks whether a change is active on all nodes
CHANGE_TIMEOUT_S = 20.0  # seconds within which a change has to be active on all nodes
REPLACE_PATH = "/api/configuration/replace"


@dataclass(frozen=True, slots=True)
class Deployment:
    """The deployment and load to measure.

    The settings have no number of voters. It follows from the tolerated losses, so these are set to
    `(voters - 1) // 2`.
    """

    voters: int
    stores: int
    forwarders: int = 10
    zones: int = 3
    routes: int = 3
    operators: int = 1
    rounds: int = 100  # in each round, every operator sends one change

    @property
    def changes(self) -> int:
        """The number of changes that all operators send; each is confirmed."""
        return self.rounds * self.operators


@dataclass
class MethodCost:
    """The frames and bytes that processes send each other for one method, per change, with responses."""

    frames: float = 0.0
    bytes: float = 0.0
    bytes_over: float = 0.0  # the part of `bytes` that was sent from one zone to another


@dataclass
class ControlCost:
    """The cost of one change. Each file that is written takes two syncs: its own and its folder's."""

    deployment: Deployment
    text_bytes: int = 0
    confirm_median_s: float = 0.0
    confirm_p99_s: float = 0.0
    everywhere_median_s: float = 0.0
    everywhere_p99_s: float = 0.0
    asked_again: int = 0  # number of requests, for all changes, that were not confirmed and were repeated
    files: float = 0.0  # files written on all machines
    files_busiest: float = 0.0  # files written on the machine that writes most
    file_bytes_busiest: float = 0.0
    methods: dict[str, MethodCost] = field(default_factory=dict)


@dataclass
class _Totals:
    """Counters since the start: traffic by method, files by machine."""

    frames: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    bytes_over: Counter[str] = field(default_factory=Counter)
    files: Counter[str] = field(default_factory=Counter)
    file_bytes: Counter[str] = field(default_factory=Counter)


def measure(deployment: Deployment, seed: int = 1) -> ControlCost:
    """Measure the cost of a change in a simulated cluster."""
    cost = ControlCost(deployment)
    plan = Plan(
        seed, zones=deployment.zones, forwarders=deployment.forwarders, stores=deployment.stores,
        tolerated_losses=(deployment.voters - 1) // 2, targets=2,
    )  # fmt: skip

    async def steps(scenario: Scenario) -> None:
        cluster = scenario.cluster
        _add_routes(cluster, deployment.routes)
        await scenario.start()
        _check_voters(cluster, deployment.voters)
        cost.text_bytes = len(cluster.configuration_body(FIRST_REVISION, 800))
        start, started_at = _totals(cluster), cluster.loop.time()
        await _send_changes(cluster, cost)
        end, duration_s = _totals(cluster), cluster.loop.time() - started_at
        await asyncio.sleep(duration_s)
        _set_change_costs(cost, start, end, _totals(cluster))

    _, breaches = play(plan, steps)
    assert not breaches, str(breaches[0])
    return cost


def _add_routes(cluster: SimulatedCluster, routes: int) -> None:
    """Add routes until the configuration has `routes` of them."""
    for number in range(routes - len(cluster.routes)):
        cluster.services.append(f"service-{number}")
        cluster.routes.append(Route(f"service-{number}", "c.example", f"/{number}/"))


def _check_voters(cluster: SimulatedCluster, voters: int) -> None:
    for node in cluster.nodes.values():
        if node.program is not None and node.program.control is not None:
            state = node.program.control.service.state
            assert len(state.voters) == voters, (
                f"{node.name}: expected {voters} voters, got {len(state.voters)}: {state.voters}"
            )


async def _send_changes(cluster: SimulatedCluster, cost: ControlCost) -> None:
    loop, deployment = cluster.loop, cost.deployment
    confirmation_times, activation_times = list[float](), list[float]()
    for first in range(FIRST_REVISION, FIRST_REVISION + deployment.changes, deployment.operators):
        started_at = loop.time()
        revisions = range(first, first + deployment.operators)
        sending = [loop.create_task(_send_change(cluster, revision, cost)) for revision in revisions]
        await _wait_until_active(cluster, revisions[-1])
        activation_times.append(loop.time() - started_at)
        confirmation_times += await asyncio.gather(*sending)
        await asyncio.sleep(PAUSE_S)
    cost.confirm_median_s, cost.confirm_p99_s = _median_and_p99(confirmation_times)
    cost.everywhere_median_s, cost.everywhere_p99_s = _median_and_p99(activation_times)


async def _send_change(cluster: SimulatedCluster, revision: int, cost: ControlCost) -> float:
    """Send a change until it is confirmed; return the seconds that this took."""
    started_at, body = cluster.loop.time(), cluster.configuration_body(revision, 800)
    while True:
        for control in cluster.control_addresses():
            try:
                if (
                    await send_request(control, "POST", REPLACE_PATH, body, {"Host": "c"}, 1.0)
                ).status == 200:
                    return cluster.loop.time() - started_at
            except (OSError, NoResponseError, TimeoutError):
                pass
            cost.asked_again += 1
            assert cluster.loop.time() < started_at + CHANGE_TIMEOUT_S, (
                f"revision {revision} was not confirmed within {CHANGE_TIMEOUT_S:g} s"
            )


async def _wait_until_active(cluster: SimulatedCluster, revision: int) -> None:
    until = cluster.loop.time() + CHANGE_TIMEOUT_S
    while any(
        node.program.active_configuration.revision < revision
        for node in cluster.nodes.values()
        if node.program
    ):
        await asyncio.sleep(POLL_S)
        assert cluster.loop.time() < until, (
            f"revision {revision} was not active on all nodes within {CHANGE_TIMEOUT_S:g} s"
        )


def _median_and_p99(seconds: list[float]) -> tuple[float, float]:
    ranked = sorted(seconds)
    return statistics.median(ranked), ranked[min(len(ranked) - 1, len(ranked) * 99 // 100)]


def _totals(cluster: SimulatedCluster) -> _Totals:
    totals = _Totals()
    for name, node in cluster.nodes.items():
        totals.files[name], totals.file_bytes[name] = node.disk.files_written, node.disk.file_bytes_written
    for sent in method_traffic(cluster):
        totals.frames[sent.method] += sent.frames
        totals.bytes[sent.method] += sent.bytes
        totals.bytes_over[sent.method] += sent.bytes if sent.crosses_zones else 0
    return totals


def _set_change_costs(cost: ControlCost, start: _Totals, end: _Totals, idle: _Totals) -> None:
    """Set what the changes added: the growth from `start` to `end` minus that from `end` to `idle`.

    Both periods have the same length; in the second one no change was sent.
    """

    def added(counter: str) -> Counter[str]:
        before, after, later = (getattr(totals, counter) for totals in (start, end, idle))
        return Counter({key: 2 * after[key] - before[key] - later[key] for key in after})

    changes = cost.deployment.changes
    frames, size, cross_zone = added("frames"), added("bytes"), added("bytes_over")
    for method in sorted(frames, key=lambda method: -size[method]):
        if frames[method] >= changes / 10:
            method_cost = MethodCost(
                frames[method] / changes, size[method] / changes, cross_zone[method] / changes
            )
            cost.methods[method] = method_cost
    files = added("files")
    cost.files = files.total() / changes
    cost.files_busiest = max(files.values()) / changes
    cost.file_bytes_busiest = max(added("file_bytes").values()) / changes


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="emberlatch.simulation.control_cost", description=__doc__)
    parser.add_argument("sizes", nargs="+", metavar="VOTERS/STORES")
    for name in ("forwarders", "zones", "routes", "operators", "rounds"):
        parser.add_argument(f"--{name}", type=int, default=getattr(Deployment(3, 3), name))
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Measure each deployment size and print one JSON object per line."""
    logging.disable(logging.CRITICAL)
    options = vars(_parser().parse_args(arguments))
    for size in options.pop("sizes"):
        voters, stores = map(int, size.split("/"))
        print(json.dumps(asdict(measure(Deployment(voters, stores, **options)))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
