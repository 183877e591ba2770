"""Background tasks that cannot die unseen."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class Tasks:
    """Keeps its tasks referenced, logs what kills one and cancels the rest at the end."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine beside everything else."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("task %s died", task.get_coro(), exc_info=error)

    def cancel(self) -> None:
        """Stop all of them."""
        for task in list(self._running):
            task.cancel()
