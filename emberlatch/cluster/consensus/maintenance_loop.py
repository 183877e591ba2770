"""Maintains the group of voters: founds it, learns newer states, and has due changes decided.

Every process with a disk runs the loop; concurrent loops are safe. The functions of `maintenance` compute
which change is due. Because of random pauses, the processes do not all propose it at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Mapping
from typing import Protocol

from emberlatch.cluster.consensus.commands import Command, CreateVoterGroup
from emberlatch.cluster.consensus.errors import UndecidedError, UnreachableError
from emberlatch.cluster.consensus.maintenance import (
    FaultTolerance,
    MemberReport,
    founding_command,
    member_to_join,
    next_change,
)
from emberlatch.cluster.consensus.requests import Install
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import ControlState, Voter

STEP_INTERVAL_S = (0.2, 0.4)  # bounds of the random pause between two steps
MAX_PROPOSAL_DELAY_S = 0.3  # bound of the random delay before a due change is proposed
PROPOSAL_TIMEOUT_S = 2.0
USUAL_SEED_COUNT = 3  # fewer seeds than this are taken to be all machines of the cluster
FOUNDING_WAIT_PER_MEMBER_S = 4.0  # wait for each missing member before a smaller group is founded


class MembershipView(Protocol):
    """The information that this process has about the machines with a disk, itself included."""

    def reports(self) -> Mapping[str, MemberReport]:
        """Return a report on every known machine with a disk and on every voter, by node.

        Besides these, there are a few processes without a disk that may become witnesses.

        Voters that never contacted this incarnation are included. Otherwise a voter that stays unreachable
        after all processes have restarted would never be replaced.
        """

    def founding_voters(self) -> tuple[Voter, ...]:
        """Return the seeds, which vote on the founding."""

    def now(self) -> float:
        """Return the time of a monotonic clock in seconds."""


class MaintenanceLoop:
    """The loop of one process. `tolerance` says which losses the group has to tolerate."""

    def __init__(
        self,
        service: ControlService,
        view: MembershipView,
        tolerance: FaultTolerance,
        random_source: random.Random,
    ) -> None:
        self._service, self._view, self._tolerance, self._random = service, view, tolerance, random_source
        self._started_at = view.now()
        self._cluster = f"{random_source.getrandbits(64):016x}"  # the cluster's name if founded by this loop

    async def run(self) -> None:
        """Perform steps until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*STEP_INTERVAL_S))
            await self.step()

    async def step(self) -> None:
        """Exchange newer states with other machines, and have the change that is due decided."""
        await self._learn()
        await self._update_witnesses()
        due = self._due_change()
        if due is None:
            return
        await asyncio.sleep(self._random.uniform(0, MAX_PROPOSAL_DELAY_S))
        if self._due_change() == due:  # it was not decided in the meantime
            with contextlib.suppress(UndecidedError):  # the next step tries again
                await self._service.submit(due, PROPOSAL_TIMEOUT_S)

    async def _learn(self) -> None:
        """Learn the newest state of the reachable machines of the cluster; join a cluster if in none."""
        register, client, state = self._service.register, self._service.client, self._service.state
        others = [m for m in self._view.reports().values() if m.reachable and m.voter != register.local_voter]
        with contextlib.suppress(UnreachableError):
            if state.version == 0:
                member = member_to_join(state, (m for m in others if not m.voter.is_witness))
                if member is not None:
                    await client.join(member.voter.node, member.cluster)
                return
            same_cluster = [m for m in others if m.cluster == state.cluster]
            newest = max(same_cluster, key=lambda member: member.version, default=None)
            if newest is not None and newest.version > self._local_version():
                await client.fetch(newest.voter.node)

    async def _update_witnesses(self) -> None:
        """Send the newest state to witnesses that lack it: they fetch none by themselves."""
        state = self._service.state
        if not state.witnesses:
            return
        reports = self._view.reports()
        for voter in state.witnesses:
            member = reports.get(voter.node)
            if member is not None and member.reachable and member.version < state.version:
                with contextlib.suppress(UnreachableError):  # the next step tries again
                    await self._service.client.call(voter.node, Install(state))

    def _local_version(self) -> int:
        """Return the version on disk, so that a state that could not be written is fetched again.

        Without a disk it is the newest known version.
        """
        register = self._service.register
        return register.record.state.version if register.record is not None else register.state.version

    def _due_change(self) -> Command | None:
        state = self._service.state
        if state.version > 0:
            return next_change(state, self._view.reports(), self._tolerance)
        return self._due_founding(state)

    def _due_founding(self, state: ControlState) -> CreateVoterGroup | None:
        """Return the command that founds the cluster: at once if the group is full, otherwise after a wait.

        The wait is for the missing members, as a smaller group tolerates fewer faults. A group of at most
        `tolerance.machines` voters is never founded: it would not tolerate the loss of that many machines.
        """
        if not self._may_found(state):
            return None
        command = founding_command(self._view.reports().values(), self._tolerance, self._cluster)
        if command is None or len(command.voters) <= self._tolerance.machines:
            return None
        if len(state.voters) < USUAL_SEED_COUNT and len(command.voters) == len(state.voters):
            return command  # the seeds are all machines, so there is no other to wait for
        missing = self._tolerance.voters - len(command.voters)
        waited_s = self._view.now() - self._started_at
        return command if waited_s >= missing * FOUNDING_WAIT_PER_MEMBER_S else None

    def _may_found(self, state: ControlState) -> bool:
        """Whether this machine votes on the founding, and its state has the seeds of its settings."""
        record = self._service.register.record
        if record is None or record.founding_voter is None or record.founding_voter not in state.voters:
            return False
        return state.voters == tuple(sorted(self._view.founding_voters()))
