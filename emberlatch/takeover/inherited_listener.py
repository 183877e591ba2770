"""Opens a listening socket that the platform keeps open and each process inherits."""

from __future__ import annotations

import os
import socket

from emberlatch.takeover.errors import InvalidDescriptorError

MAX_DIGITS = 6  # maximum number of digits in a file descriptor number


def inherited_listener(text: str) -> socket.socket:
    """Return the socket whose file descriptor number is `text`.

    Raises InvalidDescriptorError if the descriptor is not a listening TCP socket. The socket is shared with
    the platform: it must not be shut down, and closing it closes only the descriptor of this process.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        raise InvalidDescriptorError(f"{text!r} is not a file descriptor number")
    number = int(text)
    try:
        os.fstat(number)
        found = socket.socket(fileno=number)
    except OSError as error:
        raise InvalidDescriptorError(f"file descriptor {number} is not a socket: {error.strerror}") from error
    is_tcp = found.type == socket.SOCK_STREAM and found.family in (socket.AF_INET, socket.AF_INET6)
    if not is_tcp or not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        found.detach()  # this process does not own the descriptor, so it must not close it
        raise InvalidDescriptorError(f"file descriptor {number} is not a listening TCP socket")
    found.set_inheritable(False)
    found.setblocking(False)
    return found
