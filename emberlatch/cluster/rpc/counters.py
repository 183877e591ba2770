"""Counters of the frames that a process sends to its peers, and of the received messages that it drops."""

from __future__ import annotations

from enum import Enum

TrafficKey = tuple[str, str]
"""The peer's node name and the method. Responses are counted under the method with a leading `=`."""


class UnexpectedMessage(Enum):
    """Why a message was dropped: the `kind` in the lines of event 207 (`Event.UNEXPECTED_MESSAGE`)."""

    LATE_RESPONSE = "late response"  # the caller no longer awaits it
    DUPLICATE_RESPONSE = "duplicate response"  # the call was already answered
    UNKNOWN_RESPONSE = "response to an unknown call"  # no such request was sent on this connection
    FOREIGN_REQUEST = "foreign request"  # it names another incarnation of the caller or receiver
    DUPLICATE_REQUEST = "duplicate request"  # it was received before and must not run again
    FOREIGN_PEER = "foreign peer"  # not the node and incarnation that the other side expects


class TrafficCounters:
    """Counts sent frames and dropped messages.

    The number of counters is bounded by the numbers of peers, methods and kinds.

    Attributes:
        sent: `[frames, bytes]`, by peer and method.
        unexpected: Number of dropped messages, by peer and kind.
    """

    def __init__(self) -> None:
        self.sent: dict[TrafficKey, list[int]] = {}
        self.unexpected: dict[tuple[str, UnexpectedMessage], int] = {}

    def count(self, peer: str, method: str, size: int) -> None:
        """Count a sent frame of `size` bytes."""
        totals = self.sent.get((peer, method))
        if totals is None:
            totals = self.sent[peer, method] = [0, 0]
        totals[0] += 1
        totals[1] += size

    def count_dropped(self, peer: str, kind: UnexpectedMessage) -> None:
        """Count a message that was dropped."""
        self.unexpected[peer, kind] = self.unexpected.get((peer, kind), 0) + 1

    def count_unexpected(self, kind: UnexpectedMessage) -> int:
        """The number of dropped messages of this kind, over all peers."""
        return sum(count for (_, dropped), count in self.unexpected.items() if dropped is kind)
