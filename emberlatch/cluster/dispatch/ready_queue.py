"""Queue of one service's due deliveries that wait to be offered to the decision module."""

from __future__ import annotations

from collections import deque

from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage, PoolSizes


class ReadyQueue:
    """A FIFO queue in which deliveries that can still start in time precede the late ones.

    A delivery is late if the route's `nominal_start_ms` has passed since the message was due.

    Attributes:
        pool_sizes: number of the service's deliveries in the decision module, by `Locality`.
    """

    def __init__(self) -> None:
        self.pool_sizes: PoolSizes = [0, 0]
        self._in_time: deque[Delivery] = deque()
        self._late: deque[Delivery] = deque()

    def __bool__(self) -> bool:
        return bool(self._in_time or self._late)

    def push(self, delivery: Delivery) -> None:
        """Append a delivery that has become READY; `pop` skips it if it has left this stage by then."""
        self._in_time.append(delivery)

    def pop(self, now: float) -> Delivery | None:
        """Remove and return the next delivery to offer, or None. `now` is in the loop's time."""
        while self._in_time:
            delivery = self._in_time.popleft()
            if delivery.stage is not DeliveryStage.READY:
                continue
            assert delivery.route is not None
            if now <= delivery.record.due_at + delivery.route.nominal_start_ms / 1000:
                return delivery
            self._late.append(delivery)
        while self._late:
            if (delivery := self._late.popleft()).stage is DeliveryStage.READY:
                return delivery
        return None
