"""Signals a change that this process should report to other processes at once."""

from __future__ import annotations

from collections.abc import Callable


class ChangeNotifier:
    """Passes the signal from the components to the heartbeats that report their state.

    Without it, the components and the heartbeats would depend on each other.
    """

    def __init__(self) -> None:
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call `subscriber` on each change from now on."""
        self._subscribers.append(subscriber)

    def notify(self) -> None:
        """Call all subscribers immediately, in the order of their subscription."""
        for subscriber in self._subscribers:
            subscriber()
