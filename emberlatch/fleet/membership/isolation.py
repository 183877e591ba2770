"""Detects whether this member is in contact with a majority of the configured members, or isolated."""

from __future__ import annotations

import math
from enum import Enum

from emberlatch.fleet.frames import MemberState
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance


class IsolationReason(Enum):
    """Why a member is isolated. The values appear in the log and in the status."""

    NONE = ""  # not isolated: in contact with a majority
    JOINING = "joining"
    NO_MAJORITY = "no majority"
    STALLED = "stalled"


class IsolationDetector:
    """Begins an isolation if too few peers are present or the process has stalled.

    The isolation ends only after a majority has answered pings that were sent since the isolation began.
    `reason` is why the present isolation began, or NONE. `since` is when the latest isolation began or ended.
    Times are in seconds on the machine's clock.
    """

    def __init__(self, instance: ProtocolInstance, now: float) -> None:
        self._peers, self._outbox, self._parameters = instance.peers, instance.outbox, instance.parameters
        self.reason, self.since = IsolationReason.JOINING, now
        self._answered: set[str] = set()  # peers that have answered since the isolation began
        self._next_confirmation_at = now

    @property
    def is_isolated(self) -> bool:
        """Whether this member has no contact with a majority, or has not confirmed the contact yet."""
        return self.reason is not IsolationReason.NONE

    @property
    def due(self) -> float:
        """When the peers that have not answered are to be pinged next; infinite if not isolated."""
        return self._next_confirmation_at if self.is_isolated else math.inf

    def review(self, now: float) -> None:
        """Begin an isolation if too few peers are present; end the isolation if a majority has answered."""
        majority = self._peers.configured_size // 2 + 1
        if not self.is_isolated and self._peers.present_count < majority:
            self.begin_isolation(now, IsolationReason.NO_MAJORITY)
        elif self.is_isolated and 1 + len(self._answered & set(self._peers)) >= majority:
            seconds = round(now - self.since, 3)
            self._outbox.log(FleetEvent.MAJORITY_REACHED, was=self.reason.value, seconds=seconds)
            self.reason, self.since = IsolationReason.NONE, now

    def begin_isolation(self, now: float, reason: IsolationReason) -> None:
        """Begin an isolation, and discard the answers recorded so far."""
        self.reason, self.since = reason, now
        self._answered.clear()
        self._outbox.log(FleetEvent.ISOLATED, why=reason.value)
        self.review(now)

    def record_answer(self, now: float, name: str, pinged_at: float) -> None:
        """Record the answer of a peer to a ping that was sent at `pinged_at`."""
        if self.is_isolated and pinged_at >= self.since:
            self._answered.add(name)
            self.review(now)

    def start_confirmation(self, now: float) -> list[str]:
        """Return the peers to be pinged now: those that have not answered and have not left.

        The list is empty if no ping is due yet.
        """
        if now < self.due:
            return []
        self._next_confirmation_at = now + self._parameters.probe_interval_s
        missing = sorted(set(self._peers) - self._answered)
        return [name for name in missing if self._peers[name].state is not MemberState.LEFT]
