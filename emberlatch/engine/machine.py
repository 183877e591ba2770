"""The operating system facilities that a process uses besides the event loop.

A simulated machine can replace them. The monotonic clock and outgoing connections are provided by the
running event loop.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from emberlatch.engine.ports import Address
from emberlatch.store import Files, Folder, Offload

BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


class Listener(Protocol):
    """The required methods of a listening socket. `fileno` is readable while a connection is waiting."""

    def accept(self) -> tuple[Any, Any]:
        """Return the next connection and its peer's address; raises BlockingIOError if none is waiting."""

    def fileno(self) -> int:
        """Return the file descriptor to wait on."""

    def close(self) -> None:
        """Stop listening."""


def listen(address: Address) -> Listener:
    """Open a listening TCP socket; raises OSError if the address cannot be bound."""
    listener = socket.create_server(address, backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def boot() -> str:
    """Return Linux's boot id, which changes with each boot. Without such an id, return an empty text."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class Machine:
    """The facilities of a machine.

    Attributes:
        wall_clock: returns the wall clock's Unix time in seconds.
        boot_id: returns the boot id. While the id stays the same, the event loop's clock never jumps.
        listen: opens a listening socket.
        files: opens a folder whose files survive the process.
        offload: runs a blocking function outside of the event loop.
    """

    wall_clock: Callable[[], float] = time.time
    boot_id: Callable[[], str] = boot
    listen: Callable[[Address], Listener] = listen
    files: Callable[[Path], Files] = Folder
    offload: Offload = asyncio.to_thread


REAL_MACHINE = Machine()
