"""Limits how long a message waits for a lease.

The limit is short while all routes are healthy. A message stops waiting once its delivery can no longer be
expected.
"""

from __future__ import annotations

import math

from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.context import Context
from emberlatch.core.records import Message, Pool, Route

# An outage that has lasted for some time is expected to last for this share of that time longer. A share of 1
# rejects too many messages.
OUTAGE_REMAINDER_SHARE = 1 / 3
MIN_REJECTIONS = 5  # number of rejections before the behaviour of clients is judged
RESUBMITTED_SHARE = 0.3  # clients count as resubmitting from this ratio of resubmissions to rejections


class SubmissionStatistics:
    """Counts rejections and resubmissions, to find out whether clients resubmit rejected messages.

    Attributes:
        rejected: number of first submissions that were rejected.
        resubmitted: number of messages that were submitted again.
    """

    __slots__ = ("rejected", "resubmitted")

    def __init__(self) -> None:
        self.rejected = self.resubmitted = 0

    @property
    def clients_resubmit(self) -> bool:
        """Return whether clients resubmit rejected messages.

        The result is True until at least `MIN_REJECTIONS` messages were rejected.
        """
        return self.rejected < MIN_REJECTIONS or self.resubmitted >= RESUBMITTED_SHARE * self.rejected


class WaitPolicy:
    """Decides until when a message waits. Has no state of its own."""

    __slots__ = ("_bulkhead", "_context", "_submissions")

    def __init__(self, context: Context, bulkhead: Bulkhead, submissions: SubmissionStatistics) -> None:
        self._context, self._bulkhead, self._submissions = context, bulkhead, submissions

    @property
    def is_bounded(self) -> bool:
        """Return whether first submissions have a wait limit: only if clients resubmit what is rejected."""
        return self._submissions.clients_resubmit

    def limit(self, pool: Pool) -> float:
        """Return the maximum wait of a first submission in seconds; infinity if a route is unhealthy.

        This is the time in which the pool processes a burst of `open_cap` messages with all of its leases.
        """
        if pool.unhealthy:
            return math.inf
        burst = self._context.settings.open_cap * pool.baseline_latency
        return burst / self._bulkhead.lease_limit(pool) or math.inf

    @staticmethod
    def ends_at(message: Message, pool: Pool, limit: float) -> float:
        """Return when the wait of a first submission ends.

        A message that is sent by then can still meet its latency target.
        """
        return min(message.on_time_until - pool.baseline_latency, message.accepted_at + limit)

    def outage_routes(self, pool: Pool) -> list[Route]:
        """Return all routes of a pool if none is both serving and unblocked, otherwise an empty list."""
        now = self._context.now
        is_serving = any(r.unanswered_since == math.inf and r.blocked_until <= now for r in pool.routes)
        return [] if is_serving else pool.routes

    @staticmethod
    def undeliverable_from(message: Message, pool: Pool, routes: list[Route]) -> float:
        """Return the time from which no route is expected to deliver a message before its deadline.

        Only the age of an outage is known, so a route that has not served for some time is expected to stay
        out of service for a proportional time. The end of a retry-after is known exactly.
        """
        latest = message.deadline_at - pool.baseline_latency
        outage_starts = [route.unanswered_since for route in routes if route.blocked_until <= latest]
        if not outage_starts:
            return -math.inf if routes else math.inf
        return (latest + OUTAGE_REMAINDER_SHARE * max(outage_starts)) / (1 + OUTAGE_REMAINDER_SHARE)
