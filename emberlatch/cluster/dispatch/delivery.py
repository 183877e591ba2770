"""The deliveries of this store and their stages.

Stages of a delivery: DELAYED -> READY -> QUEUED_IN_POOL -> IN_FLIGHT, and back to DELAYED for each retry. A
delivery that has ended, or that another store takes over, is removed from the table. The deliveries that are
in the decision module, in the last two stages, are called the pool.
"""

from __future__ import annotations

from enum import Enum, IntEnum

from emberlatch.cluster.dispatch.delivery_result import DeliveryResult
from emberlatch.cluster.message_store import Record
from emberlatch.cluster.settings import Route


class DeliveryStage(Enum):
    """Stage of a delivery."""

    DELAYED = "delayed"  # waits until the message or its next retry is due
    READY = "ready"  # queued for its service, not offered to the decision module yet
    QUEUED_IN_POOL = "queued in pool"  # offered to the decision module, which looks for a target
    IN_FLIGHT = "in flight"  # a call to a target has started


POOL_STAGES = (DeliveryStage.QUEUED_IN_POOL, DeliveryStage.IN_FLIGHT)


class Locality(IntEnum):
    """Whether targets are in this store's zone; the value is an index of `PoolSizes`."""

    LOCAL = 0  # the zone of this store
    REMOTE = 1  # any other zone


PoolSizes = list[int]
"""Numbers of one service's deliveries in the decision module, by `Locality`."""


class Delivery:
    """The delivery of one message by this store.

    Attributes:
        record: the message; its `attempts` count the attempts that targets reported as failed.
        stage: current stage; only `DeliveryTable.change_stage` changes it.
        ref: number of the delivery in the decision module, new with each offer; 0 before the first offer.
        send_count: number of calls under this `ref`, including those that the rate quota rejected.
        route: route from the configuration that was active when the delivery became ready.
        offer_count: number of offers without a lease since the last attempt.
        pool_sizes: counters of its service's deliveries in the decision module.
        locality: locality of the targets to which it was offered last.
        result: result given by the response to the call in flight; None again once the outcome is processed.
        seal: seal of that response; empty if there is none.
    """

    __slots__ = (
        "locality",
        "offer_count",
        "pool_sizes",
        "record",
        "ref",
        "result",
        "route",
        "seal",
        "send_count",
        "stage",
    )

    def __init__(self, record: Record) -> None:
        self.record = record
        self.stage = DeliveryStage.DELAYED
        self.ref = self.send_count = 0
        self.route: Route | None = None
        self.offer_count = 0
        self.pool_sizes: PoolSizes = [0, 0]
        self.locality = Locality.LOCAL
        self.result: DeliveryResult | None = None
        self.seal = ""


class DeliveryTable:
    """All deliveries of this store that have not ended.

    Attributes:
        by_id: deliveries by the message's id.
        by_ref: deliveries in the decision module, by `ref`.
        draining: true once the process shuts down; no delivery is offered then.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Delivery] = {}
        self.by_ref: dict[int, Delivery] = {}
        self.draining = False
        self._last_ref = 0

    def assign_ref(self, delivery: Delivery) -> None:
        """Assign a new `ref` to a delivery for its next offer to the decision module."""
        self._last_ref += 1
        delivery.ref = self._last_ref
        self.by_ref[delivery.ref] = delivery

    def change_stage(self, delivery: Delivery, stage: DeliveryStage) -> None:
        """Set the stage of a delivery, and update the pool size in which it is counted."""
        was_in_pool, is_in_pool = delivery.stage in POOL_STAGES, stage in POOL_STAGES
        if is_in_pool and not was_in_pool:
            delivery.pool_sizes[delivery.locality] += 1
        elif was_in_pool and not is_in_pool:
            delivery.pool_sizes[delivery.locality] -= 1
            self.by_ref.pop(delivery.ref, None)
        delivery.stage = stage

    def remove(self, delivery: Delivery) -> None:
        """Remove a delivery that has ended, or that this store no longer performs."""
        self.by_id.pop(delivery.record.id, None)
