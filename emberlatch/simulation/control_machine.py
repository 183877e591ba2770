"""A simulated machine of the control plane: a persistent disk, and the successive processes that use it."""

from __future__ import annotations

import asyncio
import contextvars
import functools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.maintenance import FaultTolerance
from emberlatch.cluster.consensus.maintenance_loop import MaintenanceLoop
from emberlatch.cluster.consensus.ports import RegisterPorts
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import ControlState, Voter
from emberlatch.cluster.consensus.state_client import ControlStateClient
from emberlatch.faults.process import ENVIRONMENT_CONTEXT, Process, current_process
from emberlatch.simulation.control_disk import SimulatedDisk, SimulatedStorage
from emberlatch.simulation.control_network import (
    ControlNetwork,
    DriftingLoop,
    Frame,
    Heartbeat,
    ReplyFrame,
    RequestFrame,
)
from emberlatch.simulation.control_peers import MachineFacts, PeerTable, PeerTransport, PeerView

HEARTBEAT_INTERVAL_S = (0.35, 0.5)  # range of the random interval between two heartbeats, in seconds
RESTART_DELAY_S = 0.5  # seconds after which a process that could not start is started again
OPERATION_TIMEOUT_S = 2.0
MAX_DRIFT = 0.02  # largest share by which a machine's timers run fast or slow


@dataclass(frozen=True)
class ControlEnvironment:
    """What all machines of a day share. `state_learned` is called with every state that a process learns."""

    loop: DriftingLoop
    network: ControlNetwork
    tolerance: FaultTolerance
    founding_voters: tuple[Voter, ...]
    seed: int
    state_learned: Callable[[str, ControlState], None]


@dataclass(frozen=True, slots=True)
class StateObserver:
    """Passes each state that a machine's register learns to `state_learned`."""

    name: str
    state_learned: Callable[[str, ControlState], None]

    def state_changed(self, state: ControlState) -> None:
        """Report a newer state."""
        self.state_learned(self.name, state)

    def disk_changed(self, error: OSError | None) -> None:
        """Ignore disk errors: they are not checked."""


