"""What a process sends to others: frames and bytes by who gets them and what they are about."""

from __future__ import annotations

from collections.abc import Callable

Key = tuple[str, str]
"""A peer's node, and the method; answers to it are counted under it, with an `=` before."""


class TrafficCounters:
    """See the module. What it holds is bounded by peers x methods."""

    def __init__(self) -> None:
        self.sent: dict[Key, list[int]] = {}  # frames, bytes

    def count(self, peer: str, method: str, size: int) -> None:
        """A frame goes out."""
        sums = self.sent.get((peer, method))
        if sums is None:
            sums = self.sent[peer, method] = [0, 0]
        sums[0] += 1
        sums[1] += size

    def over(self, border: Callable[[str], bool]) -> dict[str, tuple[int, int]]:
        """Frames and bytes by method, of those peers that lie over a border."""
        found: dict[str, tuple[int, int]] = {}
        for (peer, method), (frames, size) in self.sent.items():
            if border(peer):
                before = found.get(method, (0, 0))
                found[method] = before[0] + frames, before[1] + size
        return found
