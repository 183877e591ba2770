"""Measures what a cluster costs without messages: its start, its heartbeats and one new configuration."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.node import SimulatedNode
from emberlatch.simulation.plan import Plan
from emberlatch.simulation.processor_samples import ProcessorSamples
from emberlatch.simulation.scenario import Scenario, play
from emberlatch.simulation.traffic import method_traffic

IDLE_S = 10.0  # duration of the measurement of the idle cluster
MEASURED_REVISION = 9
POLL_S = 0.01
CONFIGURATION_TIMEOUT_S = 20.0
KIB_PER_MIB = 1024


@dataclass
class MemberCost:
    """What one process sends and receives, and its share of a processor core."""

    frames_sent_per_s: float = 0.0
    bytes_sent_per_s: float = 0.0
    frames_received_per_s: float = 0.0
    bytes_received_per_s: float = 0.0
    processor_share: float = 0.0  # 0 if no samples were taken

    @property
    def bytes_per_s(self) -> float:
        """Bytes sent and received per second."""
        return self.bytes_sent_per_s + self.bytes_received_per_s

    def to_json(self) -> dict[str, float]:
        """The members of the JSON output of `emberlatch-cluster growth`."""
        return {
            "frames_sent": self.frames_sent_per_s,
            "bytes_sent": self.bytes_sent_per_s,
            "frames_received": self.frames_received_per_s,
            "bytes_received": self.bytes_received_per_s,
            "processor": self.processor_share,
        }


@dataclass
class GrowthCost:
    """The cost of a cluster. A figure is the total of all processes unless its comment says otherwise.

    Cross-zone figures count only traffic from one zone to another. `peak_memory_mib` is the peak memory
    of the interpreter. If the interpreter has simulated several clusters, this is the peak of the largest.
    """

    forwarders: int
    stores: int
    start_cross_zone_bytes: float = 0.0  # sent until all nodes were ready
    frames_per_s: float = 0.0
    cross_zone_bytes_per_s: float = 0.0
    busiest_frames_per_s: float = 0.0  # frames sent by the process that sends most
    configuration_s: float = 0.0  # time from sending a configuration until it is active on all nodes
    processor_share: float = 0.0  # processor seconds of this simulation for each simulated second
    peak_memory_mib: float = 0.0
    forwarder: MemberCost = field(default_factory=MemberCost)  # mean of all forwarders
    busiest_store: MemberCost = field(default_factory=MemberCost)  # the store that sends most frames
    mean_store_processor_share: float = 0.0
    cross_zone_bytes_by_method: Counter[str] = field(default_factory=Counter)

    def to_json(self) -> dict[str, object]:
        """The object that `emberlatch-cluster growth --json` prints."""
        return {
            "forwarders": self.forwarders,
            "stores": self.stores,
            "start_over": self.start_cross_zone_bytes,
            "frames": self.frames_per_s,
            "over": self.cross_zone_bytes_per_s,
            "most_frames": self.busiest_frames_per_s,
            "known_s": self.configuration_s,
            "cpu_s": self.processor_share,
            "peak_mb": self.peak_memory_mib,
            "forwarder": self.forwarder.to_json(),
            "store": self.busiest_store.to_json(),
            "stores_processor": self.mean_store_processor_share,
            "methods": self.cross_zone_bytes_by_method,
        }


def measure(
    forwarders: int,
    stores: int,
    zones: int = 3,
    targets: int = 10,
    seed: int = 1,
    sampled: bool = False,
    idle_s: float = IDLE_S,
) -> GrowthCost:
    """Measure a cluster of this size; with `sampled` also the processor time of each process."""
    cost = GrowthCost(forwarders, stores)
    plan = Plan(seed, zones=zones, forwarders=forwarders, stores=stores, targets=targets)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cost.start_cross_zone_bytes = _cross_zone_bytes(scenario.cluster).total()
        await _measure_idle(scenario.cluster, cost, sampled, idle_s)
        await _measure_configuration(scenario, cost)
        cost.peak_memory_mib = peak_memory_mib()

    _, breaches = play(plan, steps)
    assert not breaches, str(breaches[0])
    return cost


def peak_memory_mib() -> float:
    """The most memory that this process has used, in 2^20 bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB


