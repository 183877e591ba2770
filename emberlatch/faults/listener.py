"""Listening sockets of the simulated network, and servers that accept connections automatically."""

from __future__ import annotations

import asyncio
import contextvars
import errno
from collections import deque
from collections.abc import Callable
from typing import Protocol

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import Address, ListeningSocket, Process
from emberlatch.faults.transport import VirtualTransport

RESERVED_DESCRIPTORS = 8  # descriptors of a process for standard streams, event loop and journal


class ListenerNetwork(Protocol):
    """What a listener needs from its network."""

    loop: VirtualLoop

    def unregister(self, listener: ListeningSocket) -> None:
        """Remove a listener from the network."""


def check_descriptors(process: Process) -> None:
    """Raise OSError (EMFILE) if a process has no descriptor for another connection."""
    if len(process.connections) + RESERVED_DESCRIPTORS >= process.descriptors:
        raise OSError(errno.EMFILE, "too many open files")


class Listener:
    """A listening socket of `process`; `backlog` has the connections that are not accepted yet."""

    def __init__(self, network: ListenerNetwork, address: Address, process: Process) -> None:
        self.address, self.process = address, process
        self.backlog: deque[VirtualTransport] = deque()
        self._network = network
        self._callback: Callable[[], object] | None = None
        self._context = contextvars.copy_context()

    def enqueue(self, transport: VirtualTransport) -> None:
        """Add an established connection to the backlog."""
        self.backlog.append(transport)
        self._schedule_accept()

    def _schedule_accept(self) -> None:
        if self._callback is not None and self.backlog:
            self._network.loop.call_soon(self._on_readable, context=self._context.copy())

    def _on_readable(self) -> None:
        if self._callback is not None and self.backlog:
            self._callback()
            self._schedule_accept()  # level-triggered: called again while the backlog is not empty

    def set_reader(self, callback: Callable[..., object] | None, args: tuple[object, ...]) -> None:
        """Call `callback` while the backlog is not empty; None to stop."""
        self._callback = (lambda: callback(*args)) if callback is not None else None
        self._context = contextvars.copy_context()
        self._schedule_accept()

    def fileno(self) -> int:
        """Return a placeholder, because the loop uses the listener itself in place of a descriptor."""
        return 0

    def accept(self) -> tuple[VirtualTransport, Address]:
        """Accept the next connection.

        Raises BlockingIOError if the backlog is empty, and OSError (EMFILE) if no descriptor is free.
        """
        if not self.backlog:
            raise BlockingIOError
        check_descriptors(self.process)
        transport = self.backlog.popleft()
        self.process.connections[transport] = None
        return transport, self.address

    def close(self) -> None:
        """Stop listening and reset the connections in the backlog."""
        self._network.unregister(self)
        while self.backlog:
            self.backlog.popleft().discard()


class VirtualServer:
    """A server that accepts each connection at once, as asyncio's servers do."""

    def __init__(self, listener: Listener, factory: Callable[[], asyncio.Protocol]) -> None:
        self._listener, self._factory = listener, factory
        listener.set_reader(self._accept, ())

    def _accept(self) -> None:
        transport, _ = self._listener.accept()
        transport.attach(self._factory)

    @property
    def sockets(self) -> list[VirtualServer]:
        """The server's only socket, represented by the server itself."""
        return [self]

    def getsockname(self) -> Address:
        """The address on which the server listens."""
        return self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def wait_closed(self) -> None:
        """Return at once: `close` has already closed the server."""
