"""A forwarder of the run: its real code in simulated processes. Its machine and disk survive their deaths."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Protocol

from emberlatch.core.interface import Action, Event, Fail, Reject, Settings
from emberlatch.engine import Machine
from emberlatch.engine.machine import Listener
from emberlatch.faults.checks import MOVE_ASSUMED_RECEIVED_S, Rule, RuleChecks
from emberlatch.faults.checks.forwarder_states import Span
from emberlatch.faults.disk import Disk
from emberlatch.faults.network import Network
from emberlatch.faults.plan import Plan
from emberlatch.faults.process import Address, Process, context_of
from emberlatch.faults.settings import DISK_BYTES, RawSettings
from emberlatch.faults.trace import Trace, TraceEvent
from emberlatch.faults.virtual_takeover import (
    InheritedListener,
    SharedListener,
    StateFolder,
    VirtualHandoverConnection,
    VirtualLock,
    connect_pair,
)
from emberlatch.gateway_core import ConnectionLimits
from emberlatch.platform import PlatformConfig, PlatformForwarder
from emberlatch.standins import Directory
from emberlatch.takeover import HandoverServer, acquire_ownership

RESTART_DELAY_S = 0.6  # time between the death of a process and the next start
RESTART_GRACE_S = 1.5  # time after a start in which late notices are excused
TERM_TIMEOUT_S = 3.7  # time between SIGTERM and SIGKILL
DESCRIPTORS = 256
CONNECTION_LIMITS = ConnectionLimits(clients=100, calls=100)
WALL_CLOCK_START_S = 1.8e9  # Unix time that corresponds to 0 on the loop's clock
KILL_PREDECESSOR = "kill-old"


class EnvironmentNetwork(Protocol):
    """The network as forwarders and faults use it: simulated, or with real sockets (`loopback`)."""

    def listen(self, address: Address) -> Listener:
        """Open a listening socket of the current process."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` after `delay` seconds, outside of all processes."""

    def isolate(self, address: Address) -> None:
        """Isolate an address: from now on no packet leaves or reaches it."""

    def end_isolation(self, address: Address) -> None:
        """End the isolation of an address; the connections that it had are reset."""


class ForwarderEnvironment(Protocol):
    """What a forwarder needs from its environment."""

    plan: Plan
    loop: asyncio.AbstractEventLoop
    network: EnvironmentNetwork
    settings: Settings
    raw_settings: RawSettings
    directory: Directory
    checks: RuleChecks
    trace: Trace

    @property
    def directory_address(self) -> Address:
        """The current address of the directory."""

    def directory_serves_until(self, until: float) -> bool:
        """Whether the plan has no directory outage from now to `until` (seconds from the run's start)."""

    def add_breach(self, rule: Rule, text: str) -> None:
        """Record a breach with the current time of the run."""


