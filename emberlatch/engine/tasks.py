"""Background tasks whose failures are logged."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine

log = logging.getLogger(__name__)


class Tasks:
    """Keeps references to running tasks, logs the exception of a failed task, and cancels all on request."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Start a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("task %s died", task.get_coro(), exc_info=error)

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._running):
            task.cancel()
