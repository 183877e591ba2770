"""The engine: collects events per loop iteration, calls the decision module and executes its actions."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict

from emberlatch.core import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.view import EndpointCounts, ForwarderView, count_endpoints, view
from emberlatch.engine.active_settings import ActiveSettings
from emberlatch.engine.completions import CompletionResult, Completions
from emberlatch.engine.counters import Counters
from emberlatch.engine.deliveries import CallsByTarget, Deliveries
from emberlatch.engine.durability import NO_DURABLE_CLASSES, DurabilityGate, DurableClasses
from emberlatch.engine.event_queue import EventQueue
from emberlatch.engine.graceful_shutdown import CALLS_AFTER_STOP_S, shut_down
from emberlatch.engine.journal_clock import JournalClock
from emberlatch.engine.machine import REAL_MACHINE, Machine
from emberlatch.engine.message_table import MessageJournal, MessageTable
from emberlatch.engine.ports import (
    Addresses,
    EnginePorts,
    EnginePortsError,
    ReceivedHandover,
    Submission,
    SubmissionResponder,
)
from emberlatch.engine.relayed_attempts import RelayedAttempts
from emberlatch.engine.submissions import PendingByRef, Submissions
from emberlatch.engine.tasks import Tasks
from emberlatch.store import Entry, GroupSync, Journal

log = logging.getLogger(__name__)

MAX_FINAL_DECISIONS = 5
"""Before a hand-over, at most this many decisions are made to handle pending events.

Events that the last of these decisions causes are handled by the next process.
"""
FAILED_DECISION_RETRY_S = 0.05


EngineFigures = TypedDict(  # noqa: UP013 - a class would make the outer key `held` an identifier
    "EngineFigures",
    {
        "held": int,  # open messages
        "notices_owed": int,  # completed messages whose notices are not confirmed
        "counts": dict[str, int],  # counts since the start of the process, added up over the message classes
    },
)
"""The engine's own part of the status; the rest comes from the decision module."""


class EngineStatus(EngineFigures, ForwarderView):
    """The state of an engine and its decision module at one moment, under the keys that operators see."""


@dataclass(frozen=True, slots=True)
class _ConnectedParts:
    """The ports of one engine, and the parts of the engine that call a port."""

    ports: EnginePorts
    completions: Completions
    deliveries: Deliveries