class SimulatedForwarder:
    """One forwarder: its disk, and the processes that run on it one after another or during a takeover.

    `shared_listener` is the clients' listening socket in plans with takeovers, None in others. Late notices
    are excused in `excused_spans`.
    """

    def __init__(self, environment: ForwarderEnvironment, name: str, address: Address) -> None:
        self.name, self.address, self.disk = name, address, Disk()
        self.wall_offset_s = 0.0  # sum of the wall clock's steps so far
        self.excused_spans: list[Span] = []
        self.platform: PlatformForwarder | None = None
        self.shared_listener: SharedListener | None = None
        self._environment = environment
        self._process: Process | None = None  # owns the state folder, or is starting
        self._successor: Process | None = None  # started for a takeover, not yet owner of the folder
        self._known_list: dict[str, object] = {}  # the list at the first start; later starts use it too
        self._stopping_since: float | None = None  # start of the current stop or restart
        self._state_folder = StateFolder()
        self._handover_server: HandoverServer | None = None

    # Processes.

    def start(self) -> None:
        """Start a process on the current content of the disk."""
        self.disk.restart()
        process = self._process = self._new_process()
        self._run_in_process(self._boot(process, takes_over=False), process)

    def _new_process(self) -> Process:
        process = Process(self.name, descriptors=DESCRIPTORS)
        process.on_death = lambda: self._on_process_death(process)
        return process

    def _run_in_process(self, work: Coroutine[object, object, None], process: Process) -> None:
        self._environment.loop.create_task(work, context=context_of(process))

    def _on_process_death(self, process: Process) -> None:
        environment = self._environment
        if process is self._successor:  # the owner continues to serve, or is dead too
            self._successor = None
            if self._process is not None and not self._process.alive:
                environment.network.call_later(RESTART_DELAY_S, self.start)
        elif process is not self._process:
            environment.trace.record(TraceEvent.PREDECESSOR_EXITED, self.name)
        else:
            environment.trace.record(TraceEvent.DOWN, self.name)
            environment.checks.on_down(self.name)
            self._begin_stop()
            if self._successor is None:  # without a restart, a successor acquires the lock that is now free
                environment.network.call_later(RESTART_DELAY_S, self.start)

    def _begin_stop(self) -> None:
        if self._stopping_since is None:
            self._stopping_since = self._environment.trace.now

    # The real code.

    async def _boot(self, process: Process, takes_over: bool) -> None:
        environment = self._environment
        if not self._known_list:
            self._known_list = dict(environment.directory.document())
        lock = VirtualLock(self._state_folder)
        try:
            platform = PlatformForwarder(self._config(), self._machine())
            self._observe(platform)
            connect = (lambda: self._connect_to_owner(process)) if takes_over else None
            handover = await acquire_ownership(lock, connect)
            predecessor, predecessor_server = self._process, self._handover_server
            self._process, self.platform = process, platform
            if self._successor is process:
                self._successor = None
            await platform.start(handover)
        except Exception as error:
            environment.add_breach(Rule.CRASH, f"process of {self.name} did not start: {error!r}")
            return
        self._handover_server = HandoverServer(lock, platform.handover, platform.tasks)
        if handover is None:
            self._on_started()
            return
        environment.trace.record(TraceEvent.TOOK_OVER, self.name)
        if predecessor_server is not None and predecessor is not None and predecessor.alive:
            self._run_in_process(_end_after_handover(predecessor, predecessor_server), predecessor)

    def _on_started(self) -> None:
        """Record that a process has started without a handover."""
        environment, now = self._environment, self._environment.trace.now
        if self._stopping_since is not None:
            self.excused_spans.append((self._stopping_since, now + RESTART_GRACE_S))
            self._stopping_since = None
        members = self._known_list["members"]
        assert isinstance(members, list)
        draining = [str(member["id"]) for member in members if member["phase"] != "SERVING"]
        environment.checks.on_ready(now, self.name, draining)
        environment.trace.record(TraceEvent.READY, self.name)

    def _config(self) -> PlatformConfig:
        environment = self._environment
        return PlatformConfig(
            name=self.name,
            listen=self.address,
            discovery=environment.directory_address,
            operators=None,
            state=Path(self.name),
            seed=environment.plan.seed,
            connection_limits=CONNECTION_LIMITS,
            journal_bytes=DISK_BYTES,
            initial_list=self._known_list,
            raw_settings=environment.raw_settings,
            settings=environment.settings,
        )

    def _machine(self) -> Machine:
        return Machine(
            lambda: WALL_CLOCK_START_S + self._environment.loop.time() + self.wall_offset_s,
            lambda: "one",
            self._listen,
            lambda _: self.disk,
        )

    def _listen(self, address: Address) -> Listener:
        if self.shared_listener is not None and address == self.address:
            return InheritedListener(self.shared_listener)
        return self._environment.network.listen(address)

    def _observe(self, platform: PlatformForwarder) -> None:
        """Report to the checks when the decision module gives up a message, which traffic does not show."""
        engine, environment = platform.engine, self._environment
        module = engine._forwarder
        handle = module.handle

        def observed(now: float, events: Iterable[Event]) -> list[Action]:
            actions = handle(now, events)
            for action in actions:
                if not isinstance(action, Reject | Fail):
                    continue
                if (entry := engine.messages.open_messages.get(action.ref)) is not None:
                    environment.checks.on_given_up(environment.trace.now, entry.id)
            return actions

        module.handle = observed  # type: ignore[method-assign]

    def _connect_to_owner(self, process: Process) -> VirtualHandoverConnection:
        """Connect a process to the state folder's owner; raises ConnectionRefusedError if there is none."""
        server, owner, network = self._handover_server, self._process, self._environment.network
        if server is None or owner is None or not owner.alive:
            raise ConnectionRefusedError
        assert isinstance(network, Network)  # plans for real sockets have no takeovers
        local, remote = connect_pair(network, process, owner)
        self._run_in_process(server.serve(remote), owner)
        return local

    # Actions of operators.

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        if self._process is not None:
            self._process.kill()

    def terminate(self) -> None:
        """Send SIGTERM to the process, and SIGKILL after `TERM_TIMEOUT_S` if it still runs."""
        process, platform = self._process, self.platform
        if process is None or not process.alive or platform is None or self._stopping_since is not None:
            return
        self._begin_stop()

        async def stop() -> None:
            await platform.stop()
            process.kill()

        self._run_in_process(stop(), process)
        self._environment.network.call_later(TERM_TIMEOUT_S, process.kill)

    def reload(self) -> None:
        """Act as on a SIGHUP after the configuration got the directory's current address."""
        environment, platform, process = self._environment, self.platform, self._process
        if process is None or not process.alive or platform is None:
            return
        now, address = environment.trace.now, environment.directory_address
        if environment.directory_serves_until(now + MOVE_ASSUMED_RECEIVED_S):
            environment.checks.on_directory_moved(now, self.name)

        async def move() -> None:
            platform.change_address(address)

        self._run_in_process(move(), process)

    def take_over(self, kill: str, kill_delay_s: float) -> None:
        """Start a second process that takes over from the one that serves.

        With `kill` = `kill-old` or `kill-new`, the first or the second process is killed after `kill_delay_s`
        seconds. With an empty `kill`, neither is killed.
        """
        owner = self._process
        is_stopping = self._stopping_since is not None
        if owner is None or not owner.alive or self._successor is not None or is_stopping:
            return
        process = self._successor = self._new_process()
        self._environment.trace.record(TraceEvent.SUCCESSOR_STARTED, self.name)
        self._run_in_process(self._boot(process, takes_over=True), process)
        if kill:
            victim = owner if kill == KILL_PREDECESSOR else process
            self._environment.network.call_later(kill_delay_s, victim.kill)

    def set_draining(self, is_draining: bool) -> None:
        """Begin or stop asking clients to disconnect."""
        if self.platform is not None:
            self.platform.server.drain(is_draining)


async def _end_after_handover(process: Process, server: HandoverServer) -> None:
    """End the process of a predecessor once its part in the takeover is complete."""
    await server.ended.wait()
    process.kill()
