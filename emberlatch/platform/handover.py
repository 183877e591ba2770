"""The handover of a forwarder on the platform, to its successor and from its predecessor."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

from emberlatch.core import interface as api
from emberlatch.engine import Engine
from emberlatch.net.directory_membership import DirectoryMembership
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.net.notification_sender import NotificationSender
from emberlatch.net.server import Server
from emberlatch.takeover import ClientConnection, ReceivedHandover, StateSnapshot


class PlatformHandover:
    """Freezes the parts of a forwarder, and hands over or receives their state.

    The interfaces are `Predecessor` and `Successor` in `emberlatch.takeover`.
    """

    def __init__(
        self,
        engine: Engine,
        server: Server,
        carrier: HttpCarrier,
        directory: DirectoryMembership,
        notifier: NotificationSender,
    ) -> None:
        self._engine, self._server, self._carrier = engine, server, carrier
        self._directory, self._notifier = directory, notifier
        self._report: Callable[[api.Outcome], None] | None = (
            None  # gets the outcomes while the engine is frozen
        )

    # Handover to a successor.

    async def pause_ingress(self) -> None:
        """Stop accepting connections and reading requests; data from clients stays in the socket buffers."""
        await self._server.pause()

    def freeze(self, report: Callable[[api.Outcome], None]) -> StateSnapshot:
        """Stop the engine's decisions and its writes to the journal; return the state to hand over.

        `report` gets the outcomes of calls from now on.
        """
        module = self._engine.freeze()
        self._report = report
        self._carrier.redirect_outcomes(report)
        known = self._directory.encode_list(self._carrier.listed_targets())
        return StateSnapshot(module, self._carrier.export_retry_after(), known)

    def thaw(self) -> None:
        """Resume after a handover that failed."""
        self._report = None
        self._carrier.redirect_outcomes(self._engine.on_attempt_outcome)
        self._engine.resume()
        self._server.resume()

    def client_connections(self) -> Iterator[tuple[int, ClientConnection]]:
        """Yield each client connection to hand over: its descriptor, unfinished request and proven state."""
        for exported in self._server.export_connections():
            yield exported.descriptor, ClientConnection(exported.data, exported.proven)

    def target_connections(self) -> Iterator[tuple[int, bytes]]:
        """Yield the descriptor and the target of each idle connection to a target."""
        for target, descriptor in self._carrier.export_connections():
            yield descriptor, target

    def begin_drain(self) -> None:
        """Stop everything except calls in flight, as the successor owns the messages now."""
        self._directory.close()
        self._notifier.close()
        self._engine.drop_messages()
        self._server.stop_after_handover()

    @property
    def in_flight(self) -> int:
        """Number of calls in flight in this process, plus attempts whose outcomes the predecessor relays."""
        return self._carrier.in_flight + len(self._engine.relayed)

    @property
    def has_clients(self) -> bool:
        """Whether any client is connected."""
        return self._server.has_clients

    # Handover from a predecessor.

    def receive(self, received: ReceivedHandover) -> None:
        """Apply the predecessor's list of targets, and the times until which Retry-After blocks targets."""
        self._directory.set_initial_list(received.endpoint_list)
        self._carrier.import_retry_after(received.blocked_until)

    def adopt_client(self, connection: socket.socket, data: bytes, proven: bool) -> None:
        """Continue a client's connection, from which the predecessor has read `data`."""
        self._server.adopt_connection(connection, data, proven)

    async def adopt_target_connection(self, target: bytes, connection: socket.socket) -> None:
        """Continue to use an idle connection to a target."""
        await self._carrier.adopt_connection(target, connection)

    def on_relayed_outcome(self, outcome: api.Outcome) -> None:
        """Apply the outcome of an attempt that was in flight in the predecessor."""
        if outcome.retry_after > 0:
            self._carrier.apply_retry_after(outcome.target, outcome.retry_after)
        self._engine.relayed.discard(outcome)
        (self._report or self._engine.on_attempt_outcome)(outcome)

    def on_relay_closed(self) -> None:
        """Give RESET to each relayed attempt without an outcome, because it may have been executed."""
        for outcome in self._engine.relayed.as_reset():
            self.on_relayed_outcome(outcome)
