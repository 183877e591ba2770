"""Computes a member's quota share (its fraction of each partner's rate limit) and the classes it rejects.

The shares of all members on all sides of a network partition never sum to more than the limit. Each share is
at most 1/N, where N is the size of the largest fleet that may be alive, and does not depend on which members
are reachable. Reachability only decides whether a member uses its full share. This module does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

ISOLATED_FRACTION = 0.25  # fraction of its share that an isolated member uses
RAMP_S = 0.8  # duration of the ramp from `ISOLATED_FRACTION` to the full share
RAMP_STEP_S = 0.1
ROUNDING_STEPS = 1e-6  # tolerance in steps: a rounded time must not delay a step


class IsolationPolicy(Enum):
    """How an isolated member treats the messages of a class. The values are those in the configuration."""

    FULL_SHARE = "own"
    """Messages are accepted. If any class has this policy, the member uses its full share for all classes."""
    REDUCED_SHARE = "least"
    """Messages are accepted. The member uses `ISOLATED_FRACTION` of its share if no class has FULL_SHARE."""
    REFUSE = "refuse"  # messages are rejected at once, with a retry-after time


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """The quota share and the closed classes at one moment."""

    fleet_size: int  # the largest number of members that may be alive
    fraction: float  # the part of each partner's rate limit that this member may use
    closed_classes: frozenset[str]  # classes whose messages are rejected now


class QuotaShareController:
    """Computes the quota share from the fleet size and the isolation of this member.

    Times are in seconds on one monotonic clock.
    """

    def __init__(self, policies: Mapping[str, IsolationPolicy], now: float) -> None:
        """`policies` maps the name of each class to its policy."""
        self._policies = dict(policies)
        self._fleet_size, self._is_isolated = 1, True
        self._ramp_start_fraction, self._changed_at = self._isolated_fraction, now

    @property
    def _isolated_fraction(self) -> float:
        """The fraction of its share that this member uses while it is isolated."""
        return 1.0 if IsolationPolicy.FULL_SHARE in self._policies.values() else ISOLATED_FRACTION

    def update(self, now: float, fleet_size: int, is_isolated: bool) -> None:
        """Apply a fleet size, and whether this member is isolated from the majority."""
        self._fleet_size = fleet_size
        if is_isolated != self._is_isolated:
            self._ramp_start_fraction, self._changed_at = self._isolated_fraction, now
            self._is_isolated = is_isolated

    def _steps(self, now: float) -> int:
        return math.floor((now - self._changed_at) / RAMP_STEP_S + ROUNDING_STEPS)

    def _used_fraction(self, now: float) -> float:
        """Return the fraction of its share that this member uses: a drop is immediate, an increase gradual.

        The ramp keeps the members from returning to their full shares of a limit all at the same moment.
        """
        steps = 0 if self._is_isolated else self._steps(now)
        ramp = (1 - ISOLATED_FRACTION) * steps * RAMP_STEP_S / RAMP_S
        return min(1.0, self._ramp_start_fraction + ramp)

    def share_at(self, now: float) -> QuotaShare:
        """Return the quota share and the closed classes at a time."""
        closed = frozenset(
            name for name, policy in self._policies.items() if policy is IsolationPolicy.REFUSE
        )
        fraction = self._used_fraction(now) / self._fleet_size
        return QuotaShare(self._fleet_size, fraction, closed if self._is_isolated else frozenset())

    def next_change_at(self, now: float) -> float | None:
        """Return the time of the ramp's next step; None if the share does not change with time."""
        if self._is_isolated or self._used_fraction(now) >= 1.0:
            return None
        return self._changed_at + RAMP_STEP_S * (self._steps(now) + 1)
