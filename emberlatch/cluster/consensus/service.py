"""The entry point of a process to the replicated control state."""

from __future__ import annotations

import asyncio
import random

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.commands import Command
from emberlatch.cluster.consensus.coordinator import ProposalCoordinator
from emberlatch.cluster.consensus.ports import RegisterPorts, Storage
from emberlatch.cluster.consensus.reader import StateReader
from emberlatch.cluster.consensus.register import ControlRegister
from emberlatch.cluster.consensus.requests import Submit, request_from_wire
from emberlatch.cluster.consensus.state import ControlState
from emberlatch.cluster.consensus.voter_client import VoterClient


class ControlService:
    """Composes the register, its client, the proposer and the reader of one process.

    `proposer_id` is unique to this incarnation of the process. `min_disks` is the number of disks on which a
    chosen batch has to be durable.
    """

    def __init__(
        self,
        record: AcceptorRecord | None,
        storage: Storage | None,
        ports: RegisterPorts,
        proposer_id: str,
        min_disks: int,
        random_source: random.Random,
    ) -> None:
        self.register = ControlRegister(record, storage, ports)
        self.client = VoterClient(self.register, ports.transport, min_disks)
        self._coordinator = ProposalCoordinator(self.client, proposer_id, random_source)
        self._reader = StateReader(self.client, self._coordinator)

    @property
    def state(self) -> ControlState:
        """The newest version that this process knows."""
        return self.register.state

    async def serve(self, payload: object) -> list[object]:
        """Handle an encoded request of another process; returns the encoded reply.

        Raises MessageDecodeError if the payload is no request.
        """
        request = request_from_wire(payload)
        if isinstance(request, Submit):
            return (await self._coordinator.serve_submit(request)).to_wire()
        return (await self.register.handle(request)).to_wire()

    async def submit(self, command: Command, timeout: float) -> ControlState:
        """Have a command decided; returns a state in which it was applied or superseded.

        `timeout` is in seconds. Raises UndecidedError if the outcome is not known by then; the command may
        still be decided later.
        """
        return await self._coordinator.submit(command, timeout)

    async def commit(self, command: Command, timeout: float) -> ControlState:
        """Like `submit`; the returned state is also durable on as many disks as a decision needs.

        Without witnesses each decision is.
        """
        deadline = asyncio.get_running_loop().time() + timeout
        state = await self.submit(command, timeout)
        if not state.witnesses:
            return state
        return await self.read_durable(deadline - asyncio.get_running_loop().time())

    async def read(self, timeout: float) -> ControlState:
        """Return a state that is at least as new as any that was chosen before this call.

        `timeout` is in seconds. Raises UndecidedError if too few voters reply within it.
        """
        return await self._reader.read(timeout)

    async def read_durable(self, timeout: float) -> ControlState:
        """Like `read`; the returned state is also durable on as many disks as a decision needs."""
        return await self._reader.read_durable(timeout)

    def close(self) -> None:
        """Cancel all requests and proposals."""
        self.client.close()
