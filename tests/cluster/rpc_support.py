"""Callers, receivers and a relay between them, on a virtual network."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from emberlatch.cluster.rpc import (
    ANY_NODE,
    Incarnation,
    LocalEndpoint,
    Peer,
    RpcConnection,
    RpcServer,
    TrafficCounters,
)
from emberlatch.cluster.rpc.frames import VERSION, Frame, FrameReader, Identify, Request, encode
from emberlatch.engine import Machine, Tasks
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.faults.process import Process, current_process

Fixture = TypeVar("Fixture")

RECEIVER = ("receiver", 1)
RELAY = ("relay", 1)
CALLER_INCARNATION, RECEIVER_INCARNATION = 3, 5


def reject_request(connection: RpcConnection, method: str, payload: Any) -> Any:
    raise ValueError(f"{method}: this test process serves no requests")


class World:
    """A virtual event loop, a network and the machines on it."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.network = Network(self.loop, 1)
        self.machine = Machine(wall_clock=self.loop.time, boot_id=lambda: "", listen=self.network.listen)

    def caller_endpoint(self) -> LocalEndpoint:
        return LocalEndpoint(Incarnation("caller", CALLER_INCARNATION))

    async def connect(
        self,
        endpoint: LocalEndpoint,
        counters: TrafficCounters,
        address: tuple[str, int] = RECEIVER,
        expected: Incarnation = ANY_NODE,
    ) -> RpcConnection:
        """Open a connection and wait until it is established. Raises ForeignPeerError or CallFailedError."""
        connection: RpcConnection
        _, connection = await self.loop.create_connection(
            lambda: RpcConnection(endpoint, reject_request, Tasks(), counters, "receiver", expected), *address
        )
        await connection.established()
        return connection

    async def scripted_receiver(self) -> tuple[ScriptedReceiver, RpcConnection, TrafficCounters]:
        """A receiver whose frames a test sends, a connection to it, and the counters of the caller."""
        receiver, counters = ScriptedReceiver(), TrafficCounters()
        self.network.serve(lambda: receiver, RECEIVER)
        return receiver, await self.connect(self.caller_endpoint(), counters), counters

    async def scripted_caller(self) -> ScriptedCaller:
        """A caller whose frames a test sends, and whose Identify frame has arrived."""
        _, caller = await self.loop.create_connection(
            lambda: ScriptedCaller("caller", CALLER_INCARNATION), *RECEIVER
        )
        await asyncio.sleep(0.1)
        return caller


class Receiver:
    """A process that records the payloads of the requests it runs, and returns them after `delay_s` seconds."""

    def __init__(self, world: World, node: str = "receiver", incarnation: int = RECEIVER_INCARNATION) -> None:
        self.world, self.executed, self.delay_s = world, list[Any](), 0.0
        self.counters, self.process = TrafficCounters(), Process(node)
        self.endpoint = LocalEndpoint(Incarnation(node, incarnation))

        def listen() -> None:
            current_process.set(self.process)
            self.server = RpcServer(
                world.machine, RECEIVER, self.endpoint, self._serve, Tasks(), self.counters
            )

        contextvars.copy_context().run(listen)

    def _serve(self, connection: RpcConnection, method: str, payload: Any) -> Any:
        if method in ("hello", "beat"):
            return None
        self.executed.append(payload)
        return self._respond_later(payload) if self.delay_s else payload

    async def _respond_later(self, payload: Any) -> Any:
        await asyncio.sleep(self.delay_s)
        return payload


class ConnectionEnd(asyncio.Protocol):
    """One end of a connection. A test writes to its `transport` and aborts it."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


class ScriptedReceiver(ConnectionEnd):
    """One end of a connection. It answers an Identify frame itself; a test sends all its other frames."""

    def __init__(self, node: str = "receiver", incarnation: int = RECEIVER_INCARNATION) -> None:
        super().__init__()
        self.incarnation, self._reader = Incarnation(node, incarnation), FrameReader()
        self.frames: list[Frame] = []

    def data_received(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            self.frames.append(frame)
            if isinstance(frame, Identify):
                me = self.incarnation
                self.send(Identify(VERSION, me.node, me.number, frame.node, frame.incarnation))

    def send(self, *frames: Frame) -> None:
        """Write all frames with a single call of the transport."""
        self.transport.write(b"".join(map(encode, frames)))

    def requests(self) -> list[Request]:
        return [frame for frame in self.frames if isinstance(frame, Request)]


class ScriptedCaller(ScriptedReceiver):
    """The dialling end of a connection, which identifies itself; a test sends all its other frames."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        me = self.incarnation
        self.send(Identify(VERSION, me.node, me.number, "", 0))

    def data_received(self, data: bytes) -> None:
        self.frames += self._reader.feed(data)


