"""The queue of events since the last decision."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberlatch.core import interface as api


class EventQueue:
    """Collects events; the first event after a decision schedules the next decision on the event loop."""

    def __init__(self, decide: Callable[[], None]) -> None:
        self._decide, self._loop = decide, asyncio.get_running_loop()
        self._events: list[api.Event] = []
        self._scheduled = False
        self.suspended = False
        """While this is set, events are collected but no decision is scheduled."""

    def __bool__(self) -> bool:
        return bool(self._events)

    def post(self, event: api.Event) -> None:
        """Add an event for the next decision."""
        self._events.append(event)
        if not self._scheduled and not self.suspended:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        if not self.suspended:
            self._decide()

    def post_at(self, at: float, event: api.Event) -> asyncio.TimerHandle:
        """Add an event when the event loop's clock reaches `at`."""
        return self._loop.call_at(at, self.post, event)

    def take(self) -> list[api.Event]:
        """Remove and return all events, for a decision that the caller makes immediately."""
        self._scheduled = False
        events, self._events = self._events, []
        return events
