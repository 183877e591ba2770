"""What a cluster of some size costs while nothing happens but heartbeats, a start and a new configuration."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from emberlatch.simulation.cluster import Plan, SimulatedCluster, SimulatedNode
from emberlatch.simulation.processor_samples import ProcessorSamples
from emberlatch.simulation.scenario import Scenario, play
from emberlatch.simulation.traffic import traffic

CALM_S = 10.0  # seconds that are measured
KIB_PER_MIB = 1024


@dataclass
class MemberCost:
    """What one process sends and gets, frames and bytes a second, and its share of a processor core."""

    frames_sent: float = 0.0
    bytes_sent: float = 0.0
    frames_received: float = 0.0
    bytes_received: float = 0.0
    processor: float = 0.0  # 0 if no samples were taken

    @property
    def bytes(self) -> float:
        """Both ways."""
        return self.bytes_sent + self.bytes_received


@dataclass
class Growth:
    """Frames and bytes a second, of all processes together; `over` only what crosses a zone's border."""

    forwarders: int
    stores: int
    start_over: float = 0.0  # bytes over borders until all were ready
    frames: float = 0.0
    over: float = 0.0
    most_frames: float = 0.0  # of the process that sends most
    known_s: float = 0.0  # from a configuration's sending until it is in force everywhere
    cpu_s: float = 0.0  # processor seconds of this simulation for each simulated second
    peak_mb: float = 0.0  # memory of this simulation; of the largest size that its process has played
    forwarder: MemberCost = field(default_factory=MemberCost)  # the mean of all
    store: MemberCost = field(default_factory=MemberCost)  # the one that sends most
    stores_processor: float = 0.0  # share of a core, the mean of all stores
    methods: Counter[str] = field(default_factory=Counter)  # bytes over borders by method


def measure(
    forwarders: int,
    stores: int,
    zones: int = 3,
    targets: int = 10,
    seed: int = 1,
    sampled: bool = False,
    calm_s: float = CALM_S,
) -> Growth:
    """Play it; `sampled` tells which process the processor's time goes to."""
    found = Growth(forwarders, stores)
    plan = Plan(seed, zones=zones, fronts=forwarders, stores=stores, targets=targets)

    async def scene(scenario: Scenario) -> None:
        await scenario.start()
        found.start_over = sum(_over(scenario.world).values())
        await _calm(scenario.world, found, sampled, calm_s)
        await _configure(scenario, found)
        found.peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB

    _, breaches = play(plan, scene)
    assert not breaches, str(breaches[0])
    return found


async def _calm(world: SimulatedCluster, found: Growth, sampled: bool, calm_s: float) -> None:
    """Measure while nothing happens."""
    samples = ProcessorSamples()
    before, over, began = _traffic(world), _over(world), time.process_time()
    with _sampled(samples) if sampled else contextlib.nullcontext():
        await asyncio.sleep(calm_s)
    found.cpu_s = (time.process_time() - began) / calm_s
    after = _traffic(world)
    costs = {
        name: _cost(node, before, after, samples, calm_s)
        for name, node in world.nodes.items()
        if node.program is not None
    }
    found.frames = sum(cost.frames_sent for cost in costs.values())
    found.most_frames = max(cost.frames_sent for cost in costs.values())
    found.methods = Counter({m: n - over.get(m, 0) for m, n in _over(world).items()})
    found.over = sum(found.methods.values()) / calm_s
    found.forwarder = _mean([costs[n] for n, node in world.nodes.items() if not node.store])
    stores = [costs[n] for n, node in world.nodes.items() if node.store]
    found.store = max(stores, key=lambda cost: cost.frames_sent)
    found.stores_processor = _mean(stores).processor


@contextlib.contextmanager
def _sampled(samples: ProcessorSamples) -> Iterator[None]:
    """Take samples without garbage collections: the heap is that of all processes together, and a collection
    would count for the one that happens to run."""
    gc.collect()
    gc.disable()
    try:
        with samples:
            yield
    finally:
        gc.enable()


async def _configure(scenario: Scenario, found: Growth) -> None:
    """Measure how long a configuration takes until it is in force everywhere."""
    world, loop = scenario.world, scenario.world.loop
    began = loop.time()
    sending = loop.create_task(scenario.operator.send(9))
    while any(n.program is not None and n.program.config_store.revision < 9 for n in world.nodes.values()):
        await asyncio.sleep(0.01)
        assert loop.time() < began + 20, "a configuration did not get everywhere"
    found.known_s = loop.time() - began
    await sending


@dataclass
class _Traffic:
    """Frames and bytes of each process since the start, by its name."""

    frames_sent: Counter[str] = field(default_factory=Counter)
    bytes_sent: Counter[str] = field(default_factory=Counter)
    frames_received: Counter[str] = field(default_factory=Counter)
    bytes_received: Counter[str] = field(default_factory=Counter)


def _traffic(world: SimulatedCluster) -> _Traffic:
    sums = _Traffic()
    for sent in traffic(world):
        sums.frames_sent[sent.sender.name] += sent.frames
        sums.bytes_sent[sent.sender.name] += sent.bytes
        sums.frames_received[sent.receiver.name] += sent.frames
        sums.bytes_received[sent.receiver.name] += sent.bytes
    return sums


def _cost(
    node: SimulatedNode, before: _Traffic, after: _Traffic, samples: ProcessorSamples, seconds: float
) -> MemberCost:
    name = node.name
    return MemberCost(
        (after.frames_sent[name] - before.frames_sent[name]) / seconds,
        (after.bytes_sent[name] - before.bytes_sent[name]) / seconds,
        (after.frames_received[name] - before.frames_received[name]) / seconds,
        (after.bytes_received[name] - before.bytes_received[name]) / seconds,
        samples.of(node.host) / seconds,
    )


def _mean(costs: list[MemberCost]) -> MemberCost:
    count = max(1, len(costs))
    return MemberCost(
        sum(cost.frames_sent for cost in costs) / count,
        sum(cost.bytes_sent for cost in costs) / count,
        sum(cost.frames_received for cost in costs) / count,
        sum(cost.bytes_received for cost in costs) / count,
        sum(cost.processor for cost in costs) / count,
    )


def _over(world: SimulatedCluster) -> Counter[str]:
    """Bytes over borders by method, since the start."""
    sums: Counter[str] = Counter()
    for sent in traffic(world):
        sums[sent.method] += sent.bytes if sent.over else 0
    return sums
