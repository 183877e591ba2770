"""How the file descriptors of a process are divided between client connections and calls to targets."""

from __future__ import annotations

RESERVED_DESCRIPTORS = 32
"""Number of descriptors for everything except client connections and calls.

These are the standard streams, the descriptors of the event loop, the listener, and files being read. The
journal has two files while it switches to a new one. Discovery and notifications have two connections each
while their address changes. Sockets that were accepted or closed in the current turn of the event loop also
need descriptors, because they are not counted yet.
"""
CLIENTS_SHARE = 0.5
"""Share of the descriptors that are not reserved which client connections get; calls get the rest."""


def split_descriptors(descriptors: int, reserved: int = 0) -> tuple[int, int]:
    """Return the maximum numbers of client connections and of calls.

    `reserved` is the number of descriptors to keep free in addition to RESERVED_DESCRIPTORS.

    Raises:
        ValueError: no descriptor would remain for clients.
    """
    free = descriptors - RESERVED_DESCRIPTORS - reserved
    clients = int(free * CLIENTS_SHARE)
    if clients < 1:
        raise ValueError(f"must be greater than {RESERVED_DESCRIPTORS + reserved + 1}, got {descriptors}")
    return clients, free - clients
