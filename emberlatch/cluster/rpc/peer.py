"""A peer process and the connection to it, which is dialled again whenever it is lost."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from enum import Enum
from typing import Protocol

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc.connection import RequestHandler, RpcConnection
from emberlatch.cluster.rpc.counters import TrafficCounters
from emberlatch.cluster.rpc.errors import CallFailedError, ForeignPeerError
from emberlatch.cluster.rpc.incarnation import ANY_NODE, Incarnation, LocalEndpoint
from emberlatch.cluster.rpc.methods import RpcMethod
from emberlatch.engine import Tasks

DEFAULT_HEARTBEAT_INTERVAL_S = 0.4  # default interval; a delegate may choose another one
# A connection is closed if nothing arrives on it for this number of heartbeat intervals plus the slack.
LIVENESS_MISSED_HEARTBEATS = 2.0
LIVENESS_SLACK_S = 0.5
CONNECT_TIMEOUT_S = 0.6  # time limit for connecting; the handshake has its own limit of the same length
# Age of the oldest unanswered request above which `Peer.unresponsive` is true, so that a caller that needs a
# response can choose another peer. `Peer.call` itself does not check it.
UNRESPONSIVE_AFTER_S = 0.25
SLOW_AFTER_S = 0.1  # age of the oldest unanswered request above which other peers are preferred
REDIAL_BACKOFF_S = (0.05, 0.1, 0.2, 0.3)  # delay before the next dial, by `_failed_dials`
# An earlier incarnation of the expected node is accepted only after this number of dials has found one since
# the last established connection. It may be a new process on a machine whose clock was set back.
EARLIER_INCARNATION_DIALS = 10
SEED_PREFIX = "seed "  # prefix of the name of a peer whose address is known but whose node is not


class PeerState(Enum):
    """What is known of the peer's process."""

    CONNECTING = "connecting"  # nothing is known yet, or the connection was just lost
    UP = "up"
    REFUSED = "refused"  # the machine refuses connections to the port: the process is dead
    # The expected peer did not respond: its process is dead, or its machine is off or partitioned. A peer is
    # also in this state if another node or an earlier incarnation answered.
    UNREACHABLE = "unreachable"


class PeerDelegate(Protocol):
    """Provides the payloads of handshakes and heartbeats, and receives those of the peers.

    `endpoint` is shared by all connections of the process.
    """

    endpoint: LocalEndpoint

    def handshake(self) -> object:
        """The payload of the handshake, the first request on a new connection."""

    def on_handshake(self, peer: Peer, payload: object) -> None:
        """Handle the response to the handshake; the peer becomes UP after this call."""

    def heartbeat_interval_s(self) -> float:
        """Seconds between two heartbeats."""

    def heartbeat(self) -> object:
        """The payload of a heartbeat."""

    def on_heartbeat(self, peer: Peer, payload: object) -> None:
        """Handle the response to a heartbeat."""

    def on_state_change(self, peer: Peer) -> None:
        """Handle a change of a peer's state, or a restart of its process."""


