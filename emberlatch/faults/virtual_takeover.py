"""Simulated operating system facilities with which one process takes over from another.

The real code of both processes uses this module's lock, connection and inherited listening socket.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable, Sequence

from emberlatch.faults.listener import Listener
from emberlatch.faults.network import Network
from emberlatch.faults.process import ENVIRONMENT, Address, Process, current_process
from emberlatch.faults.transport import MIN_SPACING_S, VirtualTransport
from emberlatch.takeover import Frame, HandoverConnectionError


class StateFolder:
    """The lock state of a state folder; `holder` is the process that has locked it."""

    def __init__(self) -> None:
        self.holder: Process | None = None


class VirtualLock:
    """The current process's handle of a state folder's lock. The lock is free once its holder is dead."""

    def __init__(self, folder: StateFolder) -> None:
        self._folder, self._process = folder, current_process.get()

    @property
    def acquired(self) -> bool:
        """Whether this process has the lock."""
        return self._folder.holder is self._process

    def acquire(self) -> bool:
        """See `takeover.OwnershipLock`."""
        holder = self._folder.holder
        if holder is None or not holder.alive:
            self._folder.holder = self._process
        return self.acquired

    def release(self) -> None:
        """See `takeover.OwnershipLock`."""
        if self.acquired:
            self._folder.holder = None


class VirtualHandoverConnection:
    """One end of a `takeover.HandoverConnection`.

    The connection is closed when its process dies. Frames that were sent before still arrive.
    """

    peer: VirtualHandoverConnection

    def __init__(self, network: Network, process: Process) -> None:
        self.closed = False
        self._network, self._process = network, process
        self._received_frames: deque[Frame] = deque()
        self._is_peer_closed = False
        self._waiter: asyncio.Future[None] | None = None
        self._last_arrival = 0.0
        process.connections[self] = None

    def post(self, kind: str, **body: object) -> None:
        """See `takeover.HandoverConnection`."""
        if self.closed or self.peer.closed:
            raise HandoverConnectionError("the peer has closed the connection")
        frame = Frame(kind, json.loads(json.dumps({"kind": kind} | body)), [])
        self._send(lambda: self.peer._on_frame(frame))

    async def send(self, kind: str, body: dict[str, object], descriptors: Sequence[int] = ()) -> None:
        """See `takeover.HandoverConnection`; descriptors are not passed, as simulated sockets have none."""
        self.post(kind, **body)
        await asyncio.sleep(0)

    async def receive(self) -> Frame | None:
        """See `takeover.HandoverConnection`."""
        while not self._received_frames:
            if self._is_peer_closed or self.closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._received_frames.popleft()

    def close(self) -> None:
        """See `takeover.HandoverConnection`."""
        if not self.closed:
            self.closed = True
            self._process.connections.pop(self, None)
            self._send(self.peer._on_peer_closed)

    def discard(self) -> None:
        """Close the connection, because the process is dead."""
        self.close()

    def power_off(self) -> None:
        """Close this end only: the peer is on the same machine and has lost power too."""
        self.closed = True

    def _send(self, callback: Callable[[], None]) -> None:
        network = self._network
        arrival = network.loop.time() + network.draw_latency()
        self._last_arrival = max(arrival, self._last_arrival + MIN_SPACING_S)
        network.call_at(self._last_arrival, callback)

    def _on_frame(self, frame: Frame) -> None:
        self._received_frames.append(frame)
        self._wake_receiver()

    def _on_peer_closed(self) -> None:
        self._is_peer_closed = True
        self._wake_receiver()

    def _wake_receiver(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def connect_pair(
    network: Network, one: Process, other: Process
) -> tuple[VirtualHandoverConnection, VirtualHandoverConnection]:
    """Connect two processes of one machine; returns the end of each."""
    local, remote = VirtualHandoverConnection(network, one), VirtualHandoverConnection(network, other)
    local.peer, remote.peer = remote, local
    return local, remote


class SharedListener:
    """A listening socket that the service manager owns, so that it and its backlog survive every process."""

    def __init__(self, network: Network, address: Address) -> None:
        self.listener = Listener(network, address, ENVIRONMENT)
        network.register(self.listener)
        self.active_handle: InheritedListener | None = None


class InheritedListener:
    """The current process's handle of a shared listening socket."""

    def __init__(self, shared: SharedListener) -> None:
        self._shared, self._process = shared, current_process.get()

    def set_reader(self, callback: Callable[..., object] | None, args: tuple[object, ...]) -> None:
        """See `Listener.set_reader`; connections go to the process that set a callback last."""
        shared = self._shared
        if callback is None and shared.active_handle is not self:
            return
        shared.active_handle = self if callback is not None else None
        shared.listener.set_reader(callback, args)

    def accept(self) -> tuple[VirtualTransport, Address]:
        """See `Listener.accept`."""
        transport, address = self._shared.listener.accept()
        ENVIRONMENT.connections.pop(transport, None)
        transport.process = self._process
        self._process.connections[transport] = None
        return transport, address

    def fileno(self) -> int:
        """See `Listener.fileno`."""
        return 0

    def close(self) -> None:
        """Stop accepting through this handle; the shared socket stays open."""
        self.set_reader(None, ())
