"""Lifeguard's local health multiplier (Dadgar 2017): slows probes if a member itself seems slow."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to a maximum; the higher the score, the more slowly this member probes."""

    def __init__(self, max_score: int) -> None:
        self.score, self._max_score = 0, max_score

    def adjust(self, by: int) -> None:
        """Add `by` to the score, within its limits; it is positive if this member seems less healthy."""
        self.score = max(0, min(self._max_score, self.score + by))

    def scale(self, time_s: float) -> float:
        """Return a time-out or interval, lengthened according to the score."""
        return time_s * (1 + self.score)
