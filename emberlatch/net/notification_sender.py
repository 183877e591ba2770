"""Sends completion notices to the platform, and repeats each one until the platform confirms it."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from emberlatch.engine import Address, CompletionNotice, Tasks
from emberlatch.net.http_connection import Connection, NoResponseError, connect

log = logging.getLogger(__name__)

INITIAL_TIMEOUT_S = 0.1
"""Time-out of the first attempt.

The platform responds at once, so a short time-out is enough. A longer one would let a dead connection delay
notices.
"""
MAX_TIMEOUT_S = 1.0
"""Upper limit of the time-out, which doubles after each attempt without a response."""
RETRY_INTERVAL_S = 0.05
MAX_BATCH_NOTICES = 500
"""Maximum number of notices in one request, about 40 KiB."""


class NotificationSender:
    """Sends each notice until the status 204 confirms it; `confirmed` gets the references of these notices.

    A notice that is rejected alone with status 400 is dropped; `confirmed` gets its reference, too.
    """

    def __init__(
        self,
        platform: Address,
        confirmed: Callable[[list[int]], None],
        tasks: Tasks,
        path: str = "/reports",
        notifies_deliveries: bool = False,
    ) -> None:
        self.notifies_deliveries, self._path = notifies_deliveries, path
        self._platform, self._confirmed = platform, confirmed
        self._unconfirmed: dict[int, bytes] = {}
        self._has_unconfirmed = asyncio.Event()
        self._connection: Connection | None = None
        self._tasks = tasks
        self._task = tasks.spawn(self._run())

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """Add a notice, to be sent as soon as possible."""
        self._unconfirmed[ref] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        self._has_unconfirmed.set()

    def change_address(self, platform: Address) -> None:
        """Send to another address from now on, including notices that the previous one has not confirmed."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._platform, self._connection = platform, None
        self._task = self._tasks.spawn(self._run())

    def close(self) -> None:
        """Stop sending, because another process takes over."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    @property
    def pending(self) -> bool:
        """Whether any notice is not confirmed yet."""
        return bool(self._unconfirmed)

    async def _run(self) -> None:
        max_notices, timeout_s = MAX_BATCH_NOTICES, INITIAL_TIMEOUT_S
        while True:
            await self._has_unconfirmed.wait()
            refs = list(self._unconfirmed)[:max_notices]
            status = await self._post(b"".join(self._unconfirmed[ref] for ref in refs), timeout_s)
            timeout_s = INITIAL_TIMEOUT_S if status else min(2 * timeout_s, MAX_TIMEOUT_S)
            if status == 204 or (status == 400 and len(refs) == 1):
                if status == 400:
                    log.error("notice dropped, rejected with status 400: %r", self._unconfirmed[refs[0]])
                for ref in refs:
                    del self._unconfirmed[ref]
                self._confirmed(refs)
            elif status == 400:
                max_notices = 1  # send one at a time: an invalid notice must not block the others
                continue
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
            max_notices = MAX_BATCH_NOTICES if not self._unconfirmed else max_notices
            if not self._unconfirmed:
                self._has_unconfirmed.clear()

    async def _post(self, body: bytes, timeout_s: float) -> int:
        """Send one request; return the status of the response, 0 if there was none."""
        head = "POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\n\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                if self._connection is None or not self._connection.usable:
                    self._connection = await connect(self._platform, timeout_s)
                request = (head % (self._path, *self._platform, len(body))).encode() + body
                return (await self._connection.exchange(request)).status
        except (OSError, NoResponseError) as error:
            log.info("notices not confirmed by %s:%d: %r", *self._platform, error)
            if self._connection is not None:
                self._connection.close()
                self._connection = None
            return 0
