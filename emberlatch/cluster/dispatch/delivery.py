"""The deliveries of this store and their stages.

Stages of a delivery: DELAYED -> READY -> QUEUED_IN_POOL -> IN_FLIGHT. A delivery returns to DELAYED for each
retry or new offer, and to QUEUED_IN_POOL if the decision module has to choose another target. A delivery that
has ended, or that another store takes over, is removed from the table.

A delivery in one of the last two stages is in the decision module. These deliveries are called the pool.
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
    QUEUED_IN_POOL = "queued in pool"  # offered to the decision module, which has to choose a target
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
        ref: number of the delivery in the decision module; each offer gets a new one, 0 stands for none yet.
        send_count: number of calls under this `ref`, including those that the rate quota rejected.
        route: route from the configuration that was active when the delivery became ready.
        offer_count: number of offers that ended without a call slot since the last attempt.
        pool_sizes: `ReadyQueue.pool_sizes` of the service, in which this delivery is counted.
        locality: locality of the targets to which the delivery was last offered.
        result: result of the response to the call in flight; None again once the outcome is processed.
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
        """Set the stage of a delivery. Update the pool sizes if the delivery enters or leaves the pool."""
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
