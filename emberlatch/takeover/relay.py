"""The predecessor's tasks after the successor has taken ownership: hand over connections, relay outcomes."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import TypeVar

from emberlatch.core.interface import Outcome
from emberlatch.takeover.connection import HandoverConnection
from emberlatch.takeover.errors import HandoverConnectionError
from emberlatch.takeover.frames import MAX_DESCRIPTORS, Frame
from emberlatch.takeover.messages import ClientConnections, RelayedOutcomes, TargetConnections
from emberlatch.takeover.ports import Predecessor

log = logging.getLogger(__name__)

IN_FLIGHT_POLL_S = 0.1  # a call that ends without an outcome sets no event, so in-flight calls are polled
CLIENT_LINGER_S = 2.5  # time limit for serving clients whose connections could not be handed over
CLIENT_POLL_S = 0.02  # interval between checks for connected clients

Item = TypeVar("Item")


class OutcomeQueue:
    """Outcomes that arrive after `Predecessor.freeze`."""

    def __init__(self) -> None:
        self._outcomes: list[Outcome] = []
        self._arrived = asyncio.Event()

    def __len__(self) -> int:
        return len(self._outcomes)

    def put(self, outcome: Outcome) -> None:
        """Add the outcome of an attempt that was in flight at `Predecessor.freeze`."""
        self._outcomes.append(outcome)
        self._arrived.set()

    def take_all(self) -> list[Outcome]:
        """Remove and return all queued outcomes."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    async def wait(self, timeout: float) -> None:
        """Wait for the next outcome, for at most `timeout` seconds."""
        self._arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._arrived.wait()


class Relay:
    """Hands over connections and relays outcomes to a successor that owns the folder."""

    def __init__(self, connection: HandoverConnection, process: Predecessor, outcomes: OutcomeQueue) -> None:
        self._connection, self._process, self._outcomes = connection, process, outcomes

    async def run(self) -> None:
        """Hand over connections, relay outcomes until nothing is in flight, and wait for remaining clients.

        This process's own predecessor may still relay outcomes to it. The attempts concerned count as in
        flight, and their outcomes are relayed to the successor.

        Raises HandoverConnectionError if the connection ends before all outcomes are relayed.
        """
        connection_end = asyncio.ensure_future(self._connection.receive())
        try:
            await self._hand_over_connections()
            self._process.begin_drain()
            deadline = asyncio.get_running_loop().time() + CLIENT_LINGER_S
            await self._relay_outcomes(connection_end)
            log.info("takeover: no call is in flight any more; all outcomes are relayed")
            self._connection.close()  # tells the successor that no more outcomes follow
            await self._wait_for_clients(deadline)
        finally:
            connection_end.cancel()
            await asyncio.wait({connection_end})
            if not connection_end.cancelled():
                connection_end.exception()

    async def _relay_outcomes(self, connection_end: asyncio.Task[Frame | None]) -> None:
        while self._process.in_flight or self._outcomes:
            if connection_end.done():
                raise HandoverConnectionError(
                    f"connection to the successor ended with {self._process.in_flight} attempts in flight"
                )
            if outcomes := self._outcomes.take_all():
                message = RelayedOutcomes(tuple(outcomes))
                await self._connection.send(message.kind, message.to_body())
            else:
                await self._outcomes.wait(IN_FLIGHT_POLL_S)

    async def _wait_for_clients(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        # Clients disconnect in the transport's callbacks, without an event to wait for. This loop runs once
        # in the lifetime of a process, so polling is acceptable.
        while self._process.has_clients and loop.time() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(CLIENT_POLL_S)

    async def _hand_over_connections(self) -> None:
        count = await self._send_batches(
            self._process.client_connections(), lambda clients: ClientConnections(tuple(clients))
        )
        log.info("takeover: %d client connections handed over", count)
        count = await self._send_batches(
            self._process.target_connections(), lambda targets: TargetConnections(tuple(targets))
        )
        log.info("takeover: %d target connections handed over", count)

    async def _send_batches(
        self,
        connections: Iterator[tuple[int, Item]],
        message_of: Callable[[list[Item]], ClientConnections | TargetConnections],
    ) -> int:
        """Send connections, up to MAX_DESCRIPTORS per frame, and return their number."""
        count = 0
        while batch := self._next_batch(connections):
            count += len(batch)
            descriptors = [descriptor for descriptor, _ in batch]
            message = message_of([item for _, item in batch])
            try:
                await self._connection.send(message.kind, message.to_body(), descriptors)
            finally:
                for descriptor in descriptors:
                    os.close(descriptor)
        return count

    def _next_batch(self, connections: Iterator[tuple[int, Item]]) -> list[tuple[int, Item]]:
        """Return the connections for one frame.

        The descriptors are duplicated, because the iterator closes each one when the next is requested.
        """
        batch: list[tuple[int, Item]] = []
        for descriptor, item in connections:
            batch.append((os.dup(descriptor), item))
            if len(batch) == MAX_DESCRIPTORS:
                break
        return batch
