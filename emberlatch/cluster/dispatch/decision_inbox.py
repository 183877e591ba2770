"""Event queue of the decision module, which processes its events at most once per event loop iteration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberlatch.core.interface import Event


class DecisionInbox:
    """Collects events until `decide` removes them with `drain`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, decide: Callable[[], None]) -> None:
        self._loop, self._decide = loop, decide
        self._events: list[Event] = []
        self._scheduled = False

    def add(self, event: Event) -> None:
        """Add an event for the next decision; does not schedule a decision."""
        self._events.append(event)

    def schedule(self) -> None:
        """Schedule one call of `decide` for the next loop iteration; repeated calls have no effect."""
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def drain(self) -> list[Event]:
        """Remove and return all events, the earliest first."""
        events, self._events = self._events, []
        return events

    def _run(self) -> None:
        self._scheduled = False
        self._decide()