class Engine:
    """One forwarder: it owns every message from its submission until its completion notice is confirmed.

    The engine is created in two steps, because the engine and the adapters behind its ports call each other:
    the adapters call `submit`, `on_attempt_outcome`, `on_membership_update` and `on_notices_confirmed`.
    Create the engine, then its adapters, then pass all of them to `connect`. Until then `start`, and any
    other method that needs a port, raises EnginePortsError.

    Attributes: `messages`, `counters`, `durability` and `relayed` may be read by other classes, and are
    changed by the engine only.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        journal: Journal,
        tasks: Tasks,
        machine: Machine = REAL_MACHINE,
        durable_classes: DurableClasses = NO_DURABLE_CLASSES,
    ) -> None:
        """`seed` initializes the random choices of decisions.

        `journal` must be durable if `durable_classes` contains any class.
        """
        self._settings = ActiveSettings(settings)
        self._forwarder = Forwarder(self._settings.current, seed)
        self._tasks, self._journal = tasks, journal
        self._loop = asyncio.get_running_loop()
        self._clock = JournalClock(journal, machine)
        self.counters = Counters()
        self.messages = MessageTable(journal)
        sync = GroupSync(journal, machine.offload, durable_classes.on_sync_failed)
        self.durability = DurabilityGate(durable_classes, sync)
        self._message_journal = MessageJournal(self.messages, self._clock, self.durability)
        self.relayed = RelayedAttempts()
        self.recovered_ids: frozenset[str] = frozenset()
        """Ids of the messages that the journal contained at the start."""
        self._events = EventQueue(self._decide)
        self._submissions = Submissions(
            self._settings, self._message_journal, self.counters, self._events.post
        )
        self._timer: asyncio.TimerHandle | None = None
        # Reports received while another process may own the journal.
        self._deferred: list[Callable[[], None]] = []
        self._connected_parts: _ConnectedParts | None = None

    def connect(self, ports: EnginePorts) -> None:
        """Connect the ports. Call this once, before `start`; a second call raises EnginePortsError."""
        if self._connected_parts is not None:
            raise EnginePortsError("the engine is connected to its ports already: call connect only once")
        journal, counters = self._message_journal, self.counters
        completions = Completions(journal, ports.notifier, counters)
        deliveries = Deliveries(
            self._settings, journal, completions, ports.carrier, counters, self._events.post
        )
        self._connected_parts = _ConnectedParts(ports, completions, deliveries)

    @property
    def _connected(self) -> _ConnectedParts:
        if self._connected_parts is None:
            raise EnginePortsError(
                "the engine has no ingresses, carrier, membership and notifier yet: connect it first"
            )
        return self._connected_parts

    def apply_settings(self, settings: api.Settings) -> None:
        """Replace the settings; messages that were accepted before keep their terms."""
        self._settings.apply(settings)
        self._events.post(api.SettingsChanged(self._settings.current))

    # Start and stop.

    async def start(self, received: ReceivedHandover | None = None) -> None:
        """Restore messages from the journal and state from the predecessor, then accept new messages."""
        connected = self._connected
        connected.ports.membership.start()
        entries = self._journal.load()
        if received is not None:
            received.confirm_ownership()  # this process must not write before it has confirmed its ownership
            self.relayed.start(received.relayed)
        self.recovered_ids = frozenset(entry.id for entry in entries)
        self._clock.start()
        now = self._clock.now()
        for entry in entries:
            if entry.notice is not None:
                connected.completions.restore(entry)
            else:
                self._recover(entry, now)
        self._submissions.start(max([int(now * 1000), *(entry.ref + 1 for entry in entries)]))
        log.info("journal read: %d open messages, %d unconfirmed notices", *self._sizes())
        if received is not None:
            self._events.post(api.HandoverReceived(received.module))
        self._decide()
        for ingress in connected.ports.ingresses:
            ingress.start()

    def _sizes(self) -> tuple[int, int]:
        return len(self.messages.open_messages), len(self.messages.completed)

    def _recover(self, entry: Entry, now: float) -> None:
        terms = self._settings.terms_of(entry)
        self.messages.restore_open(entry)
        if terms is None:
            log.error("message %s in the journal is of unknown class %r", entry.id, entry.category)
            self._connected.completions.complete_undelivered(entry.ref, CompletionResult.DEAD)
            return
        tenant = self._settings.tenant_number(entry.tenant)
        remaining = entry.deadline - now
        arrival = api.Arrival(entry.ref, 0, entry.destination, remaining, tenant, inherited=True)
        unknown = tuple(
            api.UnknownOutcome(each.target.encode(), each.zone, now - each.sent)
            for each in entry.unknown_outcomes
            if (entry.ref, each.attempt) not in self.relayed
        )
        relayed = (entry.ref, entry.attempts - 1) in self.relayed
        self._events.post(api.MessageRecovered(arrival, entry.attempts - relayed, unknown, terms, relayed))

    async def stop(self) -> None:
        """Shut down gracefully: accept connections briefly, wait for calls, keep open messages journaled."""
        began, ingresses = self._loop.time(), self._connected.ports.ingresses
        for ingress in ingresses:
            ingress.stop()
        self._events.post(api.Stopping(began + CALLS_AFTER_STOP_S))
        await shut_down(ingresses, began, self._is_busy, lambda: bool(self.messages.open_messages))
        log.info("stopped with %d open messages, %d unconfirmed notices", *self._sizes())
        self._tasks.cancel()
        self._journal.close()

    def _is_busy(self) -> bool:
        connected = self._connected
        return bool(
            connected.ports.carrier.in_flight
            or self.relayed
            or connected.completions.pending
            or self.durability.sync.pending
        )

    # Information for operators.

    @property
    def categories(self) -> list[str]:
        """The classes whose messages can be submitted under the current settings."""
        return list(self._settings.category_numbers)

    def count_endpoints(self) -> EndpointCounts:
        """Return how many endpoints are listed, and how many of them currently get no messages."""
        return count_endpoints(self._forwarder, self._loop.time())

    def status(self) -> EngineStatus:
        """Return open messages, unconfirmed notices, the counters, and the decision module's state."""
        open_messages, unconfirmed = self._sizes()
        return {
            "held": open_messages,
            "notices_owed": unconfirmed,
            "counts": self.counters.totals(),
            **view(self._forwarder, self._loop.time()),
        }

    # Reports from adapters.

    def submit(self, message: Submission, responder: SubmissionResponder) -> None:
        """Queue a submission for the next decision, or answer it at once if its id is known.

        Raises BadMessageError if the submission is invalid.
        """
        self._submissions.submit(message, responder)

    def on_attempt_outcome(self, outcome: api.Outcome) -> None:
        """Record the outcome of an attempt in the journal, then pass it to the decision module."""
        self._connected.deliveries.report(outcome)

    def on_membership_update(self, update: api.DirectoryUpdate, addresses: Addresses) -> None:
        """Apply a membership update: endpoints that were added, changed or removed, or the complete list."""
        if self._events.suspended:
            self._deferred.append(lambda: self.on_membership_update(update, addresses))
            return
        self._submissions.add_destinations(entry.destination for entry in update.entries)
        is_complete = update.kind in (api.ListKind.CACHED, api.ListKind.FULL)
        self._connected.ports.carrier.update(update.entries, addresses, is_complete)
        self._events.post(update)

    def on_notices_confirmed(self, refs: list[int]) -> None:
        """Remove the messages whose completion notices are confirmed."""
        if self._events.suspended:
            self._deferred.append(lambda: self.on_notices_confirmed(refs))
            return
        self._connected.completions.confirm(refs)

    def on_peer_retry_after(self, target: api.Target, seconds: float) -> None:
        """Apply a `Retry-After` of `seconds` that an endpoint sent to another forwarder of this sender."""
        self._events.post(api.PeerRetryAfter(target, seconds))

    def on_directory_address_changed(self) -> None:
        """Inform the decision module that the endpoint directory now has another address."""
        self._events.post(api.DirectoryAddressChanged())

    # Hand-over of all messages to another process.

    def freeze(self) -> dict[str, object]:
        """Make the last decisions, stop writing to the journal, and return the decision module's state."""
        for _ in range(MAX_FINAL_DECISIONS):
            if not (self._events or self._submissions.has_pending):
                break
            self._decide()
        if self._timer is not None:
            self._timer.cancel()
        self._events.suspended = True
        self._deferred = []
        self._journal.close()
        return self._forwarder.handover_state()

    def resume(self) -> None:
        """Resume after `freeze`, because no other process took over, and apply the reports received since."""
        self._journal.reopen()
        self._events.suspended = False
        deferred, self._deferred = self._deferred, []
        for report in deferred:
            report()
        self._events.post(api.TimerFired(0))  # `freeze` cancelled the decision module's timer

    def drop_messages(self) -> None:
        """Drop all messages from memory: another process owns them now."""
        self._events.suspended = True
        self._deferred = []
        self.messages.clear()

    # Decisions.

    def _decide(self) -> None:
        # Without ports this raises before any event is taken from the queue.
        deliveries = self._connected.deliveries
        pending, events = self._submissions.take(self._events.take())
        unread = iter(events)
        try:
            actions = self._forwarder.handle(self._loop.time(), unread)
        except Exception:
            log.exception("decision failed on %r", events)
            actions = self._actions_after_failed_decision(list(unread), pending)
        self._submissions.answer(pending, actions)
        calls: CallsByTarget = {}
        for action in actions:
            try:
                self._execute(action, calls)
            except Exception:
                log.exception("action failed: %r", action)
        if (line := self.counters.interval_line(self._loop.time())) is not None:
            log.info("sums %s", line)
        deliveries.start_calls(calls)

    def _actions_after_failed_decision(
        self, unread: list[api.Event], pending: PendingByRef
    ) -> list[api.Action]:
        """Return the actions to execute after a decision in which one of the events raised an exception.

        The actions decided before that event are included, since the decision module's state assumes that
        they are executed. The events after it are posted again; submissions among them are removed from
        `pending`. A new message that the decision module did not register gets a Fail action.
        """
        undecided = {event.ref for event in unread if isinstance(event, api.Arrival)}
        self._submissions.requeue({ref: pending.pop(ref) for ref in undecided})
        failed = [api.Fail(ref) for ref in pending if ref not in self._forwarder.open_messages]
        actions = [*failed, *self._forwarder.actions]
        for event in unread:
            self._events.post(event)
        retry_at = self._loop.time() + FAILED_DECISION_RETRY_S
        # The failed decision may not have set the decision module's timer.
        self._events.post_at(retry_at, api.TimerFired(0))
        return actions

    def _execute(self, action: api.Action, calls: CallsByTarget) -> None:
        connected = self._connected
        match action:
            case api.Send():
                connected.deliveries.add_attempts(action, calls)
            case api.Reject(ref, retry_after):
                retry_after_ms = round(retry_after * 1000)
                connected.completions.complete_undelivered(ref, CompletionResult.BOUNCED, retry_after_ms)
            case api.Fail(ref):
                connected.completions.complete_undelivered(ref, CompletionResult.DEAD)
            case api.SetTimer(at, token):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._events.post_at(at, api.TimerFired(token))
            case api.Cancel(ref, attempt):
                connected.deliveries.cancel(ref, attempt)
            case api.CloseIdle(target):
                connected.ports.carrier.close_idle(target)
            case api.LogLine(text):
                log.info("%s", text)
            case api.SetDirectoryWatch(active):
                connected.ports.membership.set_watching(active)
            case api.RequestDirectoryList():
                connected.ports.membership.request_list()
            case _:
                log.error("unsupported action: %r", action)
