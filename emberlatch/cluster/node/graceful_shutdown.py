"""Ends a process within its grace period. Calls in flight finish; queued messages go to other stores."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.ingress import HttpListener
from emberlatch.cluster.membership.view import MembershipView
from emberlatch.cluster.message_store import Phase
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.cluster.node.readiness import Readiness
from emberlatch.cluster.node.witness_service import WitnessService

SHUTDOWN_ACCEPT_S = 2.7  # seconds after SIGTERM during which new client connections are still accepted
SHUTDOWN_ACCEPT_SHARE = 0.45  # upper limit of that time, as a fraction of the grace period
FRONT_DRAIN_MARGIN_S = 1.5  # seconds from the end of the wait for clients to the end of the grace period
STORE_DRAIN_MARGIN_S = 1.0  # seconds from the end of the wait for calls to the end of the grace period
FLUSH_MARGIN_S = 0.5  # seconds from the end of the wait for the disk to the end of the grace period
FRONT_POLL_S = 0.05  # seconds between two checks whether all clients have disconnected
STORE_POLL_S = 0.02  # seconds between two checks whether all calls have been answered
NOTICE_SEND_S = 0.03  # seconds for the transmission of other notices before the links are closed
LINK_CLOSE_S = 0.02  # seconds for the links to close before the database is closed


class GracefulShutdown:
    """Shuts a process down; runs once.

    `store`, `front` and `control_listener` are None in a process without a disk or without that address,
    `witness` is None in a process with a disk.
    """

    def __init__(
        self,
        node: str,
        grace_s: float,
        readiness: Readiness,
        membership: MembershipView,
        store: StoreParts | None,
        front: HttpListener | None,
        control_listener: HttpListener | None,
        witness: WitnessService | None,
    ) -> None:
        self._node, self._grace_s, self._witness = node, grace_s, witness
        self._readiness, self._membership, self._store = readiness, membership, store
        self._front, self._control_listener = front, control_listener

    async def run(self) -> None:
        """Shut down; return once the process may exit, before the grace period ends."""
        self._readiness.begin_shutdown()
        if self._witness is not None:
            self._witness.begin_shutdown()
        deadline = asyncio.get_running_loop().time() + self._grace_s
        log_event(Event.SHUTTING_DOWN, self._node)
        if self._front is not None:
            await self._drain_front(self._front, deadline)
        flushed = False
        if self._store is not None:
            await self._drain_store(self._store, deadline)
            flushed = await self._flush(self._store, deadline)
            self._store.control.close()
        self._membership.close()
        await asyncio.sleep(LINK_CLOSE_S)
        # If the flush is incomplete, a commit is blocked or has failed. The database is not closed then, as
        # `close` commits again. The other stores know of the commit already.
        if self._store is not None and flushed:
            with contextlib.suppress(OSError):
                self._store.message_store.local_store.database.close()
        log_event(Event.STOPPED, self._node)

    async def _drain_front(self, front: HttpListener, deadline: float) -> None:
        """Answer clients until they have disconnected.

        New connections are accepted for a time, because load balancers do not stop sending clients at once.
        """
        front.drain(True)
        await asyncio.sleep(min(SHUTDOWN_ACCEPT_S, self._grace_s * SHUTDOWN_ACCEPT_SHARE))
        front.close_listener()
        await _wait_while(
            lambda: front.pending_requests > 0 or front.has_clients,
            deadline - FRONT_DRAIN_MARGIN_S,
            FRONT_POLL_S,
        )

    async def _drain_store(self, store: StoreParts, deadline: float) -> None:
        """Stop accepting messages, hand over those without a call in flight, and wait for other calls.

        Then wait until the other stores have acknowledged how messages ended and who owns them: as soon as
        this process has ended, they take over what they still regard as its messages.
        """
        message_store, listener = store.message_store, self._control_listener
        message_store.enter_phase(Phase.CLOSING)
        if listener is not None:
            listener.close_listener()
            listener.drain(True)
        await store.dispatcher.close(message_store.ownership.hand_over, deadline)
        await _wait_while(
            lambda: message_store.is_accepting or (listener is not None and listener.pending_requests > 0),
            deadline - STORE_DRAIN_MARGIN_S,
            STORE_POLL_S,
        )
        await _wait_while(
            lambda: bool(message_store.awaited_reports()), deadline - STORE_DRAIN_MARGIN_S, STORE_POLL_S
        )
        if unacknowledged := message_store.awaited_reports():
            log_event(Event.REPORTS_UNACKNOWLEDGED, *sorted(unacknowledged))

    async def _flush(self, store: StoreParts, deadline: float) -> bool:
        """Send the pending notices and wait for the disk; return whether all writes are durable."""
        for peer in self._membership.peers.values():
            peer.flush()
        await asyncio.sleep(NOTICE_SEND_S)
        remaining_s = deadline - FLUSH_MARGIN_S - asyncio.get_running_loop().time()
        return await store.message_store.flush(max(0.0, remaining_s))


async def _wait_while(condition: Callable[[], bool], deadline: float, poll_s: float) -> None:
    """Return once the condition is false, or at the deadline (loop time)."""
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(poll_s)
