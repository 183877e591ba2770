"""Offers ready deliveries to the decision module, up to a limit for each destination.

In this package, a lease is a call slot that the decision module assigns to a delivery. It is unrelated to the
lease of a target, which the target's heartbeats renew.
"""

from __future__ import annotations

from emberlatch.cluster.dispatch.decision_inbox import DecisionInbox
from emberlatch.cluster.dispatch.delay_queue import DelayQueue
from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage, DeliveryTable, Locality
from emberlatch.cluster.dispatch.destinations import Destinations
from emberlatch.cluster.dispatch.module_settings import LeaseWaitCategories
from emberlatch.cluster.dispatch.outcomes import MAX_LEASE_WAIT_S, OutcomeHandler
from emberlatch.cluster.dispatch.quota import ServiceQuotas
from emberlatch.cluster.dispatch.ready_queue import ReadyQueue
from emberlatch.cluster.settings import Configuration, Service
from emberlatch.core import interface as api

MAX_IN_POOL_PER_DESTINATION = 48  # deliveries in the decision module, including those in flight
LEASE_WAIT_SHARE = 0.35  # lease wait as a fraction of the route's latest nominal start
DEADLINE_MARGIN_S = 30.0  # time from the end of the lease wait to the deadline passed to the module
QUOTA_TIMER_SLACK_S = 0.001


class ReadyOffers:
    """Keeps a ready queue for each service, and offers deliveries from these queues at each decision."""

    def __init__(
        self,
        deliveries: DeliveryTable,
        delayed: DelayQueue,
        destinations: Destinations,
        quotas: ServiceQuotas,
        outcomes: OutcomeHandler,
        inbox: DecisionInbox,
        categories: LeaseWaitCategories,
    ) -> None:
        self._deliveries, self._delayed, self._destinations = deliveries, delayed, destinations
        self._quotas, self._outcomes, self._inbox = quotas, outcomes, inbox
        self._categories = categories
        self._queues: dict[str, ReadyQueue] = {}

    @property
    def has_queues(self) -> bool:
        """Whether any delivery has ever become ready."""
        return bool(self._queues)

    def enqueue(self, delivery: Delivery) -> None:
        """Queue a due delivery, whose route must be set, for its service."""
        assert delivery.route is not None
        self._deliveries.change_stage(delivery, DeliveryStage.READY)
        service = delivery.route.service
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ReadyQueue()
        queue.push(delivery)

    def offer_ready(self, config: Configuration | None, now: float) -> None:
        """Offer ready deliveries until a quota or the limit of the destinations is reached."""
        if config is None:
            return
        for name, queue in self._queues.items():
            service = config.by_service.get(name)
            if service is not None and queue:
                self._offer_service(service, queue, now)

    def _offer_service(self, service: Service, queue: ReadyQueue, now: float) -> None:
        available = self._destinations.available(service.name)
        while available:
            if all(queue.pool_sizes[locality] >= MAX_IN_POOL_PER_DESTINATION for locality in available):
                return
            if service.rate_per_s > 0 and not self._is_within_quota(service, queue, now):
                return
            delivery = queue.pop(now)
            if delivery is None:
                return
            self._offer(delivery, queue, available)

    def _is_within_quota(self, service: Service, queue: ReadyQueue, now: float) -> bool:
        next_call_at = self._quotas.next_call_at(service, now)
        if next_call_at > now and queue:
            self._delayed.wake_at(next_call_at + QUOTA_TIMER_SLACK_S)
        max_in_pool = self._quotas.max_in_pool(service)
        return next_call_at <= now and queue.pool_sizes[Locality.LOCAL] < max_in_pool

    def _offer(self, delivery: Delivery, queue: ReadyQueue, available: list[Locality]) -> None:
        assert delivery.route is not None
        locality = available[delivery.offer_count % len(available)]
        if queue.pool_sizes[locality] >= MAX_IN_POOL_PER_DESTINATION:
            locality = next(n for n in available if queue.pool_sizes[n] < MAX_IN_POOL_PER_DESTINATION)
        wait_s = min(MAX_LEASE_WAIT_S, delivery.route.nominal_start_ms / 1000 * LEASE_WAIT_SHARE)
        deadline_s = wait_s + DEADLINE_MARGIN_S
        delivery.send_count, delivery.result, delivery.seal = 0, None, ""
        delivery.pool_sizes, delivery.locality = queue.pool_sizes, locality
        self._deliveries.assign_ref(delivery)
        self._deliveries.change_stage(delivery, DeliveryStage.QUEUED_IN_POOL)
        category, new_settings = self._categories.add(wait_s, deadline_s)
        if new_settings is not None:
            self._inbox.add(new_settings)
        destination = self._destinations.number(delivery.route.service, locality)
        self._inbox.add(
            api.Arrival(delivery.ref, category, destination, deadline_s, resubmitted=delivery.offer_count > 0)
        )
        self._outcomes.start_lease_wait(delivery, wait_s)
