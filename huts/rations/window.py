"""A part of a rate, counted over every sliding window. Pure."""

from __future__ import annotations

from collections import deque


class Window:
    """At most so many in any span of so many seconds.

    `parts` is by how many the rate is shared. A share that shrinks binds at once for what is still to go; one
    that grows only once the others' old shares are over is the caller's care.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._sent: deque[float] = deque()

    def room_at(self, now: float, rate: float, parts: int) -> float:
        """When the next one may go; `now` if at once."""
        most = max(1, int(rate * self._span / max(1, parts)))
        while self._sent and self._sent[0] <= now - self._span:
            self._sent.popleft()
        return now if len(self._sent) < most else self._sent[-most] + self._span

    def count(self, now: float) -> None:
        """One goes out."""
        self._sent.append(now)
