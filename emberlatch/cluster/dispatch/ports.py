"""The interface through which the dispatcher uses its store, and the settings of the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from emberlatch.cluster.message_store import MessageState, Record


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings of one dispatcher.

    Attributes:
        zone: zone of this store; targets in this zone are local, all others are remote.
        seed: seed of the decision module's random number generator.
        rate_window_s: length in seconds of the sliding window to which a rate limit applies.
        rate_window_excess: a window may contain rate limit x window x this factor calls; `RateShare` allows
            a few calls more.
        max_connections: maximum number of open connections to targets.
    """

    zone: str
    seed: int
    rate_window_s: float
    rate_window_excess: float
    max_connections: int


class DeliveryOwner(Protocol):
    """The store that owns the messages of a dispatcher."""

    def owns(self, record: Record) -> bool:
        """Return whether this store owns the message and has its body in memory."""

    def finish(self, record: Record, state: MessageState, seal: str) -> None:
        """Record the final state of a message; `seal` is empty unless the message completed."""

    def on_wrong_instance(self, target_id: str) -> None:
        """Record that another instance listens at the address of this target."""

    def may_start_calls(self) -> bool:
        """Return whether calls may start: no other store has taken over, and the disk accepts writes."""

    def quota_divisor(self, service: str) -> float:
        """Return the divisor that turns a service's rate limit into this store's quota share."""
