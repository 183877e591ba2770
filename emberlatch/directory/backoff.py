"""Delays before the first request and before retries, with exponential backoff and jitter."""

from __future__ import annotations

import random

INITIAL_DELAY_S, MAX_DELAY_S = 0.15, 2.0  # first and longest delay without a Retry-After
RETRIES_BEFORE_DEADLINE = 8.0  # caps a delay at an eighth of the time until the deadline
MIN_DELAY_S = 0.1
OVERDUE_DELAY_S = 0.5  # upper limit of a delay after the deadline; a smaller value would not help
SERVICE_TIME_PER_CALL_S = 0.2
UNSTAGGERED_CALLERS = 3  # number of callers that may send requests at the same moment
MAX_ROUND_S = 8.0
MAX_EXPONENT = 10
DEADLINE_MARGIN_S = 1.0  # minimum time between the end of a Retry-After and the deadline


class Backoff:
    """Computes delays that double with each failure.

    Each delay is a random value between half and all of the computed delay, so that clients do not retry at
    the same moments. A cap on the delay leaves time for enough retries before the deadline, so that a failed
    request does not delay a list too long.

    All delays scale with the *round*, the time in which the service can answer each of its callers once. If
    forty callers send a request at the same moment, the last requests wait in the service's queue for
    longer than the service allows, and fail. If callers that failed retry within a second, the queue never
    empties, and no request is ever answered. With few callers the round is zero.
    """

    def __init__(self, seed: int, callers: int = 1) -> None:
        """`callers`: how many forwarders, including this one, use the same service."""
        self._random = random.Random(f"directory {seed}")
        self.round_s = min(MAX_ROUND_S, SERVICE_TIME_PER_CALL_S * max(0, callers - UNSTAGGERED_CALLERS))
        self._failures = 0

    def reset(self) -> None:
        """Return to the initial delay, after a request has succeeded."""
        self._failures = 0

    def first_delay_s(self) -> float:
        """Return a random delay before the first request after a start or a change of the address.

        The delay is needed because all callers begin at the same time.
        """
        return self._random.uniform(0.0, self.round_s)

    def next_delay_s(self, until_deadline_s: float, retry_after_s: float = 0.0) -> float:
        """Seconds until the next retry.

        `until_deadline_s` is negative once the deadline has passed; `retry_after_s` is 0 if the service
        asked for no delay.
        """
        exponential = min(
            MAX_DELAY_S + self.round_s,
            (INITIAL_DELAY_S + self.round_s / 2) * 2.0 ** min(self._failures, MAX_EXPONENT),
        )
        self._failures += 1
        cap = until_deadline_s / RETRIES_BEFORE_DEADLINE if until_deadline_s > 0 else OVERDUE_DELAY_S
        delay = min(exponential, max(cap, self.round_s / 4)) * self._random.uniform(0.5, 1.0)
        requested = 0.0
        if retry_after_s > 0:
            # A Retry-After is shortened if it leaves no time for one retry before the deadline.
            latest = max(until_deadline_s - DEADLINE_MARGIN_S, MIN_DELAY_S)
            requested = min(retry_after_s * self._random.uniform(1.0, 1.3), latest)
        return max(MIN_DELAY_S * self._random.uniform(1.0, 1.5), delay, requested)
