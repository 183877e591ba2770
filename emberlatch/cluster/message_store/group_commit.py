"""Commits in groups: one for all that was written while the one before ran.

A commit that fails is rolled back. Whatever waited for it is told so, and is not done. The writes stay, in
order and before those that came since, and are tried again after a pause until the disk takes them.
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


def _nothing() -> None:
    pass


@dataclass(frozen=True, slots=True)
class _Waiter:
    """`committed` or `failed` is called once."""

    committed: Callable[[], None]
    failed: Callable[[], None]


class GroupCommit:
    """See the module. `commit` blocks, and raises OSError once all that it wrote is rolled back."""

    def __init__(self, commit: Callable[[PendingWrites], None], offload: Offload, health: DiskHealth) -> None:
        self._commit, self._offload, self._health = commit, offload, health
        self.pending = PendingWrites()
        self._waiters: list[_Waiter] = []
        self._task: asyncio.Task[None] | None = None
        self.ended: Callable[[OSError | None], None] = lambda _: None  # hears how each commit ended

    def stands(self, committed: Callable[[], None], failed: Callable[[], None] = _nothing) -> None:
        """Call `committed` once all that is written by now is safe, or `failed` if the disk does not take it.

        While the disk is failing nothing waits: the answer is `failed` at once.
        """
        if self._health.failing:
            failed()
            return
        self._waiters.append(_Waiter(committed, failed))
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def settle(self) -> None:
        """What is written by now becomes safe as soon as the disk takes it; nobody waits for it."""
        if self.pending:
            self.stands(_nothing)

    def take(self) -> PendingWrites:
        """All that is to be written, for whoever commits it now."""
        taken, self.pending = self.pending, PendingWrites()
        return taken

    async def _run(self) -> None:
        await asyncio.sleep(0)  # the rest of this turn comes along
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
        """Whether the disk took it; else it is again the first to be written."""
        self._health.began(asyncio.get_running_loop().time())
        try:
            await self._offload(lambda: self._commit(batch))
        except OSError as error:
            batch.add_all(self.pending)
            self.pending = batch
            self._health.failed()
            self.ended(error)
            return False
        self._health.succeeded()
        self.ended(None)
        return True

    @staticmethod
    def _call(callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            try:
                callback()
            except Exception:  # costs the one that waited
                log.exception("what waited for a commit failed")
