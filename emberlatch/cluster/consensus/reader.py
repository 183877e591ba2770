"""Linearizable reads of the state: a majority of the voters confirms that nothing newer is chosen."""

from __future__ import annotations

import asyncio
import contextlib

from emberlatch.cluster.consensus.coordinator import ProposalCoordinator
from emberlatch.cluster.consensus.errors import UndecidedError, UnreachableError
from emberlatch.cluster.consensus.proposer import ReadOutcome, ReadRound
from emberlatch.cluster.consensus.replies import ReadState, Reply
from emberlatch.cluster.consensus.requests import Install, Request
from emberlatch.cluster.consensus.state import ControlState
from emberlatch.cluster.consensus.voter_client import VoterClient

READ_TIMEOUT_S = 2.0  # limit of one read, in addition to the time-outs of its callers
RETRY_BACKOFF_S = 0.002  # fixed part of the pause between two rounds; a random part is added


class StateReader:
    """Performs the reads of one process; concurrent calls of `read` share a read."""

    def __init__(self, client: VoterClient, coordinator: ProposalCoordinator) -> None:
        self._client, self._coordinator = client, coordinator
        self._current: asyncio.Task[ControlState] | None = None
        self._next: asyncio.Task[ControlState] | None = None

    async def read(self, timeout: float) -> ControlState:
        """Return a state that is at least as new as any that was chosen before this call.

        `timeout` is in seconds. Raises UndecidedError if too few voters reply within it.
        """
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(self._shared_read())
        except TimeoutError:
            raise UndecidedError("too few voters answer") from None

    async def read_durable(self, timeout: float) -> ControlState:
        """Like `read`; the returned state is also durable on as many disks as a decision needs."""
        try:
            async with asyncio.timeout(timeout):
                return await self._read(require_durable=True)
        except TimeoutError:
            raise UndecidedError("too few voters answer") from None

    def _shared_read(self) -> asyncio.Task[ControlState]:
        """Return a read that begins after this call.

        All calls that arrive during one read share the next read. The running read began before these calls,
        so it cannot confirm that its state is new enough for them.
        """
        if self._current is None or self._current.done():
            self._current, self._next = self._client.spawn(self._read(require_durable=False)), None
            return self._current
        if self._next is None:
            self._next = self._client.spawn(self._read_after(self._current))
        return self._next

    async def _read_after(self, previous: asyncio.Task[ControlState]) -> ControlState:
        await asyncio.wait({previous})
        self._current, self._next = asyncio.current_task(), None
        return await self._read(require_durable=False)

    async def _read(self, require_durable: bool) -> ControlState:
        loop, register = asyncio.get_running_loop(), self._client.register
        deadline, rounds = loop.time() + READ_TIMEOUT_S, 0
        while loop.time() < deadline:
            state = register.state
            if state.version > 0:
                outcome = await self._read_round(state, require_durable)
                if outcome is ReadOutcome.CONFIRMED:
                    return state
                if outcome is ReadOutcome.PENDING:
                    await self._coordinator.attempt(())  # complete the batch that may be chosen
            rounds += 1
            await asyncio.sleep(RETRY_BACKOFF_S + self._coordinator.backoff_s(rounds))
        raise UndecidedError("too few voters answer")

    async def _read_round(self, state: ControlState, require_durable: bool) -> ReadOutcome:
        client = self._client
        read = ReadRound(state, client.quorum(state), require_durable)

        def receive(reply: Reply) -> Request | None:
            read.receive(reply)
            lacks = isinstance(reply, ReadState) and reply.version < state.version
            return Install(state) if require_durable and lacks else None

        await client.call_voters(state, read.request(), receive, lambda: read.outcome is not ReadOutcome.OPEN)
        if read.outcome is ReadOutcome.BEHIND and read.newer_voter is not None:
            with contextlib.suppress(UnreachableError):
                await client.fetch(client.transport.node_of(read.newer_voter) or read.newer_voter.node)
        return read.outcome
