"""A simulated day of the control plane.

Operators change and read the configuration while faults are injected. At the end all faults are healed, and
the answers to the operators and the states of the machines are verified.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from emberlatch.cluster.consensus.maintenance import FaultTolerance
from emberlatch.cluster.consensus.state import Ballot, ControlState, Voter
from emberlatch.faults.loop import close_loop
from emberlatch.simulation.control_disk import Files, Identity, SimulatedDisk, Vote
from emberlatch.simulation.control_faults import ControlFaultInjector
from emberlatch.simulation.control_machine import MAX_DRIFT, ControlEnvironment, ControlMachine
from emberlatch.simulation.control_network import ControlNetwork, DriftingLoop, Frame
from emberlatch.simulation.control_operators import Operator, SentConfigurations
from emberlatch.simulation.control_plan import MAX_MACHINES, DayPlan

OPERATOR_PAUSE_S = 0.4  # mean seconds between two calls of an operator
BUSY_PAUSE_S = 0.04  # mean seconds between two calls on a day with a required number of changes
MAX_DAY_S = 240.0  # seconds after which a day stops waiting for its required number of changes
POLL_S = 0.2  # seconds between two checks of a condition
LAST_CHANGE_TIMEOUT_S = 30.0
AGREEMENT_TIMEOUT_S = 30.0
RESTART_PERIOD_S = 2.0  # seconds after all faults are healed, in which machines that are down restart


@dataclass(frozen=True)
class DayResult:
    """The outcome of a day. `failures` describes every failure; it is empty if the day passed."""

    seed: int
    failures: tuple[str, ...]
    confirmed: int  # number of revisions that were confirmed
    version: int  # the newest version of the control state
    steps: int  # number of callbacks that ran; the same in every run of a seed
    seconds: float  # simulated duration
    withheld_disk_losses: int
    trace: tuple[str, ...]


@dataclass
class Agreement:
    """Checks that all processes that learn a version of the control state learn the same state.

    `states` has, for each version, the first process that learned it, and the state.
    """

    states: dict[int, tuple[str, ControlState]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def state_learned(self, node: str, state: ControlState) -> None:
        """Record that a process has learned a state; a different state of the same version is a failure."""
        first_node, first = self.states.setdefault(state.version, (node, state))
        if first is not state and first != state:
            self.failures.append(
                f"two different states of version {state.version}: learned by {first_node} and by {node}"
            )


class Day:
    """Runs the simulated day that a plan describes."""

    def __init__(self, plan: DayPlan) -> None:
        self.plan = plan
        self.loop = DriftingLoop()
        self.started_at = self.loop.time()
        self.rng = random.Random(f"day {plan.seed}")
        self.agreement = Agreement()
        self.machines: dict[str, ControlMachine] = {}
        network = ControlNetwork(
            self.loop, random.Random(f"network {plan.seed}"), plan.link_conditions, self._deliver
        )
        seeds = tuple(sorted(Voter(f"m{n}.address", "") for n in range(plan.seeds)))
        tolerance = FaultTolerance(machines=plan.tolerated_losses)
        self.environment = ControlEnvironment(
            self.loop, network, tolerance, seeds, plan.seed, self.agreement.state_learned
        )
        self.sent = SentConfigurations()
        self.failures: list[str] = []
        for n in range(plan.machines):
            self._add_machine(f"m{n}", f"z{n % plan.zones}", n < plan.seeds)
        self.faults = ControlFaultInjector(
            self.environment, plan, self.machines, self._new_machine, MAX_MACHINES
        )

    def _deliver(self, name: str, frame: Frame) -> None:
        machine = self.machines.get(name)
        if machine is not None:
            machine.receive(frame)

    def _add_machine(self, name: str, zone: str, is_seed: bool) -> ControlMachine:
        seed = self.plan.seed
        disk = SimulatedDisk(random.Random(f"disk {seed} {name}"))
        rate = 1.0 + self.rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        machine = ControlMachine(
            self.environment, name, zone, is_seed, lambda: self._other_names(name), disk, rate
        )
        self.machines[name] = machine
        return machine

    def _other_names(self, name: str) -> list[str]:
        return [other for other, machine in self.machines.items() if other != name and not machine.removed]

    def _new_machine(self, zone: str) -> ControlMachine:
        """Add and start a machine with an empty disk while the system runs."""
        machine = self._add_machine(f"m{len(self.machines)}", zone, False)
        machine.first_start = False
        machine.start()
        return machine

    def _start_machines(self) -> None:
        machines = list(self.machines.values())
        for number in self.plan.used_disks:
            machines[number].disk.files = self._files_of_earlier_start(machines[number])
        for machine, start in zip(machines, self.plan.starts, strict=True):
            if start is None:
                machine.removed = True
            else:
                machine.call_later(start, machine.start)

    def _files_of_earlier_start(self, machine: ControlMachine) -> Files:
        """The files that are on a disk after an earlier, failed start of the system."""
        if not machine.is_seed:
            return Files(Identity("earlier", None), ControlState())
        state = ControlState(voters=self.environment.founding_voters)
        return Files(Identity("earlier", machine.address), state, Vote(1, Ballot(3, "earlier"), None))

    def operator(self, name: str, loss_share: float) -> Operator:
        """Create an operator; `loss_share` is the share of its requests, and of answers, that are lost."""
        rng = random.Random(f"operator {self.plan.seed} {name}")
        return Operator(name, self.loop, rng, self.sent, self.faults.present_machines, loss_share)

    async def run(self) -> None:
        """Play the day from the first start to the verification."""
        plan = self.plan
        self._start_machines()
        pause_s = BUSY_PAUSE_S if plan.changes else OPERATOR_PAUSE_S
        loss_share = self.rng.choice((0.0, 0.05) if plan.changes else (0.0, 0.05, 0.2))
        operators = [self.operator(f"o{n}", loss_share).run(pause_s) for n in range(plan.operators)]
        tasks = [self.loop.create_task(work) for work in [*operators, self.faults.run()]]
        await asyncio.sleep(plan.duration_s)
        while len(self.sent.confirmed) < plan.changes and self.loop.time() < self.started_at + MAX_DAY_S:
            await asyncio.sleep(POLL_S)
        self.faults.inject_closing_fault(plan.closing_fault)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await self._verify_recovery()

    async def _verify_recovery(self) -> None:
        """Heal all faults; then a last change must be confirmed and read, and the machines must agree."""
        self.faults.heal()
        await asyncio.sleep(RESTART_PERIOD_S)
        operator = self.operator("last", 0.0)
        revision = self.sent.highest_revision + 10
        text = self.sent.new_text(revision, "last")

        async def change_confirmed() -> bool:
            return await operator.replace(self._running_machine(), text) == 200

        async def change_read() -> bool:
            answer = await operator.retrieve(self._running_machine())
            return answer is not None and answer.revision >= revision

        await self._eventually(LAST_CHANGE_TIMEOUT_S, change_confirmed, "the last change was not confirmed")
        await self._eventually(LAST_CHANGE_TIMEOUT_S, change_read, "the last change was not read")
        await self._eventually(AGREEMENT_TIMEOUT_S, self._agreed, "the machines did not agree on one state")

    async def _eventually(self, seconds: float, attempt: Callable[[], Awaitable[bool]], failure: str) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            if await attempt():
                return
            await asyncio.sleep(POLL_S)
        self.failures.append(f"{failure} within {seconds:g} s")

    def _running_machine(self) -> ControlMachine:
        running = [machine for machine in self.faults.present_machines() if machine.has_process]
        return self.rng.choice(running or self.faults.present_machines())

    async def _agreed(self) -> bool:
        """Whether all present machines run, know the same state and have it on disk."""
        states = []
        for machine in self.faults.present_machines():
            if machine.incarnation is None:
                return False
            states += [machine.incarnation.service.state, machine.disk.files.state]
        return all(state == states[0] for state in states)

    def result(self) -> DayResult:
        """The outcome of the day, with all failures and violations that were found."""
        violations = self.sent.history.violations()
        failures = [*self.failures, *self.agreement.failures, *self.loop.failures]
        failures += [f"{found.rule.value}: {found.calls}" for found in violations]
        return DayResult(
            self.plan.seed,
            tuple(failures),
            len(self.sent.confirmed),
            max(self.agreement.states, default=0),
            self.loop.steps,
            self.loop.time() - self.started_at,
            self.faults.withheld_disk_losses,
            tuple(self.faults.trace),
        )


def play(plan: DayPlan) -> DayResult:
    """Play a day to its end."""
    day = Day(plan)
    try:
        day.loop.run_until_complete(day.run())
        return day.result()
    finally:
        close_loop(day.loop)
