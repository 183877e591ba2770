"""Which machine is responsible for a key. Every process computes the same result, without a vote.

Rendezvous hashing (Thaler, Ravishankar 1998): each machine has a rank for each key, and the machine with the
highest rank is responsible. When machines are added or removed, few keys move to another machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32


def rank(key: str, node: str) -> int:
    """The 32-bit rank of a machine for a key."""
    return crc32(f"{key}/{node}".encode())


def primary_store(key: str, nodes: Iterable[str]) -> str | None:
    """The machine with the highest rank for a key; None if there are no machines."""
    return max(nodes, key=lambda node: rank(key, node), default=None)
