"""Decides which client connections are kept, and which are closed to free capacity for others.

A connection is unproven until the client has sent a valid request on it; after that it is proven. A proven
connection that is used regularly is kept. Two kinds of proven connections are unlikely to be used again:
those with a single request, and those that have been idle for much longer than usual. They only occupy a
slot.

Clients limit the number of connections that they open. If all of these are idle here, a client can open none
for a new request. So idle connections are closed even before all slots are in use.

Nothing here reads a clock or touches a socket; times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, islice
from typing import Generic, Protocol, TypeVar

UNPROVEN_SHARE = 0.25
"""If unproven connections occupy at least this share of the slots, they are closed before proven ones."""
# Clients open connections for at most a third of this process's descriptors. This is 0.69 of the slots if
# there are 1,024 descriptors, and 0.76 if there are 256. If all these connections were kept idle, clients
# could not open another one for a new request.
PROVEN_SHARE = 0.5
"""If proven connections occupy more than this share of the slots, idle ones are closed."""
IDLE_GAP_FACTOR = 4.0
"""Idle time, as a multiple of the average request gap, after which a client is not expected to return."""
MIN_REQUEST_GAP_S = 0.25
"""Minimum value of a request gap: requests in quick succession do not predict the next gap."""
ADOPTED_REQUEST_GAP_S = 1.0
"""Assumed average request gap of a connection that another process handed over without its history."""
GAP_SMOOTHING = 0.3
"""Weight of the latest gap in the moving average."""
MAX_EVICTION_CANDIDATES = 8
"""Maximum number of connections that are checked in each group of proven connections to find one to close.

The first connections of a group are nearly always idle.
"""


class ClientConnection(Protocol):
    """The properties of a connection that the limiter uses."""

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests."""

    @property
    def has_unread_data(self) -> bool:
        """Whether data has arrived that has not been read yet; closing the connection would lose it."""


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)


@dataclass(slots=True)
class _RequestGaps:
    """When a client got its last reply, and the average time between its requests.

    The average is 0 after a single request.
    """

    last_reply_at: float
    average_s: float = 0.0


class ConnectionLimiter(Generic[ConnectionT]):
    """Tracks the open client connections and selects those to be closed.

    `slots` is the number of connections that may be open. If proven connections use more than `proven_share`
    of the slots, idle ones are closed. A connection that a method returns is no longer tracked, and the
    caller must close it.
    """

    def __init__(self, slots: int, proven_share: float = PROVEN_SHARE) -> None:
        self._slots, self._max_proven = slots, proven_share * slots
        self._unproven: dict[ConnectionT, None] = {}  # ordered from oldest to newest
        self._single_request: dict[
            ConnectionT, _RequestGaps
        ] = {}  # ordered from the least to the most recently used
        self._repeated_requests: dict[
            ConnectionT, _RequestGaps
        ] = {}  # ordered from the least to the most recently used

    def __len__(self) -> int:
        return len(self._unproven) + len(self._single_request) + len(self._repeated_requests)

    @property
    def unproven(self) -> list[ConnectionT]:
        """The unproven connections, the oldest first."""
        return list(self._unproven)

    @property
    def proven(self) -> list[ConnectionT]:
        """The connections on which a valid request was sent."""
        return [*self._single_request, *self._repeated_requests]

    def is_proven(self, connection: ConnectionT) -> bool:
        """Whether a valid request was sent on the connection."""
        return connection in self._single_request or connection in self._repeated_requests

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Track a new connection; return the connection to be closed in its place, if any.

        That may be the new connection itself. UNPROVEN_SHARE of the slots is for unproven connections. With a
        larger share they would displace proven connections. Without a share, each new connection would
        displace the previous one.
        """
        evicted: ConnectionT | None = None
        if len(self) >= self._slots:
            evicted = self._eviction_candidate() or connection
            self.remove(evicted)
        if evicted is not connection:
            self._unproven[connection] = None
        return evicted

    def on_valid_request(self, connection: ConnectionT, now: float) -> ConnectionT | None:
        """Record that a reply to a valid request is sent; return an idle connection to be closed, if any."""
        gaps = self._single_request.pop(connection, None) or self._repeated_requests.pop(connection, None)
        self._unproven.pop(connection, None)
        if gaps is None:
            self._single_request[connection] = _RequestGaps(now)
        else:
            gap_s = max(now - gaps.last_reply_at, MIN_REQUEST_GAP_S)
            gaps.average_s += (gap_s - gaps.average_s) * (GAP_SMOOTHING if gaps.average_s else 1.0)
            gaps.last_reply_at = now
            self._repeated_requests[connection] = gaps
        if len(self._single_request) + len(self._repeated_requests) <= self._max_proven:
            return None
        expendable = next(self._expendable(connection, now), None)
        if expendable is not None:
            self.remove(expendable)
        return expendable

    def adopt(self, connection: ConnectionT, now: float) -> None:
        """Track a proven connection that another process handed over."""
        self.remove(connection)
        self._repeated_requests[connection] = _RequestGaps(now, ADOPTED_REQUEST_GAP_S)

    def remove(self, connection: ConnectionT) -> None:
        """Stop tracking a connection."""
        self._unproven.pop(connection, None)
        self._single_request.pop(connection, None)
        self._repeated_requests.pop(connection, None)

    def _eviction_candidate(self) -> ConnectionT | None:
        """Return the connection to be closed when all slots are in use; None if all are proven and busy."""
        unproven = next((other for other in self._unproven if other.idle), None)
        proven = next(
            (other for other in chain(self._single_request, self._repeated_requests) if other.idle), None
        )
        unproven_first = len(self._unproven) >= self._slots * UNPROVEN_SHARE
        first, second = (unproven, proven) if unproven_first else (proven, unproven)
        return first or second or next(iter(self._unproven), None)

    def _expendable(self, used: ConnectionT, now: float) -> Iterator[ConnectionT]:
        """Yield idle connections that are unlikely to be used again, those with a single request first."""
        for connection in islice(self._single_request, MAX_EVICTION_CANDIDATES):
            if connection is not used and connection.idle and not connection.has_unread_data:
                yield connection
        for connection, gaps in islice(self._repeated_requests.items(), MAX_EVICTION_CANDIDATES):
            idle_s = now - gaps.last_reply_at
            if (
                connection.idle
                and idle_s > IDLE_GAP_FACTOR * gaps.average_s
                and not connection.has_unread_data
            ):
                yield connection
