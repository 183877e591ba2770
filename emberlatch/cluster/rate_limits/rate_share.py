"""A part of a rate that all keep together in every sliding window. Pure.

Tokens come at this part's rate and are kept up to a depth, so that bursts are bounded. A new life begins with
one: what the life before sent a moment ago counts still, and was paced the same way. Over any window all
parts together send at most rate x window, and the depths: these fit into what the limit allows above that.
"""

from __future__ import annotations

SPARE = 5.0  # arrivals above the excess that the rule allows in a window


class RateShare:
    """`span` and `excess` are the rule's: seconds of its window, and what may come over rate x window."""

    def __init__(self, span: float, excess: float, now: float) -> None:
        self._span, self._excess = span, excess
        self._tokens, self._filled = 1.0, now

    def _depth(self, rate: float, parts: float) -> float:
        """The tokens of this part; one more may be there from a start."""
        return max(1.0, (max(0.0, self._excess - 1) * rate * self._span + SPARE) / parts - 1)

    def room_at(self, now: float, rate: float, parts: float) -> float:
        """When the next one may go; `now` if at once."""
        part = rate / max(1, parts)
        most = self._depth(rate, max(1, parts))
        self._tokens = min(most, self._tokens + part * (now - self._filled))
        self._filled = now
        return now if self._tokens >= 1 else now + (1 - self._tokens) / part + 1e-6

    def count(self) -> None:
        """One goes out."""
        self._tokens -= 1
