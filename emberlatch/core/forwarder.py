"""The decision module: `Forwarder` takes events and returns actions. It does no I/O and has no clock.

Calls are limited by a bulkhead: each call leases a slot from the pool of its destination, and a message that
gets no lease within a short time is rejected. A route has its own rate limit, send rate and health. It
consists of one endpoint if routes are separate, otherwise of all endpoints of the destination.

Each part owns its fields; the other parts use them through it:

| part | module | owns |
| --- | --- | --- |
| `Context` | context.py | settings, current time, random source, the turn's actions |
| `PoolTable` | pools.py | the pools, which of them a turn processes, wake-ups by destination |
| `Bulkhead` | bulkhead.py | call slots |
| `EndpointList`, `DirectoryPoll` | endpoint_list.py | endpoints, time of the next directory request |
| `RouteHealth`, `SlowStart` | health.py, slow_start.py | nothing: they update and read records |
| `CongestionEstimate`, `RateControl` | send_rate.py | the congestion estimate |
| `MessageQueue`, `KeyOrder` | messages.py, key_order.py | open messages, their delivery order |
| `WaitPolicy`, `SubmissionStatistics` | wait_policy.py | counts of rejections and resubmissions |
| `AttemptPolicy` | attempts.py | nothing: it reads messages and their categories |
| `CallTable` | calls.py | calls in flight |
| `Dispatcher` | dispatcher.py | calls of the turn to which messages can be added |
| `WakeupPlanner`, `Timer` | wakeups.py, timers.py | the timer |
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from emberlatch.core import handover
from emberlatch.core.actions import Action
from emberlatch.core.attempts import AttemptPolicy
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.calls import CallTable
from emberlatch.core.context import Context
from emberlatch.core.dispatcher import Dispatcher
from emberlatch.core.endpoint_list import EndpointList
from emberlatch.core.events import (
    Arrival,
    ClientDisconnected,
    DirectoryAddressChanged,
    DirectoryUpdate,
    Event,
    HandoverReceived,
    MessageRecovered,
    Outcome,
    PeerRetryAfter,
    ProbeResult,
    SettingsChanged,
    Stopping,
    Target,
)
from emberlatch.core.health import RouteHealth
from emberlatch.core.messages import MessageQueue
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import Call, Endpoint, Message, Pool
from emberlatch.core.send_rate import CongestionEstimate, RateControl
from emberlatch.core.settings import Settings, Terms
from emberlatch.core.slow_start import SlowStart
from emberlatch.core.timers import Timer
from emberlatch.core.wakeups import WakeupPlanner


class Forwarder:
    """Makes the decisions of one sender: takes events and returns actions.

    `handle` is the only entry point for events. The properties are for reports and tests, which must not
    modify the returned objects.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        context = self.context = Context(settings, seed)
        self.pool_table, self.bulkhead = PoolTable(), Bulkhead(settings.slots)
        self.congestion, self.slow_start = CongestionEstimate(), SlowStart(context)
        attempts = AttemptPolicy(context)
        self.rates = RateControl(context, self.congestion)
        self.endpoint_list = EndpointList(context, self.pool_table, self.slow_start)
        self.health = RouteHealth(context, self.bulkhead, self.slow_start, self.congestion)
        self.queue = MessageQueue(context, self.pool_table, self.bulkhead, self.slow_start, attempts)
        self.call_table = CallTable(
            context, self.pool_table, self.bulkhead, self.endpoint_list, self.health, self.queue, attempts
        )
        self._dispatcher = Dispatcher(
            context,
            self.pool_table,
            self.bulkhead,
            self.endpoint_list,
            self.slow_start,
            self.rates,
            attempts,
            self.call_table,
            self.queue.key_order,
        )
        self._planner = WakeupPlanner(
            context, self.pool_table, self.bulkhead, self.health, self.rates, self.queue
        )
        self.timer = Timer(context)
        self.event_handlers: dict[type, Callable[..., None]] = {
            Arrival: self.queue.on_arrival,
            MessageRecovered: self.queue.on_recovered,
            ClientDisconnected: self._on_client_gone,
            Outcome: self.call_table.on_outcome,
            ProbeResult: self._on_probe_result,
            PeerRetryAfter: self._on_peer_retry_after,
            DirectoryUpdate: self.endpoint_list.on_update,
            DirectoryAddressChanged: self._on_directory_moved,
            SettingsChanged: self._on_settings_changed,
            HandoverReceived: self._on_handover_received,
            Stopping: self._on_stopping,
        }

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process the events of one turn at `now` (seconds) and return the actions to execute, in order.

        An exception from a defect in this module is not caught. The property `actions` then contains the
        actions that were decided before it.
        """
        context, pools = self.context, self.pool_table
        self.timer.on_turn(now)
        context.now, context.actions = now, []
        pools.begin_turn()
        for event in events:
            handler = self.event_handlers.get(type(event))
            if handler is not None:
                handler(event)
        pools.mark_due_dirty(now)
        for pool in list(pools.dirty.values()):
            self.health.check(pool)
            self.queue.expire_waiting(pool)
        self.queue.shed_load()
        self._dispatcher.dispatch()
        for destination, pool in pools.dirty.items():
            self._planner.schedule(destination, pool)
        poll = self.endpoint_list.poll
        poll.request_if_due()
        self.timer.set(min(poll.next_at, pools.wakeups.next_due()))
        return context.actions

    @property
    def actions(self) -> list[Action]:
        """Return the actions of the present or last turn."""
        return self.context.actions

    @property
    def open_messages(self) -> Mapping[int, Message]:
        """Return the messages without a final answer, by ref."""
        return self.queue.open_messages

    @property
    def calls(self) -> Mapping[tuple[int, int], Call]:
        """Return the calls in flight, by message ref and attempt number."""
        return self.call_table.in_flight

    @property
    def pools(self) -> Mapping[int, Pool]:
        """Return the pool of each destination."""
        return self.pool_table.by_destination

    @property
    def endpoints(self) -> Mapping[Target, Endpoint]:
        """Return the listed endpoints, and removed ones whose retry-after has not ended."""
        return self.endpoint_list.endpoints

    @property
    def free_slots(self) -> int:
        """Return the number of slots available for new calls."""
        return self.bulkhead.free_slots

    def handover_state(self) -> dict[str, object]:
        """Return the state from which the next process continues, as plain values."""
        return (
            {
                "pools": handover.pools_state(self.pools),
                "messages": handover.messages_state(self.open_messages),
                "calls": list(handover.calls_state(self.calls)),
                "short_until": list(self.endpoint_list.connections_short_until.items()),
                "rests": self.queue.key_order.quiet_periods(),
            }
            | handover.to_state(self.congestion, handover.CONGESTION_KEYS)
            | handover.to_state(self.queue.submissions, handover.SUBMISSION_KEYS)
        )

    def _on_handover_received(self, event: HandoverReceived) -> None:
        """Continue from the state of the previous process.

        The calls that were in flight there occupy leases and slots here.
        """
        state = handover.module_state(event.state)
        for message_state in state["messages"]:
            if (message := self.open_messages.get(message_state["ref"])) is not None:
                handover.restore(message, handover.MESSAGE_KEYS, message_state)
        for call_state in state["calls"]:
            endpoint = self.endpoint_list.endpoint_of_call(handover.entry_of_call(call_state))
            call = endpoint.start_call(call_state["sent"], call_state["trial"])
            call.failure_counted = call_state["judged"]
            self.bulkhead.free_slots -= 1
            for ref, attempt, key in call_state["messages"]:
                message = self.open_messages.get(ref) or self._ended_message(
                    ref, call_state["destination"], key
                )
                message.attempts = attempt
                self.call_table.add(call, message)
        handover.restore_pools(state["pools"], self.pools, self.endpoints)
        self.endpoint_list.connections_short_until = dict(state["short_until"])
        self.queue.key_order.restore_quiet_periods(state["rests"])
        handover.restore(self.congestion, handover.CONGESTION_KEYS, event.state)
        handover.restore(self.queue.submissions, handover.SUBMISSION_KEYS, event.state)

    def _ended_message(self, ref: int, destination: int, key: int) -> Message:
        """Return a record for an answered message with a call in flight.

        Its call occupies a slot, and an ordered message blocks its key, until the call has an outcome.
        """
        categories = self.context.settings.categories
        ordered = (category for category in categories if category.ordered == (key != 0))
        terms = Terms(next(ordered, categories[0]), 1)
        return Message(Arrival(ref, 0, destination, 0.0, key=key), terms, self.context.now)

    def _on_client_gone(self, event: ClientDisconnected) -> None:
        self.queue.remove(event.ref)

    def _on_probe_result(self, event: ProbeResult) -> None:
        if (endpoint := self.endpoints.get(event.target)) is not None:
            self.pool_table.mark_dirty(endpoint.entry.destination)
            self.health.on_probe_result(endpoint, event)

    def _on_peer_retry_after(self, event: PeerRetryAfter) -> None:
        """Apply another forwarder's retry-after. Jitter makes the forwarders resume at different times."""
        endpoint = self.endpoints.get(event.target)
        if endpoint is not None and event.retry_after > 0:
            self.health.apply_retry_after(endpoint.route, event.retry_after)
            self.pool_table.mark_dirty(endpoint.entry.destination)

    def _on_directory_moved(self, _: DirectoryAddressChanged) -> None:
        self.endpoint_list.poll.on_moved()

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        """Apply new settings at once to everything but accepted messages, which keep their terms."""
        self.bulkhead.resize(self.context.settings.slots, event.settings.slots)
        self.context.settings = event.settings
        self.pool_table.mark_all_dirty()

    def _on_stopping(self, event: Stopping) -> None:
        self.context.shutdown_at = event.at
