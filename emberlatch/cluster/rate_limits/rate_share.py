"""One process's share of a rate limit that all processes keep together in every sliding window.

The share is a token bucket without a clock of its own. Tokens are added at the share's rate, up to a depth
that limits bursts. A new incarnation of a process starts with only one token, because messages that its
predecessor sent a moment ago still count in the window. In any window all shares together send at most rate x
window plus the sum of their depths, and that sum is within the excess that the limit allows.
"""

from __future__ import annotations

WINDOW_ALLOWANCE = 5.0  # messages that a window may contain above its excess factor
INITIAL_TOKENS = 1.0
ROUNDING_MARGIN_S = 1e-6


class RateShare:
    """A token bucket; each call passes the rate and its divisor, because both may change.

    Args:
        window_s: length in seconds of the limit's sliding window.
        excess: factor by which a window may exceed rate x window.
        now: time in seconds, as in all calls; must never decrease.
    """

    def __init__(self, window_s: float, excess: float, now: float) -> None:
        self._window_s, self._excess = window_s, excess
        self._tokens, self._filled_at = INITIAL_TOKENS, now

    def next_token_at(self, now: float, rate_per_s: float, divisor: float) -> float:
        """Return when the next message may be sent; `now` if it may be sent at once.

        `rate_per_s` is the limit of all shares together. This share's rate is `rate_per_s` divided by
        `divisor`; a divisor below 1 counts as 1.
        """
        divisor = max(1, divisor)
        share_per_s = rate_per_s / divisor
        depth = self._depth(rate_per_s, divisor)
        self._tokens = min(depth, self._tokens + share_per_s * (now - self._filled_at))
        self._filled_at = now
        if self._tokens >= 1:
            return now
        return now + (1 - self._tokens) / share_per_s + ROUNDING_MARGIN_S

    def take_token(self) -> None:
        """Take a token for one message that is sent."""
        self._tokens -= 1

    def _depth(self, rate_per_s: float, divisor: float) -> float:
        # One token is subtracted because a restarted process gets one initial token in addition.
        excess = max(0.0, self._excess - 1) * rate_per_s * self._window_s
        return max(1.0, (excess + WINDOW_ALLOWANCE) / divisor - INITIAL_TOKENS)
