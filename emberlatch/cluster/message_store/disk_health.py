"""The health of the disk, derived from the outcomes of its commits. Pure: no disk, no clock."""

from __future__ import annotations

import math
from enum import Enum

STALLED_S = 0.5  # the disk counts as stalled while a commit has been running for longer
RETRY_S = (0.1, 0.2, 0.4, 0.8, 1.0)  # backoff of a failed commit, by the number of failures in a row


class DiskState(Enum):
    """The state of the disk."""

    OK = "ok"
    STALLED = "stalled"  # a commit has been running for more than `STALLED_S`
    FAILING = "failing"  # the last commit failed: the disk is full or faulty
    UNREADABLE = "unreadable"  # this incarnation of the process has not read the disk yet


class DiskHealth:
    """Tracks the outcomes of the commits of one database. Times are the event loop's, in seconds."""

    def __init__(self) -> None:
        self._readable = False
        self._failures = 0  # number of failed commits since the last successful one
        self._busy_since = math.inf  # start of the running commit; infinite while none runs

    @property
    def failing(self) -> bool:
        """Whether the last commit failed."""
        return self._failures > 0

    @property
    def retry_s(self) -> float:
        """Seconds to wait before a failed commit is retried."""
        return RETRY_S[min(max(self._failures, 1), len(RETRY_S)) - 1]

    def mark_readable(self) -> None:
        """Note that the records on the disk were read."""
        self._readable = True

    def commit_started(self, now: float) -> None:
        """Note that a commit has started."""
        self._busy_since = now

    def commit_succeeded(self) -> None:
        """Note that the commit succeeded."""
        self._busy_since, self._failures = math.inf, 0

    def commit_failed(self) -> None:
        """Note that the commit failed and was rolled back."""
        self._busy_since, self._failures = math.inf, self._failures + 1

    def lag(self, now: float) -> float:
        """Return for how many seconds the current commit has been running; 0.0 if there is none."""
        return max(0.0, now - self._busy_since)

    def state(self, now: float) -> DiskState:
        """Return the state of the disk at the time `now`."""
        if not self._readable:
            return DiskState.UNREADABLE
        if self.failing:
            return DiskState.FAILING
        return DiskState.STALLED if self.lag(now) > STALLED_S else DiskState.OK
