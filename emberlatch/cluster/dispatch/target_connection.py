"""A connection to a target that drops responses to earlier requests.

A faulty target may send a second response, or a response to an earlier message. The attempt id in such a
response differs from the id of the current request, and the response is dropped. The connection then stays
open: the expected response may still follow, and closing would abort the execution of the message. The
connection is closed after the expected response, so that no other request is sent on it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from emberlatch.engine import Address
from emberlatch.net.http_connection import Connection, Response

MAX_REMEMBERED_REQUESTS = 32  # number of message ids kept for each connection


class TargetConnection(Connection):
    """One connection to a target, from connect to close.

    Attributes:
        message_ids: ids of the messages that were sent last on this connection, in order.
    """

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.message_ids: deque[str] = deque(maxlen=MAX_REMEMBERED_REQUESTS)
        self._got_foreign_response = False

    def exchange(
        self, request: bytes, is_expected: Callable[[Response], bool] | None = None
    ) -> asyncio.Future[Response]:
        """Send a request and return the future of its response, as `Connection.exchange` does.

        If `is_expected` rejects a response, the connection closes once the expected response is read.
        """

        def accept(response: Response) -> bool:
            accepted = is_expected is None or is_expected(response)
            self._got_foreign_response = self._got_foreign_response or not accepted
            return accepted

        return super().exchange(request, accept)

    def _succeed(self) -> None:
        if self._got_foreign_response:
            self.close()
        super()._succeed()


async def connect_to_target(address: Address, timeout_s: float, max_body_bytes: int) -> TargetConnection:
    """Open a connection to a target.

    Raises:
        OSError: the connection was refused, or was not established within `timeout_s` seconds.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(lambda: TargetConnection(max_body_bytes), *address)
    return connection
