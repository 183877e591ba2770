"""A connection to a target, which knows whose answers it may bring.

A target in trouble may send a second answer, or one to an earlier message. Such an answer is dropped by the
attempt id that it repeats. The one that is waited for may still come, and closing the connection would break
off its run; but after it no other request goes out on this connection.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from emberlatch.engine import Address
from emberlatch.net.http import Connection, Response

MAX_IDS = 32  # requests of a connection that are remembered


class TargetConnection(Connection):
    """See the module."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.message_ids: deque[str] = deque(maxlen=MAX_IDS)  # of the last requests
        self._stray = False  # an answer has come that belongs to no waiting request

    def exchange(
        self, request: bytes, ours: Callable[[Response], bool] | None = None
    ) -> asyncio.Future[Response]:
        """As for any connection; an answer that is not ours is the last but one that is read here."""

        def checked(response: Response) -> bool:
            own = ours is None or ours(response)
            self._stray = self._stray or not own
            return own

        return super().exchange(request, checked)

    def _succeed(self) -> None:
        if self._stray:
            self.close()
        super()._succeed()


async def connect_to_target(address: Address, timeout: float, max_body_bytes: int) -> TargetConnection:
    """Open a connection; OSError if it does not come up in time."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, connection = await loop.create_connection(lambda: TargetConnection(max_body_bytes), *address)
    return connection
