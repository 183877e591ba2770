"""Accepts connections from a listening socket, a few in each turn of the event loop."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from emberlatch.engine import Listener, Tasks

log = logging.getLogger(__name__)

MAX_ACCEPTS_PER_TURN = 4
"""Maximum number of connections accepted in one turn of the event loop."""
RETRY_DELAY_S = 0.05
"""How long accepting pauses after file descriptors or memory have run out."""

ProtocolFactory = Callable[[], asyncio.Protocol]


class Acceptor:
    """Accepts connections and attaches a protocol to each, until it is closed.

    `asyncio.Server` is not used, because it accepts the complete backlog in one turn of the event loop. After
    the error EMFILE it also accepts nothing for a second.

    Attributes:
        connecting: number of accepted connections to which no protocol is attached yet.
    """

    def __init__(self, listener: Listener, factory: ProtocolFactory, tasks: Tasks) -> None:
        self._listener: Listener | None = listener
        self._factory, self._tasks = factory, tasks
        self.connecting = 0
        self._paused = False
        self._listen()

    def _listen(self) -> None:
        if self._listener is not None and not self._paused:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        loop, listener = asyncio.get_running_loop(), self._listener
        for _ in range(MAX_ACCEPTS_PER_TURN if listener is not None else 0):
            assert listener is not None
            try:
                accepted, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # file descriptors or memory have run out
                log.error("cannot accept connections: %s; next attempt in %g s", error, RETRY_DELAY_S)
                loop.remove_reader(listener)
                loop.call_later(RETRY_DELAY_S, self._listen)
                return
            self.adopt(accepted, self._factory)

    def adopt(self, accepted: socket.socket, factory: ProtocolFactory) -> None:
        """Attach a protocol to a connection that this or another process has accepted."""
        accepted.setblocking(False)
        self.connecting += 1
        self._tasks.spawn(self._connect(accepted, factory))

    async def _connect(self, accepted: socket.socket, factory: ProtocolFactory) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(factory, accepted)
        except OSError as error:
            log.info("accepted connection failed before a protocol was attached: %s", error)
            accepted.close()
        finally:
            self.connecting -= 1

    def pause(self, active: bool) -> None:
        """Stop accepting if `active`, so that new connections wait in the backlog; otherwise resume."""
        if self._listener is not None:
            self._paused = active
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listen()

    def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
