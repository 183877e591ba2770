"""One end of a simulated connection: a socket until a protocol is attached, then an asyncio transport.

Each direction of a connection delivers bytes in order, after the latency and the transmission time of the
link. At a receiver that does not read, the bytes are queued. Bytes for which the kernels' buffers have no
space stay in the sender's user space, and the sender's protocol is paused if they are too many. The order of
events on different connections is not defined.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
from collections import deque
from collections.abc import Callable
from typing import Protocol, TypeVar

from emberlatch.faults.loop import ProtocolT, VirtualLoop
from emberlatch.faults.process import Address, Process, ProcessKilled

KERNEL_BUFFER_BYTES = 128 * 1024  # capacity of both ends' kernel buffers for one direction
HIGH_WATER_BYTES = 64 * 1024  # asyncio's default
MIN_SPACING_S = 1e-7  # least time between events of a connection, as simultaneous timers have no order

T = TypeVar("T")


class TransportNetwork(Protocol):
    """What a transport needs from its network."""

    loop: VirtualLoop
    bandwidth: float  # bytes per second
    isolated_addresses: set[Address]
    transports: dict[VirtualTransport, None]

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` at a time of the loop's clock (seconds), outside of all processes."""

    def packet_delay(self, sender: Process | None, receiver: Process | Address | None) -> float:
        """Draw the latency of a packet, in seconds."""