class Relay:
    """Forwards Identify frames and a limited number of bytes after them, then resets both connections.

    `to_receiver` and `to_caller` are the limits of the two directions; None means no limit.
    """

    def __init__(self, world: World, to_receiver: int | None, to_caller: int | None) -> None:
        self.world, self.limits = world, {"up": to_receiver, "down": to_caller}
        self.forwarded = {"up": bytearray(), "down": bytearray()}
        self.ends: dict[str, _RelayEnd] = {}
        world.network.serve(lambda: _RelayEnd(self, "up"), RELAY)

    async def dial(self, end: _RelayEnd) -> None:
        down = _RelayEnd(self, "down")
        self.ends["up"], self.ends["down"] = end, down
        await self.world.loop.create_connection(lambda: down, *RECEIVER)
        end.pump()

    def reset(self) -> None:
        for end in self.ends.values():
            end.transport.abort()


class _RelayEnd(ConnectionEnd):
    """Reads one direction and writes the bytes to the other end."""

    def __init__(self, relay: Relay, direction: str) -> None:
        super().__init__()
        self.relay, self.direction, self._buffer = relay, direction, bytearray()
        self._identify_pending = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.direction == "up":
            self.relay.world.loop.create_task(self.relay.dial(self))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.relay.reset()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self.pump()

    def pump(self) -> None:
        other = self.relay.ends.get("down" if self.direction == "up" else "up")
        if other is None or not hasattr(other, "transport"):
            return
        if self._identify_pending and len(self._buffer) >= 4:
            size = 4 + int.from_bytes(self._buffer[:4], "big")
            other.transport.write(bytes(self._buffer[:size]))
            del self._buffer[:size]
            self._identify_pending = False
        limit, forwarded = self.relay.limits[self.direction], self.relay.forwarded[self.direction]
        if self._identify_pending or not self._buffer:
            return
        data = bytes(self._buffer if limit is None else self._buffer[: max(0, limit - len(forwarded))])
        received = bool(self._buffer)
        self._buffer.clear()
        forwarded += data
        other.transport.write(data)
        if limit is not None and received and len(forwarded) >= limit:
            # The delay lets the forwarded bytes arrive before the reset.
            self.relay.world.network.call_later(0.1, self.relay.reset)


async def wait_until_up(peer: Peer, timeout_s: float = 10.0) -> None:
    """Wait until the link to a peer is up."""
    async with asyncio.timeout(timeout_s):
        while not peer.up:
            await asyncio.sleep(0.02)


@asynccontextmanager
async def linked_peer(
    world: World, name: str = "receiver"
) -> AsyncIterator[tuple[Receiver, Peer, TrafficCounters]]:
    """A receiver, a peer of this name whose link to the receiver is up, and the counters of the peer."""
    receiver, counters = Receiver(world), TrafficCounters()
    peer = Peer(name, RECEIVER, reject_request, Tasks(), IdleDelegate(world.caller_endpoint()), counters)
    await wait_until_up(peer)
    try:
        yield receiver, peer, counters
    finally:
        peer.close()


class IdleDelegate:
    """A delegate with empty handshakes and heartbeats that ignores all responses."""

    def __init__(self, endpoint: LocalEndpoint) -> None:
        self.endpoint = endpoint

    def handshake(self) -> Any:
        return None

    def on_handshake(self, peer: Peer, payload: Any) -> None:
        pass

    def heartbeat_interval_s(self) -> float:
        return 0.4

    def heartbeat(self) -> Any:
        return None

    def on_heartbeat(self, peer: Peer, payload: Any) -> None:
        pass

    def on_state_change(self, peer: Peer) -> None:
        pass


def run_in_world(steps: Callable[[World], Awaitable[None]]) -> None:
    """Run the steps in a new world, and check that no task or callback failed unnoticed."""
    world = World()

    async def run_steps() -> None:
        await steps(world)

    world.loop.run_until_complete(world.loop.create_task(run_steps()))
    assert not world.loop.failures, str(world.loop.failures)


def run_with_fixture(make: Callable[[World], Fixture], steps: Callable[[Fixture], Awaitable[None]]) -> None:
    """Run the steps on a fixture that `make` creates in a new world."""

    async def run_with_fixture(world: World) -> None:
        await steps(make(world))

    run_in_world(run_with_fixture)
