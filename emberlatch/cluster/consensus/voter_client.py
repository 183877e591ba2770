"""Sends requests of this process to the voters, including the voter of this process."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable
from typing import TypeVar

from emberlatch.cluster.consensus.errors import UnreachableError
from emberlatch.cluster.consensus.ports import Transport
from emberlatch.cluster.consensus.proposer import Quorum
from emberlatch.cluster.consensus.register import ControlRegister
from emberlatch.cluster.consensus.replies import Learned, Reply, Snapshot, reply_from_wire
from emberlatch.cluster.consensus.requests import Fetch, Install, Request
from emberlatch.cluster.consensus.state import ControlState, Voter
from emberlatch.cluster.rpc.errors import MessageDecodeError

REQUEST_TIMEOUT_S = 0.35  # limit of one request to a voter, including the sync to its disk
PHASE_TIMEOUT_S = 0.5  # a quorum of voters must reply within this time

ReplyHandler = Callable[[Reply], Request | None]
"""Handles a reply of a voter.

If it returns a request, that is sent to the voter first, and the original request is then repeated once.
"""

Result = TypeVar("Result")


class VoterClient:
    """Calls voters and other machines with a disk, on behalf of one register.

    `min_disks` is the number of disks on which a chosen batch has to be durable.
    """

    def __init__(self, register: ControlRegister, transport: Transport, min_disks: int) -> None:
        self.register, self.transport = register, transport
        self._min_disks = min_disks
        self._tasks: set[asyncio.Task[object]] = set()

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    def quorum(self, state: ControlState) -> Quorum:
        """Return the quorum for the version after `state`; for the founding a majority is enough."""
        min_disks = self._min_disks if state.version > 0 else 1
        return Quorum(state.voters, self.transport.voters_with_replaced_disk(state.voters), min_disks)

    # Calls.

    async def call(self, node: str, request: Request, timeout: float = REQUEST_TIMEOUT_S) -> Reply:
        """Send a request to a machine, this one included.

        `timeout` is in seconds and limits only calls to other machines. Raises UnreachableError if another
        machine sends no valid reply within it.
        """
        if self.register.record is not None and node == self.register.local_voter.node:
            return await self.register.handle(request)
        payload = await self.transport.call(node, request.to_wire(), timeout)
        try:
            return reply_from_wire(payload)
        except MessageDecodeError as error:
            raise UnreachableError(f"{node}: {error}") from error

    async def call_voters(
        self, state: ControlState, request: Request, receive: ReplyHandler, ended: Callable[[], bool]
    ) -> None:
        """Call all voters of a state concurrently.

        Returns when `ended` is true, when all calls are complete, or after PHASE_TIMEOUT_S. Replies that
        arrive while `ended` is true are dropped.
        """
        done = asyncio.Event()

        def receive_until_ended(reply: Reply) -> Request | None:
            if ended():
                return None
            follow_up = receive(reply)
            if ended():
                done.set()
            return follow_up

        calls = self.spawn(self._call_all(state.voters, request, receive_until_ended))
        waiter = asyncio.ensure_future(done.wait())
        try:
            await asyncio.wait({calls, waiter}, timeout=PHASE_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiter.cancel()

    async def _call_all(self, voters: Iterable[Voter], request: Request, receive: ReplyHandler) -> None:
        await asyncio.gather(*(self._call_voter(voter, request, receive) for voter in voters))

    async def _call_voter(self, voter: Voter, request: Request, receive: ReplyHandler) -> None:
        node = self.transport.node_of(voter)
        if node is None:
            return
        with contextlib.suppress(UnreachableError):
            follow_up = receive(await self.call(node, request))
            if follow_up is not None:
                await self.call(node, follow_up)
                receive(await self.call(node, request))

    # Exchange of states.

    async def fetch(self, node: str) -> None:
        """Learn the newest state of another machine; raises UnreachableError."""
        reply = await self.call(node, Fetch())
        if isinstance(reply, Snapshot):
            await self.register.learn(reply.state)

    async def join(self, node: str, cluster: str) -> None:
        """Join a cluster that was founded without this machine, with the state of `node`.

        Does nothing if `node` does not belong to `cluster`. Raises UnreachableError.
        """
        reply = await self.call(node, Fetch())
        founded = self.register.state.version > 0
        if not founded and isinstance(reply, Snapshot) and reply.state.cluster == cluster:
            await self.register.join(reply.state)

    def announce(self, nodes: Iterable[str], request: Request) -> None:
        """Send a decision to these nodes in the background, without retries: heartbeats also spread it."""
        for node in nodes:
            if node != self.register.local_voter.node:
                self.spawn(self._announce(node, request))

    async def _announce(self, node: str, request: Request) -> None:
        with contextlib.suppress(UnreachableError):
            reply = await self.call(node, request)
            state = self.register.state
            if not isinstance(reply, Learned) or reply.version < state.version:
                await self.call(node, Install(state))

    # Tasks.

    def spawn(self, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a task until it ends or the client is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # marks the error as retrieved, so that it isn't logged; awaiting raises it
