"""Fault injection for a simulated day of the control plane, bounded by the tolerated losses."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from emberlatch.cluster.consensus.proposer import Quorum
from emberlatch.cluster.consensus.state import ControlState, DecommissionMark, Voter
from emberlatch.simulation.control_machine import ControlEnvironment, ControlMachine, ProcessIncarnation
from emberlatch.simulation.control_plan import (
    FAULT_WEIGHTS,
    ClosingFault,
    DayPlan,
    FaultKind,
    draw_cut_duration,
    draw_link_conditions,
)

DISK_RECOVERY_S = 4.5  # seconds after its restart for which a machine that lost its disk counts as lost
CALL_TIMEOUT_S = 2.5
MAX_POWER_OFF_ALL_S = 1.5  # longest time without power if all machines lose it, in seconds


@dataclass
class ControlFaultInjector:
    """Injects faults. `add_machine` adds a machine with an empty disk to a zone."""

    environment: ControlEnvironment
    plan: DayPlan
    machines: dict[str, ControlMachine]
    add_machine: Callable[[str], ControlMachine]
    max_machines: int
    rng: random.Random = field(init=False)
    trace: list[str] = field(default_factory=list)
    withheld_disk_losses: int = 0  # disk losses not injected because the voters had not recovered in time
    _decommissioning: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"faults {self.plan.seed}")

    async def run(self) -> None:
        """Inject random faults until cancelled."""
        kinds = list(self.plan.fault_kinds)
        weights = [FAULT_WEIGHTS[kind] for kind in kinds]
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.plan.fault_pause_s))
            self.inject(self.rng.choices(kinds, weights)[0])

    def inject(self, kind: FaultKind) -> None:
        """Inject one fault at a random machine."""
        present = self.present_machines()
        machine = self.rng.choice(present)
        self._note(f"{kind.value} {machine.name}")
        self._handlers()[kind](machine)

    def _handlers(self) -> dict[FaultKind, Callable[[ControlMachine], None]]:
        return {
            FaultKind.KILL: self._kill,
            FaultKind.POWER_OFF: lambda machine: machine.power_off(self.rng.uniform(0.2, 4.0)),
            FaultKind.POWER_OFF_ALL: lambda _: self.power_off_all(),
            FaultKind.KILL_ALL: lambda _: self.kill_all(),
            FaultKind.LOSE_DISK: self.lose_disk,
            FaultKind.REPLACE_MACHINE: self._replace_machine,
            FaultKind.ADD_MACHINE: self._add_new_machine,
            FaultKind.DECOMMISSION: self._start_decommission,
            FaultKind.FREEZE: lambda machine: machine.freeze(self.rng.uniform(0.2, 8.0)),
            FaultKind.ISOLATE: lambda machine: self._isolate([machine], True),
            FaultKind.ISOLATE_ONE_WAY: lambda machine: self._isolate([machine], False),
            FaultKind.ISOLATE_ZONE: self._isolate_zone,
            FaultKind.PARTITION: self._partition,
            FaultKind.STALL_DISK: self._stall_disk,
            FaultKind.FAIL_DISK: self._fail_disk,
            FaultKind.CHANGE_LINK_CONDITIONS: self._change_link_conditions,
        }

    def present_machines(self) -> list[ControlMachine]:
        """All machines that have not been removed."""
        return [machine for machine in self.machines.values() if not machine.removed]

    def _note(self, text: str) -> None:
        self.trace.append(f"{self.environment.loop.time():9.3f} {text}")

    # Kills and losses of power.

    def _kill(self, machine: ControlMachine) -> None:
        machine.kill()
        machine.call_later(self.rng.uniform(0.2, 2.0), machine.start)

    def power_off_all(self) -> None:
        """Power off all machines that have started; each restarts after its own random delay."""
        for machine in self.present_machines():
            if machine.start_count:
                machine.power_off(self.rng.uniform(0.2, MAX_POWER_OFF_ALL_S))

    def kill_all(self) -> None:
        """Kill all processes at once; each restarts after its own random delay."""
        for machine in self.present_machines():
            if machine.start_count:
                self._kill(machine)

    # Disks.

    def lose_disk(self, machine: ControlMachine) -> None:
        """Restart a machine with an empty disk, unless that would exceed the tolerated losses."""
        if self._may_lose_disk(machine, permanently=False):
            self._note(f"{machine.name} loses its disk")
            seconds = self.rng.uniform(0.3, 3.0)
            machine.power_off(seconds)
            machine.disk.lose()
            machine.lost_until = self.environment.loop.time() + seconds + DISK_RECOVERY_S

    def _replace_machine(self, machine: ControlMachine) -> None:
        if len(self.present_machines()) >= 3 and self._may_lose_disk(machine, permanently=True):
            self._note(f"{machine.name} is removed")
            machine.power_off(None)
            seconds = self.rng.uniform(0.6, 3.0)
            machine.lost_until = self.environment.loop.time() + seconds + DISK_RECOVERY_S
            machine.call_later(seconds, lambda: self._note(f"{self.add_machine(machine.zone).name} is added"))

    def _may_lose_disk(self, machine: ControlMachine, permanently: bool) -> bool:
        """Whether the tolerated losses cover the loss of this disk too.

        A machine that has not started yet counts as lost. A machine that lost its disk counts as lost until
        `lost_until`. The voters may not have recovered by then, because links were cut. Therefore the group
        of voters that each other machine has on its disk must allow the loss too.
        """
        now = self.environment.loop.time()
        others = [other for other in self.machines.values() if other is not machine]
        lost = sum(other.lost_until > now or other.start_count == 0 for other in others)
        if (
            lost + 1 > self.plan.tolerated_losses
            or machine.start_count == 0
            or machine.disk.files.identity is None
        ):
            return False
        states = [other.disk.files.state for other in self.present_machines() if other is not machine]
        if not any(state is not None and state.version for state in states):
            # The seeds have not founded the group yet.
            states.append(ControlState(voters=self.environment.founding_voters))
        tolerated = all(self._tolerates_loss(state, machine, permanently) for state in states)
        if not tolerated:
            self.withheld_disk_losses += 1
            self._note(f"{machine.name} may not lose its disk: the group has not recovered")
        return tolerated

    def _tolerates_loss(self, state: ControlState | None, machine: ControlMachine, permanently: bool) -> bool:
        if state is None or not state.voters:
            return True
        empty = {voter for voter in state.voters if not self._has_intact_disk(voter)}
        removed = {voter for voter in empty if self._is_removed(voter)}
        for voter in state.voters:
            if self._is_hosted_by(voter, machine):
                (removed if permanently else empty).add(voter)
        empty |= removed
        if len(empty) > self.plan.tolerated_losses:
            return False
        lost = frozenset(voter for voter in empty - removed if voter.identity)
        disks = self.plan.tolerated_losses + 1 if state.version else 1
        quorum = Quorum(state.voters, lost, disks)
        remaining = set(state.voters) - empty
        return quorum.satisfies_prepare(remaining) and quorum.satisfies_accept(remaining)

    def _is_hosted_by(self, voter: Voter, machine: ControlMachine) -> bool:
        return voter.node == (machine.name if voter.identity else machine.address)

    def _has_intact_disk(self, voter: Voter) -> bool:
        for machine in self.present_machines():
            identity = machine.disk.files.identity
            if self._is_hosted_by(voter, machine) and machine.first_start:
                return not voter.identity  # the machine has not had its first start
            if self._is_hosted_by(voter, machine) and identity is not None:
                return (
                    identity.identity == voter.identity
                    if voter.identity
                    else identity.founding_address is not None
                )
        return False

    def _is_removed(self, voter: Voter) -> bool:
        return not any(self._is_hosted_by(voter, machine) for machine in self.present_machines())

    def _stall_disk(self, machine: ControlMachine) -> None:
        until = self.environment.loop.time() + self.rng.uniform(0.2, 3.0)
        machine.disk.stalled_until = max(until, machine.disk.stalled_until)

    def _fail_disk(self, machine: ControlMachine) -> None:
        machine.disk.failing = True
        machine.call_later(self.rng.uniform(0.3, 5.0), functools.partial(self._repair_disk, machine))

    def _repair_disk(self, machine: ControlMachine) -> None:
        machine.disk.failing = False

    # Planned additions and removals of machines.

    def _add_new_machine(self, machine: ControlMachine) -> None:
        if len(self.present_machines()) < self.max_machines:
            self._note(f"{self.add_machine(machine.zone).name} is added")

    def _start_decommission(self, machine: ControlMachine) -> None:
        staying = len(self.present_machines()) - len(self._decommissioning)
        if staying > max(3, self.plan.tolerated_losses + 2) and machine.name not in self._decommissioning:
            self._decommissioning.add(machine.name)
            self.environment.loop.create_task(self._decommission(machine))

    async def _decommission(self, machine: ControlMachine) -> None:
        """Decommission a machine: mark it, report it as empty once it has no vote, then remove it."""
        name = machine.name
        for mark in (DecommissionMark.MARKED, DecommissionMark.EMPTY):
            while not await self._advance(name, mark):
                await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        while not await self._call_machine(
            lambda incarnation: incarnation.state_client.is_decommissioned(name)
        ):
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
        self._note(f"{name} is decommissioned and removed")
        machine.power_off(None)
        self._decommissioning.discard(name)

    async def _advance(self, name: str, mark: DecommissionMark) -> bool:
        async def advance(incarnation: ProcessIncarnation) -> bool:
            if mark is DecommissionMark.EMPTY and incarnation.service.state.voter(name) is not None:
                return False
            return await incarnation.state_client.advance_decommission(name, mark)

        return await self._call_machine(advance)

    async def _call_machine(self, work: Callable[[ProcessIncarnation], Awaitable[bool]]) -> bool:
        """Run `work` on a random machine and return its result; False if there is no response in time."""
        response: asyncio.Future[bool] = self.environment.loop.create_future()

        async def serve(incarnation: ProcessIncarnation) -> None:
            result = await work(incarnation)
            if not response.done():
                response.set_result(result)

        def begin(incarnation: ProcessIncarnation) -> None:
            incarnation.run(serve(incarnation))

        self.rng.choice(self.present_machines()).enter(begin)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await response
        except TimeoutError:
            return False

    # Links.

    def _isolate(self, isolated: list[ControlMachine], both_ways: bool) -> None:
        rest = [machine.name for machine in self.present_machines() if machine not in isolated]
        names = [machine.name for machine in isolated]
        until = self.environment.loop.time() + draw_cut_duration(self.rng)
        network = self.environment.network
        outgoing = both_ways or self.rng.random() < 0.5
        if outgoing:
            network.block(names, rest, until)
        if both_ways or not outgoing:
            network.block(rest, names, until)
        self._note(
            f"cut off {' '.join(names)} until {until:.3f} s, both ways: {both_ways}, outgoing: {outgoing}"
        )

    def _isolate_zone(self, machine: ControlMachine) -> None:
        self._isolate([other for other in self.present_machines() if other.zone == machine.zone], True)

    def _partition(self, machine: ControlMachine) -> None:
        present = self.present_machines()
        self._isolate(self.rng.sample(present, len(present) // 2), self.rng.random() < 0.8)

    def _change_link_conditions(self, machine: ControlMachine) -> None:
        self.environment.network.link_conditions = draw_link_conditions(self.rng)

    # End of the day.

    def inject_closing_fault(self, closing: ClosingFault) -> None:
        """Inject the last fault of the day."""
        self._note(f"closing: {closing.value}")
        machine = self.rng.choice(self.present_machines())
        if closing in (ClosingFault.POWER_OFF_ALL, ClosingFault.LOSE_DISK_AND_POWER_OFF_ALL):
            self.power_off_all()
        if closing is ClosingFault.KILL_ALL:
            self.kill_all()
        if closing in (ClosingFault.LOSE_DISK, ClosingFault.LOSE_DISK_AND_POWER_OFF_ALL):
            self.lose_disk(machine)

    def heal(self) -> None:
        """Repair links and disks and resume frozen processes; machines without power restart on their own."""
        self._note("all faults are healed")
        self.environment.network.heal()
        for machine in self.present_machines():
            self._repair_disk(machine)
            machine.disk.stalled_until = 0.0
            machine.thaw()
