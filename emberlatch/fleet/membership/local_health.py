"""Lifeguard's local health multiplier (Dadgar 2017): how reliable a member's own failure detection is."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to a maximum; the higher the score, the more slowly this member probes."""

    def __init__(self, max_score: int) -> None:
        self.score, self._max_score = 0, max_score

    def adjust(self, by: int) -> None:
        """Raise the score if this member seems less healthy; lower it if `by` is negative."""
        self.score = max(0, min(self._max_score, self.score + by))

    def scale(self, time_s: float) -> float:
        """Return a time-out or interval, lengthened according to the score."""
        return time_s * (1 + self.score)
