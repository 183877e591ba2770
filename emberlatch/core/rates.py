"""A token bucket and an exponentially decaying average rate. Times and durations are in seconds."""

from __future__ import annotations

import math

MIN_REFILL_S, MAX_REFILL_S = 1e-9, 60.0
ROUNDING_MARGIN_S = 1e-6


class TokenBucket:
    """A token bucket with a variable refill rate and depth. A new bucket contains one token."""

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, tokens: float = 1.0, refilled_at: float = 0.0) -> None:
        self.tokens, self.refilled_at = tokens, refilled_at

    def refill(self, now: float, rate: float, depth: float) -> float:
        """Add the tokens accrued since the last refill and return the number of tokens."""
        elapsed = min(max(now - self.refilled_at, MIN_REFILL_S), MAX_REFILL_S)
        self.tokens = min(depth, self.tokens + rate * elapsed)
        self.refilled_at = now
        return self.tokens

    def ready_at(self, rate: float) -> float:
        """Return when a token will be available.

        If a token is available already, return the time of the last refill without the rounding margin, so
        that the result is not in the future. Otherwise, on a clock with a fine resolution, a message that
        waits for something else would again and again set a timer that is due immediately.
        """
        if self.tokens >= 1:
            return self.refilled_at
        return self.refilled_at + (1 - self.tokens) / rate + ROUNDING_MARGIN_S


class DecayingRate:
    """An exponentially weighted average of the number of events per second."""

    __slots__ = ("updated_at", "value")

    def __init__(self) -> None:
        self.value, self.updated_at = 0.0, 0.0

    def at(self, now: float, window: float) -> float:
        """Return the rate at `now`. `window` is the time constant of the decay in seconds."""
        return self.value * math.exp(-(now - self.updated_at) / window)

    def add(self, now: float, window: float) -> None:
        """Count one event at `now`; `window` as in `at`."""
        self.value, self.updated_at = self.at(now, window) + 1 / window, now
