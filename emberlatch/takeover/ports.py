"""The interfaces that a takeover requires of the lock, the predecessor and the successor."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Protocol

from emberlatch.core.interface import Outcome
from emberlatch.takeover.messages import ClientConnection, StateSnapshot


class OwnershipLock(Protocol):
    """The lock that determines which process owns the state folder."""

    @property
    def acquired(self) -> bool:
        """Whether this process holds the lock."""

    def acquire(self) -> bool:
        """Try to acquire the lock without waiting; return whether this process holds the lock now."""

    def release(self) -> None:
        """Release the lock."""


class Predecessor(Protocol):
    """The process that hands over."""

    async def pause_ingress(self) -> None:
        """Stop accepting connections and reading requests; data from clients stays in the socket buffers."""

    def freeze(self, report: Callable[[Outcome], None]) -> StateSnapshot:
        """Make the last decisions, stop writing to the journal, and return the state.

        Outcomes of calls in flight are passed to `report` from now on.
        """

    def thaw(self) -> None:
        """Resume decisions and writes after `freeze`, because no other process took over."""

    def on_relayed_outcome(self, outcome: Outcome) -> None:
        """Apply an outcome that arrived between `freeze` and `thaw`."""

    def client_connections(self) -> Iterator[tuple[int, ClientConnection]]:
        """Yield the descriptor and the state of each client connection that can be handed over.

        Each connection is closed when the iterator advances to the next one.
        """

    def target_connections(self) -> Iterator[tuple[int, bytes]]:
        """Yield the descriptor and the target of each idle connection.

        Each connection is closed when the iterator advances to the next one.
        """

    def begin_drain(self) -> None:
        """Stop everything except calls in flight, and reject clients: another process owns the folder."""

    @property
    def in_flight(self) -> int:
        """The number of calls in flight, plus the number of relayed attempts without an outcome.

        An attempt is relayed if this process's own predecessor has sent it and passes on its outcome.
        """

    @property
    def has_clients(self) -> bool:
        """Whether any client is still connected."""


class Successor(Protocol):
    """The process that takes over."""

    def adopt_client(self, connection: socket.socket, data: bytes, proven: bool) -> None:
        """Take over a client connection. `proven` is `ClientConnection.has_answered_request`."""

    async def adopt_target_connection(self, target: bytes, connection: socket.socket) -> None:
        """Take over an idle connection to a target."""

    def on_relayed_outcome(self, outcome: Outcome) -> None:
        """Apply the outcome of an attempt that was in flight in the predecessor."""

    def on_relay_closed(self) -> None:
        """Handle the end of the relay: no more outcomes follow from the predecessor."""
