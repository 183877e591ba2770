"""Group commit: one sync covers all writes made while the previous sync ran.

A failed sync is not retried: after a failed fsync, the page cache may report success for the next one
although the data is lost (Rebello 2020). The waiting callbacks are dropped and later ones are ignored.
`on_failure` is called so that the process can exit.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

log = logging.getLogger(__name__)

Offload = Callable[[Callable[[], None]], Awaitable[None]]
"""Runs a blocking function outside of the event loop, and re-raises its exception."""


class Syncable(Protocol):
    """A log whose writes can be made durable."""

    def prepare_sync(self) -> Callable[[], None]:
        """Return a function that blocks until all earlier writes are durable; it may raise OSError."""

    def on_synced(self) -> None:
        """Clean up after the function from `prepare_sync` has returned."""


class GroupSync:
    """Runs callbacks once all writes made before their registration are durable.

    Attributes:
        failed: whether a sync has failed.
        syncs: number of completed syncs.
        callbacks_run: number of callbacks run.
        largest_batch: highest number of callbacks that shared one sync.
    """

    def __init__(self, source: Syncable, offload: Offload, on_failure: Callable[[OSError], None]) -> None:
        self._source, self._offload, self._on_failure = source, offload, on_failure
        self._waiting: list[Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None
        self.failed = False
        self.syncs = self.callbacks_run = self.largest_batch = 0

    @property
    def pending(self) -> bool:
        """Whether any callback waits for a sync."""
        return self._task is not None and not self.failed

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Run a callback once all writes made so far are durable; never run it if the sync fails."""
        if self.failed:
            return
        self._waiting.append(callback)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        await asyncio.sleep(0)  # later writes of this loop iteration share the sync
        while self._waiting and not self.failed:
            batch, self._waiting = self._waiting, []
            try:
                await self._offload(self._source.prepare_sync())
            except OSError as error:
                self._fail(error)
                break
            self._source.on_synced()
            self.syncs, self.callbacks_run = self.syncs + 1, self.callbacks_run + len(batch)
            self.largest_batch = max(self.largest_batch, len(batch))
            for callback in batch:
                try:
                    callback()
                except Exception:  # the failure of one callback must not prevent the others
                    log.exception("a callback failed after its sync")
        self._task = None

    def _fail(self, error: OSError) -> None:
        self.failed, self._waiting = True, []
        log.error("sync of the log on disk failed; it is not retried: %s", error)
        self._on_failure(error)
