"""The simulated network: connections between processes, addressed by (host, port).

An address can be isolated. Its open connections then stay open without traffic, and new connections are never
established. When the isolation ends, the open connections of the address are reset.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable

from emberlatch.faults.listener import Listener, VirtualServer, check_descriptors
from emberlatch.faults.loop import ProtocolT, VirtualLoop
from emberlatch.faults.process import (
    ENVIRONMENT_CONTEXT,
    Address,
    ListeningSocket,
    Process,
    current_process,
)
from emberlatch.faults.transport import VirtualTransport

ACCEPT_BACKLOG = 512  # most connections that may wait to be accepted; any more are refused
FIRST_FREE_PORT = 20_001


class Network:
    """The network between all hosts on one loop.

    One-way latencies are drawn around `latency` (seconds), from `seed`. `bandwidth` is in bytes per second.
    `transports` has both ends of each open connection, `isolated_addresses` the addresses without traffic.
    """

    def __init__(self, loop: VirtualLoop, seed: int, latency: float = 0.002, bandwidth: float = 1e8) -> None:
        self.loop, self.latency, self.bandwidth = loop, latency, bandwidth
        self.isolated_addresses: set[Address] = set()
        self.transports: dict[VirtualTransport, None] = {}  # a dict used as an ordered set
        self._random = random.Random(seed)
        self._listeners: dict[Address, Listener] = {}
        self._next_port = FIRST_FREE_PORT
        loop.network = self

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` at a time of the loop's clock, even if the calling process has died."""
        self.loop.call_at(when, callback, *args, context=ENVIRONMENT_CONTEXT)

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` after `delay` seconds, even if the calling process has died."""
        self.call_at(self.loop.time() + delay, callback, *args)

    def draw_latency(self) -> float:
        """Draw the latency of a packet on a link without faults, in seconds."""
        return self.latency * self._random.uniform(0.5, 1.5)

    def packet_delay(self, sender: Process | None, receiver: Process | Address | None) -> float:
        """Draw the latency of a packet between two parties (None: unknown). Subclasses add link faults."""
        return self.draw_latency()

    def listen(self, address: Address) -> Listener:
        """Open a listening socket of the current process; port 0 selects a free port.

        Raises OSError if the address is in use.
        """
        host, port = address
        if not port:
            port, self._next_port = self._next_port, self._next_port + 1
        if (host, port) in self._listeners:
            raise OSError(errno.EADDRINUSE, f"address {host}:{port} is already in use")
        listener = Listener(self, (host, port), current_process.get())
        self.register(listener)
        listener.process.listeners.append(listener)
        return listener

    def register(self, listener: Listener) -> None:
        """Add a listening socket to the network."""
        self._listeners[listener.address] = listener

    def unregister(self, listener: ListeningSocket) -> None:
        """Remove a listening socket from the network."""
        if self._listeners.get(listener.address) is listener:
            del self._listeners[listener.address]

    def serve(self, factory: Callable[[], asyncio.Protocol], address: Address) -> VirtualServer:
        """Listen on an address and accept each connection at once."""
        return VirtualServer(self.listen(address), factory)

    async def connect(
        self, factory: Callable[[], ProtocolT], address: Address
    ) -> tuple[VirtualTransport, ProtocolT]:
        """Connect from the current process, in one round trip; an attempt at an isolated address never ends.

        Raises OSError if no process listens there, or if the current process has no free descriptor.
        """
        process = current_process.get()
        check_descriptors(process)
        local, remote = VirtualTransport(self, process, address), VirtualTransport(self, None, address)
        local.peer, remote.peer = remote, local
        process.connections[local] = None
        established: asyncio.Future[None] = self.loop.create_future()
        try:
            self.call_later(
                self.packet_delay(process, address), self._on_connection_request, remote, established
            )
            await established
        except BaseException:
            local.discard()
            raise
        protocol = factory()
        local.bind_protocol(protocol)
        return local, protocol

    def _on_connection_request(self, remote: VirtualTransport, established: asyncio.Future[None]) -> None:
        if remote.address in self.isolated_addresses or established.done():
            return
        listener = self._listeners.get(remote.address)
        error: OSError | None = None
        if listener is None or not listener.process.alive or len(listener.backlog) >= ACCEPT_BACKLOG:
            error = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        else:
            remote.process = listener.process
            listener.enqueue(remote)
        self.call_later(self.packet_delay(remote.process, remote.peer.process), _answer, established, error)

    def isolate(self, address: Address) -> None:
        """Isolate an address: from now on no packet leaves or reaches it."""
        self.isolated_addresses.add(address)

    def end_isolation(self, address: Address) -> None:
        """End the isolation of an address and reset the connections that it had."""
        self.isolated_addresses.discard(address)
        for transport in [transport for transport in self.transports if transport.address == address]:
            transport.mark_lost(ConnectionResetError(errno.ECONNRESET, "reset"))


def _answer(established: asyncio.Future[None], error: OSError | None) -> None:
    """Complete a connection attempt at the caller."""
    if established.done():
        return
    if error is not None:
        established.set_exception(error)
    else:
        established.set_result(None)