async def _measure_idle(cluster: SimulatedCluster, cost: GrowthCost, sampled: bool, idle_s: float) -> None:
    """Measure while nothing happens but heartbeats."""
    samples = ProcessorSamples()
    before, crossed_before, started_at = _traffic(cluster), _cross_zone_bytes(cluster), time.process_time()
    with _take_samples(samples) if sampled else contextlib.nullcontext():
        await asyncio.sleep(idle_s)
    cost.processor_share = (time.process_time() - started_at) / idle_s
    after, crossed = _traffic(cluster), _cross_zone_bytes(cluster)
    costs = {
        name: _member_cost(node, before, after, samples, idle_s)
        for name, node in cluster.nodes.items()
        if node.program is not None
    }
    cost.frames_per_s = sum(member.frames_sent_per_s for member in costs.values())
    cost.busiest_frames_per_s = max(member.frames_sent_per_s for member in costs.values())
    cost.cross_zone_bytes_by_method = Counter(
        {method: size - crossed_before[method] for method, size in crossed.items()}
    )
    cost.cross_zone_bytes_per_s = cost.cross_zone_bytes_by_method.total() / idle_s
    cost.forwarder = _mean([costs[name] for name, node in cluster.nodes.items() if not node.is_store])
    stores = [costs[name] for name, node in cluster.nodes.items() if node.is_store]
    cost.busiest_store = max(stores, key=lambda member: member.frames_sent_per_s)
    cost.mean_store_processor_share = _mean(stores).processor_share


@contextlib.contextmanager
def _take_samples(samples: ProcessorSamples) -> Iterator[None]:
    """Take samples without garbage collections: all processes share one heap, so a collection would count for
    whichever process happens to run."""
    gc.collect()
    gc.disable()
    try:
        with samples:
            yield
    finally:
        gc.enable()


async def _measure_configuration(scenario: Scenario, cost: GrowthCost) -> None:
    """Measure how long a configuration takes until it is active on all nodes."""
    loop = scenario.cluster.loop
    started_at = loop.time()
    sending = loop.create_task(scenario.operator.send(MEASURED_REVISION))
    while not _is_active_on_all_nodes(scenario.cluster, MEASURED_REVISION):
        await asyncio.sleep(POLL_S)
        assert loop.time() < started_at + CONFIGURATION_TIMEOUT_S, (
            f"revision {MEASURED_REVISION} was not active on all nodes within {CONFIGURATION_TIMEOUT_S:g} s"
        )
    cost.configuration_s = loop.time() - started_at
    await sending


def _is_active_on_all_nodes(cluster: SimulatedCluster, revision: int) -> bool:
    programs = [node.program for node in cluster.nodes.values() if node.program is not None]
    return all(program.active_configuration.revision >= revision for program in programs)


@dataclass
class _Traffic:
    """Frames and bytes of each process since the start, by node name."""

    frames_sent: Counter[str] = field(default_factory=Counter)
    bytes_sent: Counter[str] = field(default_factory=Counter)
    frames_received: Counter[str] = field(default_factory=Counter)
    bytes_received: Counter[str] = field(default_factory=Counter)


def _traffic(cluster: SimulatedCluster) -> _Traffic:
    totals = _Traffic()
    for sent in method_traffic(cluster):
        totals.frames_sent[sent.sender.name] += sent.frames
        totals.bytes_sent[sent.sender.name] += sent.bytes
        totals.frames_received[sent.receiver.name] += sent.frames
        totals.bytes_received[sent.receiver.name] += sent.bytes
    return totals


def _member_cost(
    node: SimulatedNode, before: _Traffic, after: _Traffic, samples: ProcessorSamples, seconds: float
) -> MemberCost:
    name = node.name
    return MemberCost(
        (after.frames_sent[name] - before.frames_sent[name]) / seconds,
        (after.bytes_sent[name] - before.bytes_sent[name]) / seconds,
        (after.frames_received[name] - before.frames_received[name]) / seconds,
        (after.bytes_received[name] - before.bytes_received[name]) / seconds,
        samples.seconds_of(node.host) / seconds,
    )


def _mean(costs: Sequence[MemberCost]) -> MemberCost:
    count = max(1, len(costs))
    return MemberCost(
        sum(cost.frames_sent_per_s for cost in costs) / count,
        sum(cost.bytes_sent_per_s for cost in costs) / count,
        sum(cost.frames_received_per_s for cost in costs) / count,
        sum(cost.bytes_received_per_s for cost in costs) / count,
        sum(cost.processor_share for cost in costs) / count,
    )


def _cross_zone_bytes(cluster: SimulatedCluster) -> Counter[str]:
    """Bytes sent from one zone to another since the start, by method."""
    totals: Counter[str] = Counter()
    for sent in method_traffic(cluster):
        totals[sent.method] += sent.bytes if sent.crosses_zones else 0
    return totals
