"""The Unix socket on which the owner of a state folder listens for its successor.

Only processes of the same user may connect to it.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path

from emberlatch.takeover.connection import UnixConnection

MAX_ADDRESS_BYTES = 107  # maximum length of a Unix socket's address
MAX_NAME_LENGTH = 40  # maximum length of a forwarder's name within the file name, in characters
BACKLOG = 8  # maximum number of connections that wait to be accepted


def handover_socket_path(name: str) -> Path:
    """Return the socket path of the forwarder `name`, in the folder for temporary files.

    Predecessor and successor share that folder.
    """
    plain = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:MAX_NAME_LENGTH]
    return Path(os.environ.get("TMPDIR") or "/tmp") / f"emberlatch-{plain}.sock"


def listen(path: Path) -> socket.socket:
    """Listen on a Unix socket at `path`; replace the socket file of an earlier process. Raises OSError."""
    path.unlink(missing_ok=True)
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    before = os.umask(0o177)  # created with mode 0600, so other users can never connect
    try:
        _with_address(path, listener.bind)
    except OSError:
        listener.close()
        raise
    finally:
        os.umask(before)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def connect(path: Path) -> socket.socket:
    """Connect to the process that listens at `path`. Raises OSError if there is none."""
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    connection.setblocking(False)  # connecting does not wait: if the backlog is full, it fails
    try:
        _with_address(path, connection.connect)
    except OSError:
        connection.close()
        raise
    return connection


def open_connection(path: Path) -> UnixConnection:
    """Return a connection to the process that listens at `path`. Raises OSError if there is none."""
    return UnixConnection(connect(path))


def _with_address(path: Path, use: Callable[[str], None]) -> None:
    """Call `use` with a path as socket address; replace a path that is too long by one in /proc/self/fd."""
    if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
        use(str(path))
        return
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        use(f"/proc/self/fd/{folder}/{path.name}")
    finally:
        os.close(folder)
