"""A simulated deployment: machines in zones, each running the real `Node`, on a virtual clock and network."""

from __future__ import annotations

import asyncio
import contextvars
import random
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import Process, current_process
from emberlatch.simulation.environment import Environment, Result
from emberlatch.simulation.network import SimulatedNetwork
from emberlatch.simulation.node import CONTROL_PORT, FRONT_PORT, SimulatedNode
from emberlatch.simulation.plan import Plan
from emberlatch.simulation.target import SimulatedTarget

SEED_COUNT = 3  # number of stores whose control addresses every node is given
TARGET_PORT = 9000


class SimulatedCluster(Environment):
    """The machines and targets of a plan. Nothing runs until the nodes are started on its `loop`.

    A cluster owns a temporary folder with the files of all disks; `close` removes it.
    """

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan, random.Random(plan.seed))
        random.seed(plan.seed)
        self.loop = VirtualLoop()
        self.folder = Path(tempfile.mkdtemp(prefix="emberlatch-"))
        self._zones: dict[str, str] = {}  # zone name by host
        self.network = SimulatedNetwork(self.loop, plan.seed, lambda host: self._zones.get(host, ""))
        self.first_start = True
        self.nodes: dict[str, SimulatedNode] = {}
        self.targets: dict[str, SimulatedTarget] = {}
        for number in range(plan.stores):
            self._add_node(f"s{number}", number, is_store=True)
        for number in range(plan.forwarders):
            self._add_node(f"f{number}", number, is_store=False)

    def _add_node(self, name: str, number: int, is_store: bool) -> None:
        zone_number = number % self.plan.zones
        host = f"10.{zone_number}.{1 if is_store else 2}.{number}"
        self._zones[host] = f"z{zone_number}"
        self.nodes[name] = SimulatedNode(self, name, f"z{zone_number}", host, is_store)

    @property
    def zones(self) -> list[str]:
        """The zones that have machines, in order."""
        return sorted({node.zone for node in self.nodes.values()})

    def run_in(self, process: Process, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a task of `process`; the task ends when the process is killed."""
        context = contextvars.copy_context()
        context.run(current_process.set, process)
        task: asyncio.Task[Result] = self.loop.create_task(work, context=context)
        return task

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` outside of all processes after `delay_s` seconds."""
        self.network.call_later(delay_s, callback)

    def seed_addresses(self) -> tuple[tuple[str, int], ...]:
        """The control addresses that every node is given at its start."""
        return tuple((node.host, CONTROL_PORT) for node in self.nodes.values() if node.is_store)[:SEED_COUNT]

    def control_addresses(self) -> list[tuple[str, int]]:
        """The control addresses of all stores, shuffled."""
        found = [(node.host, CONTROL_PORT) for node in self.nodes.values() if node.is_store]
        self.random.shuffle(found)
        return found

    def pick_forwarder(self, zone: str, chance: random.Random) -> tuple[str, int] | None:
        """The address of a random ready forwarder, of this zone if it has one; None if none is ready."""
        ready = [
            node
            for node in self.nodes.values()
            if not node.is_store
            and node.up
            and node.program is not None
            and node.program.readiness.not_ready_reason() is None
        ]
        candidates = [node for node in ready if node.zone == zone] or ready
        return (chance.choice(candidates).host, FRONT_PORT) if candidates else None

    async def add_target(
        self, service: str, zone: str, address: tuple[str, int] | None = None
    ) -> SimulatedTarget:
        """Start a new incarnation of a target, at `address` if given, otherwise on a new host."""
        number = self.next_number()
        address = address or (f"10.{zone[1:]}.64.{number}", TARGET_PORT)
        self._zones[address[0]] = zone
        target = SimulatedTarget(self, f"i-{number}", service, zone, address)
        self.targets[target.id] = target
        await self.run_in(target.process, target.start())
        return target

    def add_store(self, name: str, zone: str) -> SimulatedNode:
        """Start an additional store with an empty disk."""
        host = f"10.{zone[1:]}.1.{100 + len(self.nodes)}"
        self._zones[host] = zone
        node = self.nodes[name] = SimulatedNode(self, name, zone, host, True)
        node.start()
        return node

    def partition(self, one: str, other: str, duration_s: float) -> None:
        """Prevent two machines from reaching each other for `duration_s` seconds."""
        self.network.partition(self.nodes[one].host, self.nodes[other].host, duration_s)

    def close(self) -> None:
        """Remove the files of all disks."""
        for node in self.nodes.values():
            node.release_disk()
        shutil.rmtree(self.folder, ignore_errors=True)
