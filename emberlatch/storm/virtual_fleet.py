"""Plays a plan in a simulation: the real code of links and membership on a virtual clock and network.

The simulation plays many seeds per second, and fleets larger than one machine could run as processes. It has
no messages and no partners. Effects that only a kernel has (half-open connections, buffers, SIGSTOP between
two system calls) occur only on real processes (`runner`). A blackholed link behaves like a partitioned one
here. Faults of the wall clock have no effect, because the code of the fleet never reads the wall clock.
Faults of the clock rate apply from the first start, whatever their `at`. Garbage is not simulated.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Coroutine

from emberlatch.engine import Machine, Tasks
from emberlatch.faults.disk import Disk
from emberlatch.faults.loop import VirtualLoop, close_loop
from emberlatch.faults.process import Process, current_process
from emberlatch.fleet import FleetService, FleetSettings, IsolationPolicy, ProcessEnvironment, QuotaShare
from emberlatch.storm.history import DUPLICATE_SUFFIX, RUNNER, EventKind, History, HistoryEvent
from emberlatch.storm.membership_rules import base_name
from emberlatch.storm.plan import Fault, FaultKind, Plan
from emberlatch.storm.virtual_network import FaultyNetwork

FLEET_PORT = 7000
START_RANGE_S = (0.4, 0.7)  # range from which the duration of a process's start is drawn
LEAVE_S = 0.3  # time from the command to leave until the process exits
FORMATION_S = 1.5  # time before the storm in which the members find each other
RECOVERY_MARGIN_S = 0.1  # time added to the longest start and the pending start delay before RECOVERED
COMPLETION_S = 12.0  # time from RECOVERED to COMPLETED, in which the members must see each other again


class VirtualMember:
    """One member, whose disk outlives its processes. `host` is its address in the simulated network."""

    def __init__(self, fleet: VirtualFleet, name: str) -> None:
        self._fleet, self.name, self.host = fleet, name, name
        self.disk, self.clock_rate, self.start_delay_s, self.incarnation = Disk(), 1.0, 0.0, 0
        self._process: Process | None = None
        self._service: FleetService | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the member has a process that is running or starting."""
        return self._process is not None and self._process.alive

    def _record_process_event(self, kind: EventKind, **payload: object) -> None:
        self._fleet.record(RUNNER, kind, member=self.name, **payload)

    def start(self) -> None:
        """Start a process on the current disk, unless one is alive; it runs after a drawn delay."""
        if self.is_alive:
            return
        self.incarnation += 1
        self.disk.restart()
        process = self._process = Process(self.host)
        process.on_death = lambda: self._record_process_event(EventKind.PROCESS_EXITED, life=self.incarnation)
        self._record_process_event(EventKind.PROCESS_STARTED, life=self.incarnation)
        delay_s, self.start_delay_s = self._fleet.rng.uniform(*START_RANGE_S) + self.start_delay_s, 0.0
        self._fleet.network.call_later(delay_s, self._run_in, process, self._boot())

    def _run_in(self, process: Process, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine as part of a process if the process is alive, otherwise close the coroutine."""
        if not process.alive:
            work.close()
            return
        context = contextvars.copy_context()
        context.run(current_process.set, process)
        self._fleet.loop.create_task(work, context=context)

    async def _boot(self) -> None:
        fleet, clock_rate, me = self._fleet, self.clock_rate, base_name(self.name)
        others = {name: (name, FLEET_PORT) for name in fleet.plan.member_names if name != me}
        policies = {"payout": IsolationPolicy.REDUCED_SHARE}
        settings = FleetSettings("storm", me, (self.host, FLEET_PORT), others, policies)
        machine = Machine(lambda: 0.0, lambda: "one", fleet.network.listen, lambda _: self.disk)
        environment = ProcessEnvironment(
            Tasks(),
            machine,
            clock=lambda: fleet.loop.time() * clock_rate,
            log_event=lambda event, **fields: fleet.record(self.name, event, **fields),
            seed=fleet.rng.getrandbits(64),
        )
        self._service = FleetService(settings, self.disk, self, environment)
        self._service.start()
        self._record_process_event(EventKind.SERVING, life=self.incarnation)

    def kill(self) -> None:
        """Kill the process immediately, as SIGKILL does."""
        if self._process is not None and self._process.alive:
            self._record_process_event(EventKind.KILLED)
            self._process.kill()

    def suspend(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        if self._process is not None and self._process.alive:
            self._process.suspend()
            self._record_process_event(EventKind.SUSPENDED)

    def resume(self) -> None:
        """Resume a suspended process, as SIGCONT does."""
        if self._process is not None and self._process.suspended_callbacks is not None:
            self._record_process_event(EventKind.RESUMED)
            self._process.resume(self._fleet.loop)

    def leave(self) -> None:
        """Make the process leave the fleet and exit, as SIGTERM does."""
        process, service = self._process, self._service
        if process is None or not process.alive or service is None:
            return
        self._record_process_event(EventKind.TERMINATED)
        self._run_in(process, service.leave())
        self._fleet.network.call_later(LEAVE_S, process.kill)

    def wipe(self) -> None:
        """Empty the disk."""
        self.disk.files.clear()
        self._record_process_event(EventKind.STATE_WIPED)

    # Callbacks of the member's fleet service.

    def on_quota_share(self, share: QuotaShare) -> None:
        """Do nothing: the share is recorded from the log events."""

    def on_endpoint_hold(self, target: str, seconds: float) -> None:
        """Do nothing: the simulation has no partners."""

    def on_endpoint_report(self, target: str, phase: int) -> None:
        """Do nothing: the simulation has no inventories."""

    def on_halt(self, reason: str) -> None:
        """End the process, because another process has its name."""
        assert self._process is not None
        self._fleet.network.call_later(0.0, self._process.kill)


class VirtualFleet:
    """Plays one storm in a simulation."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.loop = plan, VirtualLoop()
        self.network = FaultyNetwork(self.loop, plan)
        self.rng = random.Random(f"world {plan.seed}")
        self.history = History(plan)
        self.members = {name: VirtualMember(self, name) for name in plan.member_names}
        self.network.began_at = self.loop.time()

    def record(self, source: str, kind: str, /, **payload: object) -> None:
        """Add an event with the current virtual time to the history."""
        at = round(self.loop.time() - self.network.began_at, 4)
        self.history.events.append(HistoryEvent(at, source, kind, payload))

    async def run(self) -> None:
        """Start all members, play the plan, recover the members, and give them `COMPLETION_S` to heal."""
        for fault in self.plan.faults_of(FaultKind.CLOCK_RATE):
            for name in fault.subjects:
                self.members[name].clock_rate = fault.amount
        for member in self.members.values():
            member.start()
        await asyncio.sleep(FORMATION_S)
        self.network.began_at = self.loop.time()
        self.history.rebase(FORMATION_S)
        for fault in self.plan.faults:
            self.network.call_later(fault.at, self._begin, fault)
        await asyncio.sleep(self.plan.duration_s)
        self.record(RUNNER, EventKind.ALL_FAULTS_ENDED)
        for member in self.members.values():
            member.resume()
            member.start()
        start_delay_s = max(member.start_delay_s for member in self.members.values())
        await asyncio.sleep(START_RANGE_S[1] + start_delay_s + RECOVERY_MARGIN_S)
        self.record(RUNNER, EventKind.RECOVERED)
        await asyncio.sleep(COMPLETION_S)
        self.record(RUNNER, EventKind.COMPLETED)

    def _begin(self, fault: Fault) -> None:
        self.record(RUNNER, EventKind.FAULT_BEGAN, text=str(fault))
        if fault.kind == FaultKind.DISCONNECT:
            for one, other in fault.directions():
                self.network.disconnect(one, other)
        for name in fault.subjects:
            if name in self.members:
                self._begin_for_member(fault, self.members[name])

    def _begin_for_member(self, fault: Fault, member: VirtualMember) -> None:
        call_later = self.network.call_later
        match fault.kind:
            case FaultKind.KILL:
                member.kill()
                if fault.amount:
                    call_later(fault.amount, member.start)
            case FaultKind.WIPE:
                member.kill()
                member.wipe()
                call_later(fault.amount, member.start)
            case FaultKind.SUSPEND:
                member.suspend()
                call_later(fault.until - fault.at, member.resume)
            case FaultKind.TERMINATE | FaultKind.LEAVE:
                member.leave()
                call_later(LEAVE_S + 0.01, member.start)
            case FaultKind.SLOW_START:
                member.start_delay_s = fault.amount
            case FaultKind.DUPLICATE:
                duplicate = VirtualMember(self, f"{member.name}{DUPLICATE_SUFFIX}")
                self.record(RUNNER, EventKind.DUPLICATED, member=member.name)
                duplicate.start()
                call_later(self.plan.duration_s - fault.at, duplicate.kill)


def play_virtually(plan: Plan) -> History:
    """Play a plan in a simulation, and return its history; unhandled exceptions are recorded as FAILURE."""
    fleet = VirtualFleet(plan)
    try:
        fleet.loop.run_until_complete(fleet.run())
    finally:
        for failure in fleet.loop.failures:
            fleet.record(RUNNER, EventKind.FAILURE, text=failure)
        close_loop(fleet.loop)
    fleet.history.sort()
    return fleet.history