class VirtualTransport(asyncio.Transport):
    """One end of a connection to `address`; `process` is None until the connection is accepted."""

    peer: VirtualTransport
    _context: contextvars.Context

    def __init__(self, network: TransportNetwork, process: Process | None, address: Address) -> None:
        super().__init__()
        self.process, self.address = process, address
        self.is_lost = False  # whether the connection has ended at this end
        self._network = network
        self._protocol: asyncio.Protocol | None = None
        self._send_buffer = bytearray()  # bytes in user space
        self._bytes_in_flight = 0  # bytes in the kernels' buffers or in transit to the peer
        self._last_arrival = 0.0  # time at which the last of these bytes arrives
        self._receive_queue: deque[bytes | None] = deque()  # unread data; None marks the end of the stream
        self._is_reading, self._is_closing = True, False
        self._is_write_paused, self._high_water_bytes = False, HIGH_WATER_BYTES
        self._eof_requested, self._eof_sent = False, False
        network.transports[self] = None

    # The interface for protocols, as of an asyncio transport.

    def attach(self, factory: Callable[[], ProtocolT]) -> tuple[VirtualTransport, ProtocolT]:
        """Turn the socket into a transport of a new protocol."""
        protocol = factory()
        self.bind_protocol(protocol)
        return self, protocol

    def bind_protocol(self, protocol: asyncio.Protocol) -> None:
        """Attach a protocol, and call it in the current context from now on."""
        self._protocol, self._context = protocol, contextvars.copy_context()
        protocol.connection_made(self)
        if self.is_lost:  # the connection broke before it was accepted
            self._network.loop.call_soon(protocol.connection_lost, None)
        elif self._receive_queue:
            self._network.loop.call_soon(self._deliver_received)

    def _call_protocol(self, method: Callable[..., T], *args: object) -> T | None:
        """Call a protocol method in the context of its process; returns None if the process is dead."""
        if self.process is None or self.process.alive:
            try:
                return self._context.run(method, *args)
            except ProcessKilled:
                pass
        return None

    def setblocking(self, flag: bool) -> None:
        """Do nothing: a simulated socket never blocks."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the information with this name: `unread` or `peer_process`.

        `unread` is a function that returns whether data wait to be read. `peer_process` is the name of the
        peer's process.
        """
        if name == "unread":
            return lambda: bool(self._receive_queue)
        if name == "peer_process" and self.peer.process is not None:
            return self.peer.process.name
        return default

    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._is_closing or self.is_lost

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer size above which the protocol is paused; `low` is ignored and always 0."""
        self._high_water_bytes = HIGH_WATER_BYTES if high is None else high

    def get_write_buffer_size(self) -> int:
        """The number of bytes that are still in user space."""
        return len(self._send_buffer)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; they are dropped once the connection has ended."""
        if self.is_lost or self._eof_requested:
            return
        self._send_buffer += data
        self._flush()
        if len(self._send_buffer) > self._high_water_bytes and not self._is_write_paused:
            self._is_write_paused = True
            assert self._protocol is not None
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        """Close the direction to the peer after all buffered bytes are sent."""
        if not self._eof_requested and not self.is_lost:
            self._eof_requested = True
            self._flush()

    def can_write_eof(self) -> bool:
        """Return True: connections can be half closed."""
        return True

    def pause_reading(self) -> None:
        """Stop reading; arriving bytes stay in the kernel's buffer."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Start reading again."""
        if not self._is_reading and not self.is_lost:
            self._is_reading = True
            self._network.loop.call_soon(self._deliver_received)

    def is_reading(self) -> bool:
        """Whether this end reads."""
        return self._is_reading

    def close(self) -> None:
        """Close after all buffered bytes are sent; if bytes are unread, reset as a kernel does."""
        if self._is_closing or self.is_lost:
            return
        self._is_closing = True
        self._is_reading = False
        if self._receive_queue:
            self.abort()
        else:
            self._eof_requested = True
            self._flush()

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_lost:
            self._reset_peer()
            self.mark_lost(None)

    # The interface for the network.

    def discard(self) -> None:
        """Reset the peer without notifying this end, because its process is dead."""
        self._reset_peer()
        self.is_lost = True
        self._unregister()

    def power_off(self) -> None:
        """Drop this end without notifying either side, because the machine has lost power."""
        self.is_lost = True
        self._network.transports.pop(self, None)

    def mark_lost(self, error: Exception | None) -> None:
        """End the connection at this end; its protocol is notified by a scheduled callback."""
        if self.is_lost:
            return
        self.is_lost = True
        self._unregister()
        self._receive_queue.clear()
        if self._protocol is not None and (self.process is None or self.process.alive):
            self._network.loop.call_soon(self._protocol.connection_lost, error, context=self._context.copy())

    def _unregister(self) -> None:
        self._network.transports.pop(self, None)
        if self.process is not None:
            self.process.connections.pop(self, None)

    def _is_isolated(self) -> bool:
        return self.address in self._network.isolated_addresses

    def _next_arrival(self) -> float:
        """The time at which a packet that is sent now reaches the peer, after all earlier packets."""
        delay = self._network.packet_delay(self.process, self.peer.process)
        return max(self._network.loop.time() + delay, self._last_arrival + MIN_SPACING_S)

    def _reset_peer(self) -> None:
        if not self._is_isolated() and not self.peer.is_lost:
            self._network.call_at(self._next_arrival(), self.peer._on_reset)

    def _on_reset(self) -> None:
        if not self._is_isolated():
            self.mark_lost(ConnectionResetError(errno.ECONNRESET, "reset"))

    def _flush(self) -> None:
        """Pass bytes to the kernel's buffers; once all are passed, resume the protocol and end the stream."""
        network = self._network
        free_bytes = KERNEL_BUFFER_BYTES - self._bytes_in_flight
        if self._send_buffer and free_bytes > 0:
            data = bytes(self._send_buffer[:free_bytes])
            del self._send_buffer[: len(data)]
            self._bytes_in_flight += len(data)
            self._last_arrival = self._next_arrival() + len(data) / network.bandwidth
            network.call_at(self._last_arrival, self.peer._on_data, data)
        if self._send_buffer:
            return
        if self._is_write_paused:
            self._is_write_paused = False
            assert self._protocol is not None
            network.loop.call_soon(self._protocol.resume_writing, context=self._context.copy())
        if self._eof_requested and not self._eof_sent:
            self._eof_sent = True
            self._last_arrival = self._next_arrival()
            network.call_at(self._last_arrival, self.peer._on_data, None)
        if self._is_closing:
            self.mark_lost(None)

    def _on_data(self, data: bytes | None) -> None:
        if self.is_lost or self._is_isolated():
            return  # an isolated host receives nothing; for the sender, the bytes stay in flight
        self._receive_queue.append(data)
        if self._protocol is not None:
            self._deliver_received()

    def _deliver_received(self) -> None:
        if self.process is not None and self.process.suspended_callbacks is not None:
            self.process.suspended_callbacks.append(self._deliver_received)
            return
        protocol = self._protocol
        assert protocol is not None
        while self._receive_queue and self._is_reading and not self.is_lost:
            data = self._receive_queue.popleft()
            if data is None:
                if not self._call_protocol(protocol.eof_received) and not self.is_lost:
                    self.close()
                return
            peer = self.peer
            peer._bytes_in_flight -= len(data)
            self._call_protocol(protocol.data_received, data)
            if not peer.is_lost and (peer._send_buffer or peer._eof_requested):
                peer._flush()
