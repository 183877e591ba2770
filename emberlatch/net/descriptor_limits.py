"""How the file descriptors of a process are divided between client connections and calls to targets."""

from __future__ import annotations

RESERVED_DESCRIPTORS = 32
"""Descriptors for everything else: standard streams, the event loop's own, the listener, the journal's files
(two while it switches to a new one), discovery and notifications (two each while their address changes),
files being read, and sockets that were accepted or closed in this turn of the event loop and are not counted
yet."""
CLIENTS_SHARE = 0.5
"""Share of the other descriptors that client connections get; the rest is for calls."""


def split_descriptors(descriptors: int, reserved: int = 0) -> tuple[int, int]:
    """Return the maximum numbers of client connections and of calls, without `reserved` descriptors.

    Raises:
        ValueError: no descriptor would remain for clients.
    """
    free = descriptors - RESERVED_DESCRIPTORS - reserved
    clients = int(free * CLIENTS_SHARE)
    if clients < 1:
        raise ValueError(f"must be greater than {RESERVED_DESCRIPTORS + reserved + 1}, got {descriptors}")
    return clients, free - clients
