"""Connects the deliveries of this store with the decision module and the carrier.

The dispatcher creates a delivery for each message and offers it to the decision module, which chooses a
target. The decision module is `Forwarder` in `emberlatch.core.forwarder`. The carrier calls the target; the
outcome of the call goes to the module and to `OutcomeHandler`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from emberlatch.cluster.discovery import Target
from emberlatch.cluster.dispatch.carrier import Carrier, DeliveryRequest
from emberlatch.cluster.dispatch.decision_inbox import DecisionInbox
from emberlatch.cluster.dispatch.delay_queue import DelayQueue
from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage, DeliveryTable
from emberlatch.cluster.dispatch.delivery_result import DeliveryResult
from emberlatch.cluster.dispatch.destinations import Destinations, EndpointUpdate
from emberlatch.cluster.dispatch.module_settings import LeaseWaitCategories
from emberlatch.cluster.dispatch.offers import ReadyOffers
from emberlatch.cluster.dispatch.outcomes import OutcomeHandler
from emberlatch.cluster.dispatch.ports import DeliveryOwner, DispatchSettings
from emberlatch.cluster.dispatch.quota import ServiceQuotas
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store import MessageState, Record, UndeliverableReason, log_undeliverable
from emberlatch.cluster.settings import Configuration
from emberlatch.core import interface as api
from emberlatch.core.forwarder import Forwarder
from emberlatch.engine import CallItem, Tasks

CONFIGURATION_RETRY_S = 0.1  # retry interval while this store lacks the message's configuration revision
RESPONSE_MARGIN_S = 0.15  # time after a delivery's guard time in which its response may arrive
SHUTDOWN_ABANDON_S = 0.8  # `close` stops waiting for calls this long before the grace period ends
SHUTDOWN_POLL_S = 0.02


class Dispatcher:
    """Delivers messages of the store until they reach a final state or are handed over.

    It must be created in a running event loop, and all times are that loop's time. It implements the message
    store's `DeliveryQueue` and the carrier's `DeliverySource`.
    """

    def __init__(self, settings: DispatchSettings, tasks: Tasks, owner: DeliveryOwner) -> None:
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._config: Configuration | None = None
        self._deliveries = DeliveryTable()
        self._inbox = DecisionInbox(self._loop, self._decide)
        self._delayed = DelayQueue(self._loop, self._deliveries, self._on_due)
        self._destinations = Destinations(settings.zone)
        self._quotas = ServiceQuotas(settings, owner)
        self._outcomes = OutcomeHandler(self._deliveries, self._delayed, self._inbox, owner)
        categories = LeaseWaitCategories()
        self._offers = ReadyOffers(
            self._deliveries,
            self._delayed,
            self._destinations,
            self._quotas,
            self._outcomes,
            self._inbox,
            categories,
        )
        self._module = Forwarder(categories.settings, settings.seed)
        self._carrier = Carrier(categories.settings, settings.max_connections, tasks, self)

    # Called by the store.

    def configure(self, config: Configuration) -> None:
        """Apply a configuration, and route the DELAYED and READY deliveries again.

        They become due at once, or at the message's due time if that is later.
        """
        self._config = config
        for update in self._destinations.configure(config.services):
            self._announce(update)
        for delivery in list(self._deliveries.by_id.values()):
            if delivery.stage in (DeliveryStage.DELAYED, DeliveryStage.READY):
                self._delayed.delay_until(delivery, max(self._loop.time(), delivery.record.due_at))
        self._inbox.schedule()

    def update_target(self, target: Target) -> None:
        """Apply the new state of a target."""
        if (update := self._destinations.update_target(target)) is not None:
            self._announce(update)
            self._inbox.schedule()

    def deliver(self, record: Record) -> None:
        """Deliver a message once it is due; do nothing if it has a delivery already or has ended."""
        if record.id in self._deliveries.by_id or not record.is_queued:
            return
        delivery = self._deliveries.by_id[record.id] = Delivery(record)
        if record.due_at > self._loop.time():
            self._delayed.delay_until(delivery, record.due_at)
        else:
            self._make_ready(delivery)
            self._inbox.schedule()

    def withdraw(self, record: Record) -> bool:
        """Stop the delivery of a message; return whether the delivery is stopped.

        Return false, and change nothing, if the message is queued and its call is in flight. If another store
        has ended the message, a call in flight is cancelled.
        """
        delivery = self._deliveries.by_id.get(record.id)
        if delivery is None:
            return True
        if delivery.stage is DeliveryStage.IN_FLIGHT and record.is_queued:
            return False
        self._outcomes.forget(delivery)
        return True

    def remove_idle(self) -> list[Record]:
        """Withdraw and return all messages that have no call in flight."""
        idle = [
            delivery
            for delivery in self._deliveries.by_id.values()
            if delivery.stage is not DeliveryStage.IN_FLIGHT
        ]
        for delivery in idle:
            self._outcomes.forget(delivery)
        return [delivery.record for delivery in idle]

    def is_in_flight(self, record: Record) -> bool:
        """Return whether a call that delivers the message is in flight."""
        delivery = self._deliveries.by_id.get(record.id)
        return delivery is not None and delivery.stage is DeliveryStage.IN_FLIGHT

    def schedule_decision(self) -> None:
        """Schedule a decision; called at intervals, as no event reports a change of `may_start_calls`."""
        if self._offers.has_queues and self._deliveries.by_id:
            self._inbox.schedule()

    async def close(self, hand_over: Callable[[list[Record]], Awaitable[None]], until: float) -> None:
        """Stop offering deliveries, and hand over those without a call in flight until none remains.

        `until` is the end of the grace period in the loop's time. `SHUTDOWN_ABANDON_S` before it, the method
        returns even if calls are still in flight.
        """
        self._deliveries.draining = True
        while self._deliveries.by_id:
            if records := self.remove_idle():
                await hand_over(records)
            if self._loop.time() > until - SHUTDOWN_ABANDON_S:
                break
            await asyncio.sleep(SHUTDOWN_POLL_S)

    # `DeliverySource`, called by the carrier.

    def delivery_request(self, ref: int, target: bytes) -> DeliveryRequest:
        """Return the content of a call."""
        delivery = self._deliveries.by_ref[ref]
        assert delivery.route is not None
        guard_s = delivery.route.guard_timer_ms / 1000
        return DeliveryRequest(delivery.record, guard_s, self._destinations.expected_instance(target))

    def is_wanted(self, ref: int) -> bool:
        """Return whether this store still has to send a delivery."""
        delivery = self._deliveries.by_ref.get(ref)
        return delivery is not None and self._owner.owns(delivery.record)

    def on_delivery_result(self, ref: int, delivery_result: DeliveryResult, seal: str) -> None:
        """Store the delivery result of a response; `on_outcome` is called for the same call afterwards."""
        self._outcomes.on_delivery_result(ref, delivery_result, seal)

    def on_outcome(self, outcome: api.Outcome) -> None:
        """Process the outcome of a call."""
        self._outcomes.on_outcome(outcome)

    # Exchange with the decision module.

    def _announce(self, update: EndpointUpdate) -> None:
        self._carrier.update(update.entries, update.addresses, is_complete=False)
        self._inbox.add(api.DirectoryUpdate(api.ListKind.DELTA, 0, update.entries))

    def _on_due(self) -> None:
        for delivery in self._delayed.pop_due():
            self._make_ready(delivery)
        self._inbox.schedule()

    def _make_ready(self, delivery: Delivery) -> None:
        """Find the route of a due delivery in the active configuration, and queue it for the route's service.

        A message whose route was removed is dead-lettered.
        """
        config, record = self._config, delivery.record
        if config is None or config.revision < record.config_revision:
            self._delayed.delay_for(delivery, CONFIGURATION_RETRY_S)
            return
        route = config.route(record.host, record.path.partition("?")[0])
        if route is None:
            log_undeliverable(record, UndeliverableReason.ROUTE_REMOVED)
            self._deliveries.remove(delivery)
            self._owner.finish(record, MessageState.DEAD_LETTERED, "")
            return
        delivery.route = route
        self._offers.enqueue(delivery)

    def _decide(self) -> None:
        if not self._deliveries.draining and self._owner.may_start_calls():
            self._offers.offer_ready(self._config, self._loop.time())
        for action in self._module.handle(self._loop.time(), self._inbox.drain()):
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send(ref=ref, target=target):
                self._send(ref, target)
            case api.Reject(ref=ref) | api.Fail(ref=ref):
                self._outcomes.on_no_lease(ref)
            case api.SetTimer(at=at):
                self._loop.call_at(at, self._on_module_timer)
            case api.CloseIdle(target=target):
                self._carrier.close_idle(target)
            case api.Cancel(ref=ref, attempt=attempt):
                self._carrier.cancel(ref, attempt)
            case api.LogLine(text=text):
                log_event(Event.DISPATCH_NOTE, text)
            case _:  # actions on health checks, directories and forwarders, which the cluster does not use
                pass

    def _on_module_timer(self) -> None:
        self._inbox.add(api.TimerFired(0))
        self._inbox.schedule()

    def _send(self, ref: int, target: bytes) -> None:
        delivery = self._deliveries.by_ref.get(ref)
        if delivery is None or delivery.route is None:
            self._inbox.add(api.ClientDisconnected(ref))
            return
        if not self._owner.owns(delivery.record):
            self._outcomes.forget(delivery)
            return
        service = self._config.by_service.get(delivery.route.service) if self._config is not None else None
        delivery.send_count += 1
        if not self._quotas.try_spend(service, self._loop.time()):
            # The module treats this as a call that was not executed.
            self._inbox.add(api.Outcome(ref, delivery.send_count - 1, target, api.Result.NOT_EXECUTED, 0.0))
            self._inbox.schedule()
            return
        self._deliveries.change_stage(delivery, DeliveryStage.IN_FLIGHT)
        timeout_s = delivery.route.guard_timer_ms / 1000 + RESPONSE_MARGIN_S
        self._carrier.call(
            target, [CallItem(ref, delivery.send_count - 1, delivery.record.id, "", b"", timeout_s)]
        )
