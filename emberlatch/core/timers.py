"""Wake-ups by destination and the single timer by which the forwarder acts without an external event."""

from __future__ import annotations

import heapq
import math

from emberlatch.core.actions import SetTimer
from emberlatch.core.context import Context

STALL_S = 0.2  # if a timer fires later than planned by more than this, the process itself was stalled
TIMER_ROUNDING_S = 1e-4  # a timer may fire early by this time, because clocks may be rounded


class WakeupSchedule:
    """Due times of destinations, which are identified by number.

    A heap has the due times, so that the earliest is found without a scan. Outdated heap entries are dropped
    when they become the earliest.
    """

    __slots__ = ("_due", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._due: dict[int, float] = {}

    def schedule(self, number: int, at: float) -> None:
        """Set the due time of a destination, replacing its previous one; infinity: never due."""
        if self._due.get(number, math.inf) != at:
            self._due[number] = at
            if at < math.inf:
                heapq.heappush(self._heap, (at, number))

    def cancel(self, number: int) -> None:
        """Remove the due time of a destination."""
        self._due.pop(number, None)

    def next_due(self) -> float:
        """Return the earliest due time, or infinity."""
        heap, due = self._heap, self._due
        while heap and due.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def pop_due(self, now: float) -> list[int]:
        """Return the destinations that are due and clear their due times."""
        due_numbers = []
        while self.next_due() <= now:
            due_numbers.append(heapq.heappop(self._heap)[1])
            self._due[due_numbers[-1]] = math.inf
        return due_numbers


class Timer:
    """Owns the single timer that the caller runs for the forwarder."""

    __slots__ = ("_context", "next_at", "token")

    def __init__(self, context: Context) -> None:
        self._context = context
        self.next_at, self.token = math.inf, 0

    def on_turn(self, now: float) -> None:
        """Record a stall of the process itself, and clear the timer if it is due."""
        if now > self.next_at + STALL_S:
            self._context.stalled_at = now
        if now >= self.next_at - TIMER_ROUNDING_S:
            self.next_at = math.inf

    def set(self, due: float) -> None:
        """Set the timer to `due`, unless it is already set to an earlier time."""
        if due < self.next_at:
            self.next_at, self.token = due, self.token + 1
            self._context.actions.append(SetTimer(due, self.token))