class ProcessIncarnation:
    """One process on a machine, from its start to its end, and the control service that it runs."""

    def __init__(
        self,
        environment: ControlEnvironment,
        machine: ControlMachine,
        record: AcceptorRecord,
        storage: SimulatedStorage,
    ) -> None:
        self._environment, self._machine, self._storage = environment, machine, storage
        name, number = machine.name, machine.start_count
        self.process = Process(name)
        environment.loop.rates[self.process] = machine.timer_rate
        self.context = contextvars.copy_context()
        self.context.run(current_process.set, self.process)
        rng = random.Random(f"life {environment.seed} {name} {number}")
        facts = MachineFacts(name, number, machine.address, machine.zone, environment.founding_voters)
        table = PeerTable(facts, environment.loop)
        self._transport = PeerTransport(facts, record.voter, environment.network, table)
        self.service = ControlService(
            record,
            storage,
            RegisterPorts(self._offload, self._transport, StateObserver(name, environment.state_learned)),
            f"{name}-{number}",
            environment.tolerance.machines + 1,
            rng,
        )
        self._peers = PeerView(facts, self.service, table)
        self.state_client = ControlStateClient(self.service, OPERATION_TIMEOUT_S)
        self._maintenance = MaintenanceLoop(self.service, self._peers, environment.tolerance, rng)
        self._rng = rng
        self.run(self._maintenance.run())
        self.run(self._send_heartbeats())

    def run(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this process."""
        return self._environment.loop.create_task(work, context=self.context.copy())

    async def _offload(self, work: Callable[[], None]) -> None:
        """Run a write as in a thread: once begun, it is completed even if its caller is cancelled."""
        loop, disk = self._environment.loop, self._machine.disk
        done: asyncio.Future[None] = loop.create_future()
        interrupted_write = functools.partial(self._storage.write_interrupted, work)

        def finish() -> None:
            if not self.process.alive:
                return
            disk.in_flight.remove(interrupted_write)
            error = _error_of(work)
            if done.done():
                return
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(error)

        disk.in_flight.append(interrupted_write)
        loop.call_at(loop.time() + disk.draw_write_duration(loop.time()), finish, context=ENVIRONMENT_CONTEXT)
        await done

    async def _send_heartbeats(self) -> None:
        while True:
            self._environment.network.broadcast(self._machine.others(), self._peers.heartbeat())
            await asyncio.sleep(self._rng.uniform(*HEARTBEAT_INTERVAL_S))

    def receive(self, frame: Frame) -> None:
        """Handle a frame from another machine."""
        match frame:
            case Heartbeat():
                self._peers.receive_heartbeat(frame)
            case RequestFrame():
                self.run(self._serve(frame))
            case ReplyFrame():
                self._transport.receive_reply(frame)

    async def _serve(self, frame: RequestFrame) -> None:
        reply = await self.service.serve(frame.request)
        answer = ReplyFrame(self._machine.name, frame.incarnation, frame.number, reply)
        self._environment.network.send(frame.sender, answer)


def _error_of(work: Callable[[], None]) -> OSError | None:
    try:
        work()
    except OSError as error:
        return error
    return None


@dataclass
class ControlMachine:
    """A machine and its current process, if any. `others` returns the names of all other machines."""

    environment: ControlEnvironment
    name: str
    zone: str
    is_seed: bool
    others: Callable[[], list[str]]
    disk: SimulatedDisk
    timer_rate: float
    incarnation: ProcessIncarnation | None = None
    start_count: int = 0
    first_start: bool = True  # whether its next start is its first, and part of the system's first start
    powered_off: bool = False
    removed: bool = False  # removed permanently, together with its disk
    lost_until: float = field(default=0.0)  # loop time until which it counts as having lost its disk

    @property
    def address(self) -> str:
        """The address, which identifies a seed until the voter group is founded."""
        return f"{self.name}.address"

    @property
    def has_process(self) -> bool:
        """Whether it has a process, frozen or not."""
        return self.incarnation is not None

    def start(self) -> None:
        """Start a process if the machine is present and has power, and if no process runs."""
        if self.has_process or self.powered_off or self.removed:
            return
        self.start_count += 1
        storage = SimulatedStorage(self.disk, self.name)
        try:
            record = storage.load() or self._create(storage)
        except OSError:
            self.call_later(RESTART_DELAY_S, self.start)
            return
        self.first_start = False
        self.incarnation = ProcessIncarnation(self.environment, self, record, storage)

    def _create(self, storage: SimulatedStorage) -> AcceptorRecord:
        if self.first_start and self.is_seed:
            return storage.create(ControlState(voters=self.environment.founding_voters), self.address)
        return storage.create(ControlState(), None)

    def kill(self) -> None:
        """Kill the process; each of its writes in flight is interrupted at a random point."""
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is not None:
            incarnation.process.kill()
            self.disk.interrupt_writes()
            self.environment.loop.rates.pop(incarnation.process, None)

    def power_off(self, seconds: float | None) -> None:
        """Power off for `seconds`; if None, remove the machine permanently, together with its disk."""
        self.kill()
        self.powered_off = True
        if seconds is None:
            self.removed = True
            self.disk.lose()
        else:
            self.call_later(seconds, self.power_on)

    def power_on(self) -> None:
        """Restore the power and start the process."""
        self.powered_off = False
        self.start()

    def freeze(self, seconds: float) -> None:
        """Suspend the process for `seconds`; callbacks that become due meanwhile all run when it resumes."""
        if self.incarnation is not None:
            self.incarnation.process.suspend()
            self.call_later(seconds, functools.partial(self._thaw, self.incarnation))

    def _thaw(self, incarnation: ProcessIncarnation) -> None:
        if incarnation.process.alive and incarnation.process.suspended_callbacks is not None:
            incarnation.process.resume(self.environment.loop)

    def thaw(self) -> None:
        """Resume the process if it is frozen."""
        if self.incarnation is not None:
            self._thaw(self.incarnation)

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` outside of all processes after `seconds`."""
        loop = self.environment.loop
        loop.call_at(loop.time() + seconds, callback, context=ENVIRONMENT_CONTEXT)

    def enter(self, callback: Callable[[ProcessIncarnation], None]) -> None:
        """Run a callback in the process, if there is one; in a frozen process it runs after the resume."""
        incarnation = self.incarnation
        if incarnation is None:
            return
        if incarnation.process.suspended_callbacks is not None:
            incarnation.process.suspended_callbacks.append(functools.partial(self.enter, callback))
        else:
            incarnation.context.run(callback, incarnation)

    def receive(self, frame: Frame) -> None:
        """Pass a frame to the process."""
        self.enter(lambda incarnation: incarnation.receive(frame))
