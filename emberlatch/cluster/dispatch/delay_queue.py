"""Deliveries that are delayed until a given time, and the timer that wakes the dispatcher."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable, Iterator

from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage, DeliveryTable

TIMER_TOLERANCE_S = 1e-4  # a timer may fire early by this time, because clocks are rounded


class DelayQueue:
    """A heap of delayed deliveries. `on_wake` is called when one is due and at times set by `wake_at`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, deliveries: DeliveryTable, on_wake: Callable[[], None]
    ) -> None:
        self._loop, self._deliveries, self._on_wake = loop, deliveries, on_wake
        self._heap: list[tuple[float, int, Delivery]] = []
        self._pushed = 0  # sequence number: deliveries with the same time stay in the order of insertion
        self._timer: asyncio.TimerHandle | None = None
        self._wakes_at = math.inf

    def delay_until(self, delivery: Delivery, at: float) -> None:
        """Make a delivery DELAYED until `at`, in the loop's time."""
        self._deliveries.change_stage(delivery, DeliveryStage.DELAYED)
        self._pushed += 1
        heapq.heappush(self._heap, (at, self._pushed, delivery))
        if self._heap[0][2] is delivery:
            self.wake_at(at)

    def delay_for(self, delivery: Delivery, delay_s: float) -> None:
        """Make a delivery DELAYED for `delay_s` seconds from now."""
        self.delay_until(delivery, self._loop.time() + delay_s)

    def wake_at(self, at: float) -> None:
        """Call `on_wake` no later than `at`, in the loop's time."""
        if at < self._wakes_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._wakes_at = self._loop.call_at(at, self._wake), at

    def pop_due(self) -> Iterator[Delivery]:
        """Remove and yield the deliveries that are due, the earliest first; set the timer for the others."""
        latest = self._loop.time() + TIMER_TOLERANCE_S
        while self._heap and self._heap[0][0] <= latest:
            delivery = heapq.heappop(self._heap)[2]
            # Skip the entry if the delivery is not delayed any more, or was withdrawn or replaced. An older
            # entry of a delivery that is delayed again is not skipped.
            if (
                delivery.stage is DeliveryStage.DELAYED
                and self._deliveries.by_id.get(delivery.record.id) is delivery
            ):
                yield delivery
        if self._heap:
            self.wake_at(self._heap[0][0])

    def _wake(self) -> None:
        self._timer, self._wakes_at = None, math.inf
        self._on_wake()
