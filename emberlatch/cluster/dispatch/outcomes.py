"""Handles the outcomes of calls: a delivery ends, is retried, or is sent to another target.

A message is dead-lettered here if a target rejects it permanently or its attempts are exhausted. The two
other reasons are handled elsewhere: a removed route in `Dispatcher._make_ready`, and an expired retention
period in `message_store/retention.py`.
"""

from __future__ import annotations

import asyncio

from emberlatch.cluster.dispatch.decision_inbox import DecisionInbox
from emberlatch.cluster.dispatch.delay_queue import DelayQueue
from emberlatch.cluster.dispatch.delivery import POOL_STAGES, Delivery, DeliveryStage, DeliveryTable
from emberlatch.cluster.dispatch.delivery_result import DeliveryResult
from emberlatch.cluster.dispatch.ports import DeliveryOwner
from emberlatch.cluster.message_store import MessageState, UndeliverableReason, log_undeliverable
from emberlatch.core import interface as api

RETRY_BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5)  # indexed by the number of failed attempts minus 1
RUNNING_RETRY_S = 0.15  # retry interval while an earlier attempt still runs at the target
NO_LEASE_RETRY_S = 0.01
MAX_LEASE_WAIT_S = 2.0


class OutcomeHandler:
    """Ends or retries deliveries, and withdraws those without a lease from the decision module."""

    def __init__(
        self, deliveries: DeliveryTable, delayed: DelayQueue, inbox: DecisionInbox, owner: DeliveryOwner
    ) -> None:
        self._deliveries, self._delayed, self._inbox, self._owner = deliveries, delayed, inbox, owner
        self._loop = asyncio.get_running_loop()

    def on_delivery_result(self, ref: int, delivery_result: DeliveryResult, seal: str) -> None:
        """Store the delivery result of a call's response until the outcome of the call arrives."""
        if (delivery := self._deliveries.by_ref.get(ref)) is not None:
            delivery.result, delivery.seal = delivery_result, seal

    def on_outcome(self, outcome: api.Outcome) -> None:
        """Process the outcome of a call that was in flight."""
        delivery = self._deliveries.by_ref.get(outcome.ref)
        self._inbox.add(outcome)
        self._inbox.schedule()
        if delivery is None:
            return
        delivery_result, delivery.result = delivery.result, None
        match delivery_result:
            case DeliveryResult.COMPLETED:
                self._finish(delivery, MessageState.COMPLETED, delivery.seal)
            case DeliveryResult.REJECTED_PERMANENTLY:
                self._give_up(delivery, UndeliverableReason.REJECTED_PERMANENTLY)
            case DeliveryResult.ATTEMPT_FAILED:
                self._on_attempt_failed(delivery)
            case DeliveryResult.STILL_RUNNING:
                self._retry(delivery, RUNNING_RETRY_S)
            case _:
                if delivery_result is DeliveryResult.WRONG_INSTANCE:
                    self._owner.on_wrong_instance(outcome.target.decode())
                self._try_other_target(delivery)

    def on_no_lease(self, ref: int) -> None:
        """Offer a delivery again after `NO_LEASE_RETRY_S`: the decision module has rejected or failed it."""
        if (delivery := self._deliveries.by_ref.get(ref)) is not None:
            delivery.offer_count += 1
            self._delayed.delay_for(delivery, NO_LEASE_RETRY_S)

    def start_lease_wait(self, delivery: Delivery, wait_s: float) -> None:
        """Withdraw a delivery from the decision module if it has no lease after `wait_s` seconds."""
        self._loop.call_later(wait_s, self._end_lease_wait, delivery, delivery.ref)

    def forget(self, delivery: Delivery) -> None:
        """Remove a delivery that this store no longer performs; cancel its call if one is in flight."""
        self._deliveries.remove(delivery)
        if delivery.stage in POOL_STAGES:
            self._inbox.add(api.ClientDisconnected(delivery.ref))
        # DELAYED is a stage outside the pool, so the delivery is no longer counted in the pool sizes.
        self._deliveries.change_stage(delivery, DeliveryStage.DELAYED)
        self._inbox.schedule()

    def _end_lease_wait(self, delivery: Delivery, ref: int) -> None:
        # The message was not sent, so neither an attempt nor a failure is counted.
        if delivery.ref == ref and delivery.stage is DeliveryStage.QUEUED_IN_POOL:
            self._inbox.add(api.ClientDisconnected(ref))
            delivery.offer_count += 1
            self._delayed.delay_for(delivery, NO_LEASE_RETRY_S)
            self._inbox.schedule()

    def _on_attempt_failed(self, delivery: Delivery) -> None:
        """Count an attempt that the target reported as failed; retry until the attempts are exhausted.

        Attempts without a conclusive response are not counted.
        """
        record, route = delivery.record, delivery.route
        assert route is not None
        record.attempts += 1
        if record.attempts >= route.max_attempts:
            self._give_up(delivery, UndeliverableReason.ATTEMPTS_EXHAUSTED)
        else:
            self._retry(delivery, RETRY_BACKOFF_S[min(record.attempts - 1, len(RETRY_BACKOFF_S) - 1)])

    def _try_other_target(self, delivery: Delivery) -> None:
        """Leave a delivery without a conclusive response in the module, which may send it to another target.

        The delivery is withdrawn instead if the store is draining or does not own the message any more.
        """
        if self._deliveries.draining or not self._owner.owns(delivery.record):
            self._inbox.add(api.ClientDisconnected(delivery.ref))
            self._retry(delivery, 0.0)
        else:
            self._deliveries.change_stage(delivery, DeliveryStage.QUEUED_IN_POOL)
            self.start_lease_wait(delivery, MAX_LEASE_WAIT_S)

    def _retry(self, delivery: Delivery, delay_s: float) -> None:
        if self._owner.owns(delivery.record):
            delivery.offer_count = 0
            self._delayed.delay_for(delivery, delay_s)
        else:  # the message ended, or was taken over, while the call was in flight
            self.forget(delivery)

    def _give_up(self, delivery: Delivery, reason: UndeliverableReason) -> None:
        log_undeliverable(delivery.record, reason)
        self._finish(delivery, MessageState.DEAD_LETTERED, "")

    def _finish(self, delivery: Delivery, state: MessageState, seal: str) -> None:
        self._deliveries.change_stage(delivery, DeliveryStage.DELAYED)
        self._deliveries.remove(delivery)
        self._owner.finish(delivery.record, state, seal)
