"""Which machine is to do something, by what all know alike: no vote, and little moves when machines change.

Rendezvous hashing (Thaler, Ravishankar 1998): each machine has a rank for each thing, the highest does it.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32


def rank(thing: str, node: str) -> int:
    """A machine's rank for a thing."""
    return crc32(f"{thing}/{node}".encode())


def first(thing: str, nodes: Iterable[str]) -> str | None:
    """The machine that is to do it; None if there is none."""
    return max(nodes, key=lambda node: rank(thing, node), default=None)
