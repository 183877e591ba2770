"""A simulated machine of the service: a persistent disk, and the successive processes that run `Node`."""

from __future__ import annotations

import asyncio
import random
import shutil
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Protocol, TypeVar

from emberlatch.cluster.control_plane import ControlPlane
from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.message_store import MessageStore
from emberlatch.cluster.node import Node
from emberlatch.cluster.settings.node_settings import Bounds, NodeSettings, Resilience
from emberlatch.engine import Machine
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import Process
from emberlatch.simulation.disk import SimulatedDisk
from emberlatch.simulation.environment import Result, Timing
from emberlatch.simulation.history import History
from emberlatch.simulation.network import SimulatedNetwork
from emberlatch.simulation.plan import Plan

INNER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = PORTS = 7300, 8000, 8001, 8002
DISK_SYNC_S = 0.001
RESTART_DELAY_S = 0.7  # time until a process that has ended is started again
MAX_CLOCK_SKEW_S = 0.02
WALL_CLOCK_START_S = 1.7e9
Part = TypeVar("Part")
NEVER_S = 1e6  # a duration longer than any simulated day


class NodeNotStartedError(RuntimeError):
    """A simulated machine has no process yet, or its process lacks the part that was asked for."""


class NodeEnvironment(Protocol):
    """What a machine needs from the cluster that it is part of.

    `first_start` is true while the system is started for the first time.
    """

    plan: Plan
    random: random.Random
    timing: Timing
    history: History
    loop: VirtualLoop
    network: SimulatedNetwork
    folder: Path
    first_start: bool

    def seed_addresses(self) -> tuple[tuple[str, int], ...]:
        """The control addresses that every node is given at its start."""

    def run_in(self, process: Process, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a task of `process`."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` outside of all processes after `delay_s` seconds."""


class SimulatedNode:
    """A machine and the process on it; a store if `is_store`, otherwise a forwarder.

    `incarnation` counts the starts of its process; `program` is the `Node` that runs or ran last.
    """

    def __init__(self, environment: NodeEnvironment, name: str, zone: str, host: str, is_store: bool) -> None:
        self.name, self.zone, self.host, self.is_store = name, zone, host, is_store
        self.folder = environment.folder / name
        self.process: Process | None = None
        self.program: Node | None = None
        self.incarnation = 0
        self.powered_off = False
        self.clock_skew_s = environment.random.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S)
        self.disk = SimulatedDisk(DISK_SYNC_S)
        self.environment = environment
        self._terminating = False

    @property
    def running(self) -> Node:
        """The program that runs, or ran last; NodeNotStartedError before the first start."""
        if self.program is None:
            raise NodeNotStartedError(f"{self.name} was never started")
        return self.program

    @property
    def message_store(self) -> MessageStore:
        """The message store of a store; NodeNotStartedError on a forwarder."""
        return self._part(self.running.message_store, "replicator")

    @property
    def control_plane(self) -> ControlPlane:
        """The control plane of a store; NodeNotStartedError on a forwarder."""
        return self._part(self.running.control, "control plane")

    @property
    def target_directory(self) -> TargetDirectory:
        """The table of targets of a store; NodeNotStartedError on a forwarder."""
        return self._part(self.running.targets, "target directory")

    def _part(self, part: Part | None, name: str) -> Part:
        if part is None:
            raise NodeNotStartedError(f"{self.name} has no {name}")
        return part

    def settings(self) -> NodeSettings:
        """The settings of the machine's process."""
        environment = self.environment
        return NodeSettings(
            node=self.name,
            role="node",
            node_class="store" if self.is_store else "front",
            serves=("store", "control") if self.is_store else ("front",),
            ip=self.host,
            zone=self.zone,
            region="r",
            inner_port=INNER_PORT,
            seeds=environment.seed_addresses(),
            initial_start=self.incarnation == 0 and environment.first_start,
            counted=self.is_store,
            data_dir=self.folder if self.is_store else None,
            listen=self._listen_addresses(),
            memory_mb=300,
            max_fds=4000,
            disk_mb=400,
            heartbeat_ms=environment.timing.heartbeat_interval_s * 1000,
            bounds=Bounds(grace_s=environment.timing.grace_s, origin_window_s=5.0),
            resilience=Resilience(machines=environment.plan.tolerated_losses),
        )

    def _listen_addresses(self) -> dict[str, tuple[str, int]]:
        if self.is_store:
            return {"control": (self.host, CONTROL_PORT)}
        return {"front": (self.host, FRONT_PORT), "ready": (self.host, READY_PORT)}

    @property
    def up(self) -> bool:
        """Whether the machine's process runs."""
        return self.process is not None and self.process.alive

    def start(self) -> None:
        """Start a process, if the machine has power and no process runs."""
        if self.up or self.powered_off:
            return
        self.process, self._terminating = Process(self.host), False
        settings = self.settings()
        self.incarnation += 1
        self.environment.run_in(self.process, self._run(settings, self.incarnation))

    async def _run(self, settings: NodeSettings, incarnation: int) -> None:
        environment = self.environment
        machine = Machine(
            wall_clock=lambda: WALL_CLOCK_START_S + environment.loop.time() + self.clock_skew_s,
            boot_id=lambda: "",
            listen=environment.network.listen,
        )
        seed = environment.random.randrange(1 << 30)
        self.program = Node(settings, machine, self.disk.as_disk(), incarnation, seed)
        await self.program.start()

    def release_disk(self) -> None:
        """Close the files that the process had open, without writing anything."""
        if self.program is not None and self.program.message_store is not None:
            self.program.message_store.local_store.database.close_without_commit()

    def kill(self, restart_after_s: float = RESTART_DELAY_S) -> None:
        """Send SIGKILL; the process is started again after `restart_after_s` seconds."""
        if self.process is not None and self.process.alive:
            self.process.kill()
            self.release_disk()
        self.environment.call_later(restart_after_s, self.start)

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period; then start the process again."""
        if not self.up or self._terminating or self.program is None or self.process is None:
            return
        self._terminating = True
        process, program, environment = self.process, self.program, self.environment

        async def shut_down() -> None:
            await program.stop()
            process.kill()
            self.release_disk()
            environment.call_later(RESTART_DELAY_S, self.start)

        environment.run_in(process, shut_down())

        def end_grace() -> None:
            if process.alive:
                environment.history.record_breach(
                    "GRACE",
                    environment.loop.time(),
                    f"{self.name} did not end within {environment.timing.grace_s:g} s of SIGTERM",
                )
                self.kill()

        environment.call_later(environment.timing.grace_s, end_grace)

    def freeze(self, duration_s: float) -> None:
        """Send SIGSTOP, and SIGCONT after `duration_s` seconds."""
        if self.process is not None:
            process, environment = self.process, self.environment
            process.suspend()
            environment.call_later(duration_s, lambda: process.resume(environment.loop))

    def power_off(self, duration_s: float, wipe: bool = False) -> None:
        """Cut the power for `duration_s` seconds without notifying peers; with `wipe`, empty the disk too."""
        self.powered_off = True
        self.environment.network.cut_power(self.host, PORTS, self.process)
        self.release_disk()
        if wipe:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.environment.call_later(duration_s, self._power_on)

    def _power_on(self) -> None:
        self.powered_off = False
        self.environment.network.restore_power(self.host, PORTS)
        self.start()
