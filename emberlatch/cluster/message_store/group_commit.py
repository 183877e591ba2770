"""Group commit: one commit contains all writes that were added while the previous commit ran.

A commit that fails is rolled back, and the callers that wait for it are notified. Its writes are kept in
order, ahead of newer ones, and are retried with a backoff until a commit succeeds.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.cluster.message_store.disk_health import DiskHealth
from emberlatch.cluster.message_store.pending_writes import PendingWrites
from emberlatch.store import Offload

log = logging.getLogger(__name__)

CommitListener = Callable[[OSError | None], None]
"""Called after each commit with its error, or None if the commit succeeded."""


def _ignore() -> None:
    pass


@dataclass(frozen=True, slots=True)
class _Waiter:
    """The callbacks of one waiting caller: one of the two is called, once."""

    committed: Callable[[], None]
    failed: Callable[[], None]


class GroupCommit:
    """Commits pending writes, one group at a time.

    `commit` blocks and is run by `offload`. If it raises OSError, it has rolled back all that it wrote.
    """

    def __init__(self, commit: Callable[[PendingWrites], None], offload: Offload, health: DiskHealth) -> None:
        self._commit, self._offload, self._health = commit, offload, health
        self.pending = PendingWrites()
        self._waiters: list[_Waiter] = []
        self._task: asyncio.Task[None] | None = None
        self._listeners: list[CommitListener] = []

    def subscribe(self, listener: CommitListener) -> None:
        """Call `listener` after each commit."""
        self._listeners.append(listener)

    def when_durable(self, committed: Callable[[], None], failed: Callable[[], None] = _ignore) -> None:
        """Call `committed` once all writes added so far are durable, or `failed` if a commit fails first.

        While the disk is failing, `failed` is called at once.
        """
        if self._health.failing:
            failed()
            return
        self._waiters.append(_Waiter(committed, failed))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def schedule_commit(self) -> None:
        """Commit the pending writes as soon as the disk allows, without callbacks."""
        if self.pending:
            self.when_durable(_ignore)

    def take(self) -> PendingWrites:
        """Remove and return all pending writes; the caller commits them."""
        taken, self.pending = self.pending, PendingWrites()
        return taken

    async def _run(self) -> None:
        await asyncio.sleep(0)  # writes made later in this event loop iteration join the group
        while self._waiters or self.pending or self._health.failing:
            waiters, self._waiters = self._waiters, []
            if await self._attempt(self.take()):
                self._call([waiter.committed for waiter in waiters])
                continue
            waiters, self._waiters = waiters + self._waiters, []
            self._call([waiter.failed for waiter in waiters])
            await asyncio.sleep(self._health.retry_s)
        self._task = None

    async def _attempt(self, batch: PendingWrites) -> bool:
        """Commit a batch and return whether that succeeded. If not, the next batch begins with its writes."""
        self._health.commit_started(asyncio.get_running_loop().time())
        try:
            await self._offload(lambda: self._commit(batch))
        except OSError as error:
            batch.add_all(self.pending)
            self.pending = batch
            self._health.commit_failed()
            self._notify(error)
            return False
        self._health.commit_succeeded()
        self._notify(None)
        return True

    def _notify(self, error: OSError | None) -> None:
        for listener in self._listeners:
            listener(error)

    @staticmethod
    def _call(callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception:  # the other callers must be called nevertheless
                log.exception("commit callback %r raised an exception", callback)