class Peer:
    """Keeps a connection to one address from construction until `close`.

    A peer whose name begins with `SEED_PREFIX` may be any node; any other peer must be the node of that name.

    Attributes:
        state: See PeerState.
        state_since: Loop time in seconds of the last change of state.
        created_at: Loop time in seconds of the construction.
        last_up_at: Loop time at which the peer was last known to be up; -inf if never.
        last_answered_sent_at: Loop time at which the latest answered handshake or heartbeat was sent; -inf if
            none.
        last_inbound_handshake_at: Loop time of the last handshake on a connection that the peer dialled; -inf
            if none.
        connection: The connection while the state is UP.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        handler: RequestHandler,
        tasks: Tasks,
        delegate: PeerDelegate,
        counters: TrafficCounters,
    ) -> None:
        self.name, self.address = name, address
        self._handler, self._tasks, self._delegate, self._counters = handler, tasks, delegate, counters
        self.state = PeerState.CONNECTING
        self.state_since = asyncio.get_running_loop().time()
        self.created_at = self.state_since
        self.last_up_at = self.last_answered_sent_at = self.last_inbound_handshake_at = -math.inf
        self.connection: RpcConnection | None = None
        self._redial_now = asyncio.Event()
        self._last_incarnation: Incarnation | None = None  # peer of the last established connection
        self._earlier_incarnation_dials = 0  # see `EARLIER_INCARNATION_DIALS`
        self._failed_dials = 0  # dials that have ended since the last completed handshake
        self._task = tasks.spawn(self._keep_connected())

    @property
    def up(self) -> bool:
        """Whether the peer can be called now."""
        return self.state is PeerState.UP

    @property
    def slow(self) -> bool:
        """Whether the oldest unanswered request is so old that another peer should be preferred."""
        return self.connection is not None and self.connection.oldest_unanswered_s() > SLOW_AFTER_S

    @property
    def unresponsive(self) -> bool:
        """Whether the oldest unanswered request is so old that no response to a new one is expected."""
        return self.connection is not None and self.connection.oldest_unanswered_s() > UNRESPONSIVE_AFTER_S

    async def call(self, method: str, payload: object, timeout: float) -> object:
        """Send a request and return the payload of its response.

        Raises CallFailedError if there is no response within `timeout` seconds.
        """
        if self.connection is None or not self.up:
            raise CallFailedError(method, self.name, "no link", False)
        connection = self.connection
        call = connection.call(method, payload)
        try:
            done, _ = await asyncio.wait({call.response}, timeout=timeout)
        except asyncio.CancelledError:
            connection.abandon(call)
            raise
        if not done:
            may_have_arrived = connection.abandon(call)
            raise CallFailedError(method, self.name, f"no answer in {timeout:.3f} s", may_have_arrived)
        try:
            return call.response.result()
        except CallFailedError as error:
            raise CallFailedError(method, self.name, error.reason, error.may_have_arrived) from None

    def notify(self, method: str, payload: object) -> bool:
        """Send a message that has no response; False if there is no connection."""
        if self.connection is None or not self.up:
            return False
        self.connection.notify(method, payload)
        return True

    def on_inbound_handshake(self) -> None:
        """Dial again at once: the peer has dialled this process, so the last dial's result is outdated."""
        self.last_inbound_handshake_at = asyncio.get_running_loop().time()
        self._redial_now.set()

    def flush(self) -> None:
        """Write all frames queued for the peer now."""
        if self.connection is not None:
            self.connection.flush()

    def close(self) -> None:
        """Stop dialling, and close the connection after its queued frames are written."""
        self._task.cancel()
        if self.connection is not None:
            self.connection.close()

    def _set_state(self, state: PeerState) -> None:
        """Change the state, log the change and notify the delegate. No other method changes the state."""
        now = asyncio.get_running_loop().time()
        if state is PeerState.UP:
            self.last_up_at = now
        elif self.state is PeerState.UP:
            self.last_up_at = now if self.connection is None else self.connection.last_received_at
        if state is self.state and self.last_inbound_handshake_at < self.state_since:
            return
        previous, self.state, self.state_since = self.state, state, now
        if state is PeerState.UP:
            log_event(Event.PEER_UP, self.name)
        elif previous is PeerState.UP:
            log_event(Event.PEER_DOWN, self.name, state=state.value)
        self._delegate.on_state_change(self)

    async def _keep_connected(self) -> None:
        while True:
            self._redial_now.clear()
            await self._dial()
            backoff_s = REDIAL_BACKOFF_S[min(self._failed_dials, len(REDIAL_BACKOFF_S) - 1)]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(backoff_s):
                    await self._redial_now.wait()
            self._failed_dials += 1

    def _expected_peer(self) -> Incarnation:
        """The peer that the next dial expects: for a seed, any node.

        Otherwise it is the node of this name, in its last known incarnation or a later one.
        """
        if self.name.startswith(SEED_PREFIX):
            return ANY_NODE
        last = self._last_incarnation
        known_number = last.number if last is not None and last.node == self.name else 0
        accept_earlier = self._earlier_incarnation_dials >= EARLIER_INCARNATION_DIALS
        return Incarnation(self.name, 0 if accept_earlier else known_number)

    async def _dial(self) -> None:
        """Connect, and send heartbeats until the connection is lost."""
        expected, lost = self._expected_peer(), asyncio.Event()
        try:
            connection = await self._connect(expected, lost)
        except ConnectionRefusedError:
            return self._set_state(PeerState.REFUSED)
        except (OSError, TimeoutError):
            return self._set_state(PeerState.UNREACHABLE)
        try:
            await self._handshake(connection)
            await self._send_heartbeats(connection, lost)
        except ForeignPeerError as error:
            self._earlier_incarnation_dials += error.found.node == expected.node
            return self._set_state(PeerState.UNREACHABLE)
        except (CallFailedError, TimeoutError):
            pass
        finally:
            self.connection = None
            if not connection.closed:
                connection.abort()
        self._set_state(PeerState.UNREACHABLE if self._timed_out(connection) else PeerState.CONNECTING)
        return None

    async def _connect(self, expected: Incarnation, lost: asyncio.Event) -> RpcConnection:
        def on_lost(_: RpcConnection) -> None:
            lost.set()

        def create() -> RpcConnection:
            return RpcConnection(
                self._delegate.endpoint,
                self._handler,
                self._tasks,
                self._counters,
                self.name,
                expected,
                on_lost,
            )

        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(create, *self.address)
        return connection

    async def _handshake(self, connection: RpcConnection) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._last_incarnation = await connection.established()
            self._earlier_incarnation_dials = 0
            sent_at = asyncio.get_running_loop().time()
            payload = await connection.call(RpcMethod.HANDSHAKE, self._delegate.handshake()).response
        self.last_answered_sent_at = sent_at
        self.connection = connection
        self._delegate.on_handshake(self, payload)
        self._failed_dials = 0
        self._set_state(PeerState.UP)

    def _timed_out(self, connection: RpcConnection) -> bool:
        """Whether nothing has arrived on a connection for so long that it counts as lost."""
        interval_s = self._delegate.heartbeat_interval_s()
        limit_s = LIVENESS_MISSED_HEARTBEATS * interval_s + LIVENESS_SLACK_S
        return asyncio.get_running_loop().time() - connection.last_received_at > limit_s

    async def _send_heartbeats(self, connection: RpcConnection, lost: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        while not connection.closed and not self._timed_out(connection):
            on_response = functools.partial(self._on_heartbeat_response, loop.time())
            call = connection.call(RpcMethod.HEARTBEAT, self._delegate.heartbeat())
            call.response.add_done_callback(on_response)
            self.last_up_at = connection.last_received_at
            try:
                async with asyncio.timeout(self._delegate.heartbeat_interval_s()):
                    await lost.wait()
            except TimeoutError:
                continue

    def _on_heartbeat_response(self, sent_at: float, response: asyncio.Future[object]) -> None:
        if not response.cancelled() and response.exception() is None:
            self.last_answered_sent_at = max(self.last_answered_sent_at, sent_at)
            self._delegate.on_heartbeat(self, response.result())
