"""Simulated processes: groups of callbacks and connections that are killed, suspended and resumed together.

Several processes share one `VirtualLoop`. A context variable identifies the process to which the running code
belongs. Code outside of all processes belongs to `ENVIRONMENT`, which is never killed.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import NoReturn, Protocol

UNLIMITED_DESCRIPTORS = 1 << 30

Address = tuple[str, int]
"""Host and port."""


class ProcessKilled(BaseException):
    """Raised in a process that was killed, to unwind its stack; no code of the process may handle it."""


class Connection(Protocol):
    """The end of a connection that belongs to a process."""

    def discard(self) -> None:
        """Reset the peer without notifying this side, because its process is dead."""

    def power_off(self) -> None:
        """Drop this end without notifying either side, because the machine has lost power."""


class ListeningSocket(Protocol):
    """A socket on which a process listens."""

    address: Address

    def close(self) -> None:
        """Stop listening."""


class Process:
    """One simulated process, which may have `descriptors` file descriptors open.

    Only the loop and the network change the fields, except `on_death`, which is called once, after a kill.
    """

    def __init__(self, name: str, descriptors: int = UNLIMITED_DESCRIPTORS) -> None:
        self.name, self.alive, self.descriptors = name, True, descriptors
        self.connections: dict[Connection, None] = {}  # a dict used as an ordered set
        self.listeners: list[ListeningSocket] = []
        self.on_death: Callable[[], None] = lambda: None
        # Callbacks that became due during a suspension, in order; None while not suspended:
        self.suspended_callbacks: list[Callable[[], object]] | None = None

    def suspend(self) -> None:
        """Suspend the process like SIGSTOP: none of its callbacks runs until it is resumed."""
        if self.suspended_callbacks is None:
            self.suspended_callbacks = []

    def resume(self, loop: asyncio.AbstractEventLoop) -> None:
        """Resume the process like SIGCONT: the callbacks that became due meanwhile run in order."""
        callbacks, self.suspended_callbacks = self.suspended_callbacks or [], None
        for callback in callbacks:
            loop.call_soon(callback, context=ENVIRONMENT_CONTEXT.copy())

    def kill(self) -> None:
        """Kill the process like SIGKILL: reset its connections, close its listeners, drop its callbacks."""
        if not self.alive:
            return
        self.alive, self.suspended_callbacks = False, None
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.discard()
        self.connections.clear()
        self.on_death()

    def power_off(self) -> None:
        """Stop the process like a power loss: no peer is notified, and `on_death` is not called."""
        self.alive = False
        for connection in list(self.connections):
            connection.power_off()
        self.connections.clear()


ENVIRONMENT = Process("environment")
"""The owner of all code that runs outside of the simulated processes."""

ENVIRONMENT_CONTEXT = contextvars.Context()
"""The context of events between processes, such as packets in transit. They happen even if a process dies."""

current_process: contextvars.ContextVar[Process] = contextvars.ContextVar("process", default=ENVIRONMENT)
"""The process to which the running code belongs."""


def context_of(process: Process) -> contextvars.Context:
    """A copy of the current context, changed so that code that runs in it belongs to `process`."""
    context = contextvars.copy_context()
    context.run(current_process.set, process)
    return context


def kill_current_process() -> NoReturn:
    """Kill the process to which the caller belongs; raises ProcessKilled."""
    current_process.get().kill()
    raise ProcessKilled
