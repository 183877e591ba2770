"""What a cluster of some size costs while nothing happens but beats, a start and a new configuration."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from emberlatch.simulation.cluster import Plan, SimulatedCluster
from emberlatch.simulation.scenario import Scenario, play

CALM = 10.0  # seconds that are measured


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
    methods: Counter[str] = field(default_factory=Counter)  # bytes over borders by method


def measure(forwarders: int, stores: int, zones: int = 3, targets: int = 10, seed: int = 1) -> Growth:
    """Play it."""
    found = Growth(forwarders, stores)
    plan = Plan(seed, zones=zones, fronts=forwarders, stores=stores, targets=targets)

    async def scene(scenario: Scenario) -> None:
        world, loop = scenario.world, scenario.world.loop
        await scenario.start()
        found.start_over = sum(_over(world).values())
        before, frames, cpu = _over(world), _frames(world), time.process_time()
        began = loop.time()
        await asyncio.sleep(CALM)
        found.cpu_s = (time.process_time() - cpu) / CALM
        after = _frames(world)
        found.frames = sum(after.values()) / CALM - sum(frames.values()) / CALM
        found.most_frames = max((after[n] - frames[n]) / CALM for n in after)
        found.methods = Counter({m: n - before.get(m, 0) for m, n in _over(world).items()})
        found.over = sum(found.methods.values()) / CALM
        began = loop.time()
        sending = loop.create_task(scenario.operator.send(9))
        while any(
            n.program is not None and n.program.config_store.revision < 9 for n in world.nodes.values()
        ):
            await asyncio.sleep(0.01)
            assert loop.time() < began + 20, "a configuration did not get everywhere"
        found.known_s = loop.time() - began
        await sending

    _, breaches = play(plan, scene)
    assert not breaches, str(breaches[0])
    return found


def _over(world: SimulatedCluster) -> Counter[str]:
    """Bytes over borders by method, since the start."""
    sums: Counter[str] = Counter()
    for node in world.nodes.values():
        if node.program is not None:
            far = {n.name for n in world.nodes.values() if n.zone != node.zone}
            for method, (_, size) in node.program.membership.counters.over(far.__contains__).items():
                sums[method] += size
    return sums


def _frames(world: SimulatedCluster) -> dict[str, int]:
    sent = (
        (n, node.program.membership.counters.sent)
        for n, node in world.nodes.items()
        if node.program is not None
    )
    return {name: sum(frames for frames, _ in sums.values()) for name, sums in sent}
