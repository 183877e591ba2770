"""Signals a change that other processes should be notified of promptly."""

from __future__ import annotations

from collections.abc import Callable


class ChangeNotifier:
    """Avoids a circular dependency between components and the heartbeats that report their state."""

    def __init__(self) -> None:
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call `subscriber` on each change from now on."""
        self._subscribers.append(subscriber)

    def notify(self) -> None:
        """Call all subscribers immediately, in the order of their subscription."""
        for subscriber in self._subscribers:
            subscriber()
