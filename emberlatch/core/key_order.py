"""Ordered delivery: sends messages with the same key one at a time, in the order of acceptance."""

from __future__ import annotations

import math
from collections.abc import Iterable

from emberlatch.core.records import Message


class KeyOrder:
    """Owns the queue of each ordering key. Messages with key 0 are not ordered."""

    __slots__ = ("_in_flight", "_queues", "_quiet")

    def __init__(self) -> None:
        self._queues: dict[int, dict[int, None]] = {}
        self._in_flight: dict[int, int] = {}  # by key: number of attempts without an outcome
        self._quiet: dict[int, tuple[float, int]] = {}  # by key: end of the quiet period, exempt message

    @property
    def is_empty(self) -> bool:
        """Return whether no ordered message is queued and no attempt of one is in flight."""
        return not self._queues and not self._in_flight

    def enqueue(self, message: Message) -> None:
        """Append a message to its key's queue."""
        if message.key:
            self._queues.setdefault(message.key, {})[message.ref] = None

    def remove(self, message: Message) -> None:
        """Remove an answered message from its key's queue."""
        refs = self._queues.get(message.key, {})
        refs.pop(message.ref, None)
        if not refs:
            self._queues.pop(message.key, None)

    def head(self, key: int) -> list[int]:
        """Return a list with the ref of the first message in a key's queue; empty if no message is queued."""
        return list(self._queues.get(key, ()))[:1]

    def on_sent(self, message: Message) -> None:
        """Count a new attempt in flight."""
        if message.key:
            self._in_flight[message.key] = self._in_flight.get(message.key, 0) + 1

    def on_outcome(self, message: Message, quiet_until: float) -> None:
        """Count the end of an attempt.

        If `quiet_until` is finite, no other message with this key is sent until then. This message is exempt.
        """
        if message.key:
            self._in_flight[message.key] -= 1
            if not self._in_flight[message.key]:
                del self._in_flight[message.key]
            if quiet_until > -math.inf:
                self._quiet.pop(message.key, None)  # insert at the end: oldest period first
                self._quiet[message.key] = quiet_until, message.ref

    def quiet_periods(self) -> list[tuple[int, float, int]]:
        """Return key, end and exempt message of each quiet period, oldest period first."""
        return [(key, until, ref) for key, (until, ref) in self._quiet.items()]

    def restore_quiet_periods(self, periods: Iterable[tuple[int, float, int]]) -> None:
        """Add the quiet periods that another process handed over."""
        self._quiet.update({key: (until, ref) for key, until, ref in periods})

    def quiet_until(self, key: int) -> float:
        """Return when the quiet period of a key ends, or minus infinity without one."""
        return self._quiet.get(key, (-math.inf, -1))[0]

    def is_next(self, message: Message, now: float) -> bool:
        """Return whether the key's earlier messages are answered and none of their attempts may still run."""
        while self._quiet and next(iter(self._quiet.values()))[0] <= now:
            del self._quiet[next(iter(self._quiet))]
        key = message.key
        if not key:
            return True
        is_not_quiet = self._quiet.get(key, (now, -1))[1] in (-1, message.ref)
        return is_not_quiet and key not in self._in_flight and self.head(key) == [message.ref]
