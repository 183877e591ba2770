"""Has commands decided: queues submitted commands and proposes them in batches, one version after another.

The first reachable voter with a disk is the preferred proposer. Other processes delegate commands to it, so
that proposers seldom collide. This is only an optimization: safety depends on the ballots alone.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from emberlatch.cluster.consensus.commands import Batch, Command, CreateVoterGroup, SetVoters
from emberlatch.cluster.consensus.errors import UndecidedError, UnreachableError
from emberlatch.cluster.consensus.proposer import Proposer, Stage
from emberlatch.cluster.consensus.replies import Declined, Learned, Reply
from emberlatch.cluster.consensus.requests import Submit
from emberlatch.cluster.consensus.state import Ballot, ControlState
from emberlatch.cluster.consensus.voter_client import VoterClient

DELEGATION_TIMEOUT_S = 0.3  # time that the preferred proposer has to get a batch decided
BASE_BACKOFF_S = 0.004  # the random backoff is at most BASE_BACKOFF_S * 2 ** collisions
MAX_BACKOFF_S = 0.12
MAX_DOUBLINGS = 10  # limit of the exponent in the bound of the backoff
MAX_BATCH_COMMANDS = 64
MAX_PENDING_COMMANDS = 1024


@dataclass(slots=True)
class _PendingCommand:
    """A command that is not decided yet, and the future that its submitter awaits."""

    command: Command
    done: asyncio.Future[ControlState]


class ProposalCoordinator:
    """Proposes for one process. `proposer_id` is unique to this incarnation of the process."""

    def __init__(self, client: VoterClient, proposer_id: str, random_source: random.Random) -> None:
        self._client, self._register = client, client.register
        self._proposer_id, self._random = proposer_id, random_source
        record = client.register.record
        promised = record.promised if record is not None else None
        self._round = promised.round if promised is not None else 0
        self._pending: list[_PendingCommand] = []
        self._proposing = False

    async def submit(self, command: Command, timeout: float) -> ControlState:
        """Have a command decided; returns a state in which it was applied or superseded.

        `timeout` is in seconds. Raises UndecidedError if the outcome is not known by then; the command may
        still be decided later.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        preferred = self._preferred_proposer()
        is_remote = preferred != self._register.local_voter.node
        if preferred is not None and is_remote and not self._is_final(command):
            await self._delegate(preferred, (command,))
        return await self._decide(command, deadline - loop.time())

    async def serve_submit(self, request: Submit) -> Reply:
        """Propose commands that another process has delegated to this one."""
        voter = self._register.local_voter
        try:
            states = await asyncio.gather(
                *(self._decide(command, DELEGATION_TIMEOUT_S) for command in request.batch)
            )
        except UndecidedError as error:
            return Declined(voter, str(error))
        return Learned(voter, max(state.version for state in states))

    def _is_final(self, command: Command) -> bool:
        """Whether a command can no longer change the state, because it was applied or superseded."""
        state = self._register.state
        return state.version > 0 and command.apply(state) is state

    def _preferred_proposer(self) -> str | None:
        reachable = {*self._client.transport.reachable_nodes(), self._register.local_voter.node}
        voters = (voter for voter in self._register.state.voters if not voter.is_witness)
        return next((voter.node for voter in voters if voter.node in reachable), None)

    async def _delegate(self, node: str, batch: Batch) -> None:
        """Have another process propose a batch. Failures are ignored: the caller then proposes the batch."""
        try:
            reply = await self._client.call(node, Submit(batch), DELEGATION_TIMEOUT_S)
            if isinstance(reply, Learned) and reply.version > self._register.state.version:
                await self._client.fetch(node)
        except UnreachableError:
            pass

    async def _decide(self, command: Command, timeout: float) -> ControlState:
        """Queue a command for this process's own proposals, and wait until the command is final."""
        if len(self._pending) >= MAX_PENDING_COMMANDS:
            raise UndecidedError("too many commands are pending")
        pending = _PendingCommand(command, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        self._complete_final()
        if not self._proposing and self._pending:
            self._proposing = True
            self._client.spawn(self._propose())
        try:
            async with asyncio.timeout(timeout):
                return await pending.done
        except TimeoutError:
            raise UndecidedError("too few voters answer") from None
        finally:
            if pending in self._pending:
                self._pending.remove(pending)

    async def _propose(self) -> None:
        """Propose batches until no command is pending."""
        collisions = 0
        try:
            while self._pending:
                decided = await self.attempt(self._next_batch())
                self._complete_final()
                collisions = 0 if decided else collisions + 1
                if not decided:
                    await asyncio.sleep(self.backoff_s(collisions))
        finally:
            self._proposing = False

    def _next_batch(self) -> Batch:
        """Return the commands to propose next; a change of voters is proposed alone.

        Otherwise the group that the change replaces could decide other commands of the same batch.
        """
        commands = [pending.command for pending in self._pending]
        if self._register.state.version == 0:
            founding = next((command for command in commands if isinstance(command, CreateVoterGroup)), None)
            return () if founding is None else (founding,)
        if isinstance(commands[0], SetVoters):
            return (commands[0],)
        others = [command for command in commands if not isinstance(command, SetVoters)]
        return tuple(others[:MAX_BATCH_COMMANDS])

    def backoff_s(self, collisions: int) -> float:
        """Return a random number of seconds to wait; its bound grows exponentially with `collisions`."""
        bound = BASE_BACKOFF_S * 2.0 ** min(collisions, MAX_DOUBLINGS)
        return self._random.uniform(0, min(MAX_BACKOFF_S, bound))

    def _complete_final(self) -> None:
        """Complete the futures of commands that are final."""
        for pending in list(self._pending):
            if self._is_final(pending.command):
                self._pending.remove(pending)
                if not pending.done.done():
                    pending.done.set_result(self._register.state)

    async def attempt(self, batch: Batch) -> bool:
        """Make one attempt to decide the next version; returns whether that version is decided now."""
        state = self._register.state
        if not state.voters or (state.version == 0 and not batch):
            return False  # version 1 can only be the founding, which the maintenance loop submits
        self._round += 1
        ballot = Ballot(self._round, self._proposer_id)
        proposer = Proposer(state, self._client.quorum(state), ballot, batch)
        await self._run_phase(proposer, Stage.PREPARING)
        if proposer.stage is Stage.ACCEPTING:
            await self._run_phase(proposer, Stage.ACCEPTING)
        return await self._conclude(proposer)

    async def _run_phase(self, proposer: Proposer, stage: Stage) -> None:
        """Call all voters until the stage changes, or the phase times out."""
        await self._client.call_voters(
            proposer.state, proposer.request(), proposer.receive, lambda: proposer.stage is not stage
        )

    async def _conclude(self, proposer: Proposer) -> bool:
        """Learn and announce the outcome of an attempt; returns whether the version is decided."""
        register = self._register
        if proposer.preempting_ballot is not None:
            self._round = max(self._round, proposer.preempting_ballot.round)
        if proposer.stage is Stage.CHOSEN:
            learn = proposer.learn()
            await register.learn_batch(proposer.state, learn.batch)
            self._client.announce(list(self._client.transport.reachable_nodes()), learn)
            return True
        if proposer.stage is not Stage.SUPERSEDED:
            return False
        if proposer.newer_state is not None:
            await register.learn(proposer.newer_state)
        elif proposer.decision is not None:
            await register.learn_batch(proposer.state, proposer.decision)
        return True
