"""The idle connections of a carrier, for reuse by later calls to the same target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberlatch.net.endpoint import Endpoint
from emberlatch.net.http_connection import Connection

IDLE_TIMEOUT_MARGIN_S = 2.0
"""Length of the period before the end of the target's idle time-out in which a connection is not reused."""


class ConnectionPool:
    """Keeps idle connections for reuse; idle and used connections together are limited to `max_connections`.

    `idle_timeout_s` is the time after which targets close an idle connection. The pool does not track the
    connections in use: the caller passes their number as `in_use`.
    """

    def __init__(self, max_connections: int, idle_timeout_s: float) -> None:
        self._max_connections, self._idle_timeout_s = max_connections, idle_timeout_s
        self._idle: dict[Connection, Endpoint] = {}  # ordered from the least to the most recently used

    def __len__(self) -> int:
        return len(self._idle)

    @property
    def idle(self) -> list[Connection]:
        """The idle connections, the least recently used first."""
        return list(self._idle)

    def acquire(self, endpoint: Endpoint, is_reusable: Callable[[Connection], bool]) -> Connection | None:
        """Take the most recently used of the idle connections to a target for which `is_reusable` is true.

        Returns None if there is none.

        Connections that the target may be about to close are closed instead.
        """
        idle_limit_s = max(self._idle_timeout_s - IDLE_TIMEOUT_MARGIN_S, 0.0)
        earliest_idle_since = asyncio.get_running_loop().time() - idle_limit_s
        for connection in reversed(endpoint.idle.copy()):
            if not (connection.idle_since > earliest_idle_since and connection.usable):
                self._remove(endpoint, connection)
                connection.close()
            elif is_reusable(connection):
                self._remove(endpoint, connection)
                return connection
        return None

    def take(self, endpoint: Endpoint) -> Connection:
        """Take the most recently used connection to a target, which must have one."""
        connection = endpoint.idle[-1]
        self._remove(endpoint, connection)
        return connection

    def release(self, endpoint: Endpoint, connection: Connection) -> None:
        """Keep an open connection for reuse."""
        for other in [other for other in endpoint.idle if other.closed]:
            self._remove(endpoint, other)
        connection.idle_since = asyncio.get_running_loop().time()
        endpoint.idle.append(connection)
        self._idle[connection] = endpoint

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close all idle connections to a target."""
        while endpoint.idle:
            self.take(endpoint).close()

    def has_capacity(self, in_use: int) -> bool:
        """Whether the limit allows one more connection in addition to the idle ones and `in_use` others."""
        return len(self._idle) + in_use < self._max_connections

    def evict(self, in_use: int) -> None:
        """Close the least recently used idle connections until the idle ones and `in_use` fit the limit."""
        while self._idle and in_use + len(self._idle) > self._max_connections:
            connection, endpoint = next(iter(self._idle.items()))
            self._remove(endpoint, connection)
            connection.close()

    def _remove(self, endpoint: Endpoint, connection: Connection) -> None:
        endpoint.idle.remove(connection)
        del self._idle[connection]
