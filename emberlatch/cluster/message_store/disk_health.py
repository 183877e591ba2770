"""The condition of the disk, from what became of the commits. Pure."""

from __future__ import annotations

import math
from enum import Enum

STALLED_S = 0.5  # seconds that a commit has been running, from which on the disk counts as stalled
RETRY_S = (0.1, 0.2, 0.4, 0.8, 1.0)  # seconds before a failed commit is tried again, by how many failed


class DiskState(Enum):
    """What the disk does."""

    OK = "ok"
    STALLED = "stalled"  # a commit has been running for long
    FAILING = "failing"  # the last commit failed: full, or broken
    UNREADABLE = "unreadable"  # this life of the process has not read it yet


class DiskHealth:
    """See the module. Times are the loop's."""

    def __init__(self) -> None:
        self._readable = False
        self._failures = 0  # commits that failed since one succeeded
        self._busy_since = math.inf

    @property
    def failing(self) -> bool:
        """Whether the last commit failed."""
        return self._failures > 0

    @property
    def retry_s(self) -> float:
        """Seconds until a failed commit is to be tried again."""
        return RETRY_S[min(max(self._failures, 1), len(RETRY_S)) - 1]

    def read(self) -> None:
        """What lay on the disk was read."""
        self._readable = True

    def began(self, now: float) -> None:
        """A commit runs from now on."""
        self._busy_since = now

    def succeeded(self) -> None:
        """The commit is done."""
        self._busy_since, self._failures = math.inf, 0

    def failed(self) -> None:
        """The commit failed, and was rolled back."""
        self._busy_since, self._failures = math.inf, self._failures + 1

    def lag(self, now: float) -> float:
        """For how long the commit that runs has been running."""
        return max(0.0, now - self._busy_since)

    def state(self, now: float) -> DiskState:
        """What the disk does now."""
        if not self._readable:
            return DiskState.UNREADABLE
        if self.failing:
            return DiskState.FAILING
        return DiskState.STALLED if self.lag(now) > STALLED_S else DiskState.OK
