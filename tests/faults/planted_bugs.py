"""Bugs that tests plant in the real code; each plant returns a context manager that patches the code."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from emberlatch.core.attempts import AttemptPolicy
from emberlatch.core.bulkhead import Bulkhead
from emberlatch.core.calls import CallTable
from emberlatch.core.endpoint_list import EndpointList
from emberlatch.core.forwarder import Forwarder
from emberlatch.core.health import RouteHealth
from emberlatch.core.interface import Effect, Outcome, Phase, Result
from emberlatch.core.messages import MessageQueue
from emberlatch.core.records import Pool, Route
from emberlatch.core.slow_start import SlowStart
from emberlatch.directory import Backoff, CancelRequest, Client, Failure
from emberlatch.directory import client as directory_client
from emberlatch.engine.completions import Completions
from emberlatch.engine.engine import Engine
from emberlatch.engine.journal_clock import JournalClock
from emberlatch.engine.message_table import MessageTable
from emberlatch.engine.relayed_attempts import RelayedAttempts
from emberlatch.faults.virtual_takeover import VirtualLock
from emberlatch.net import http_carrier, retry_after
from emberlatch.net.call import Call
from emberlatch.net.directory_list import DirectoryListCodec
from emberlatch.net.directory_membership import DirectoryMembership
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.net.http_connection import NoResponseError
from emberlatch.net.notification_sender import NotificationSender
from emberlatch.platform import PlatformForwarder
from emberlatch.platform.handover import PlatformHandover
from emberlatch.store import Journal, records
from emberlatch.store import journal as store_journal
from emberlatch.takeover import StateSnapshot
from emberlatch.takeover.relay import OutcomeQueue

Plant = Callable[[], Any]
PLANTED_BUGS: dict[str, Plant] = {}


def planted(plant: Plant) -> Plant:
    """Register a plant in `PLANTED_BUGS` under its function's name."""
    PLANTED_BUGS[plant.__name__] = plant
    return plant


def patch_outcomes(change: Callable[[Outcome], Outcome]) -> Any:
    """Apply `change` to every outcome that is reported to the engine."""
    real = Engine.on_attempt_outcome
    return patch.object(Engine, "on_attempt_outcome", lambda self, outcome: real(self, change(outcome)))


def patch_loaded_entries(change: Callable[[list[Any]], list[Any]]) -> Any:
    """Apply `change` to the entries that the journal loads at a start."""
    real = Journal.load
    return patch.object(Journal, "load", lambda self: change(real(self)))


def replace_result(result: Result, other: Result) -> Any:
    """Report `other` to the engine wherever a call has the outcome `result`."""
    return patch_outcomes(lambda o: replace(o, result=other) if o.result is result else o)


@planted
def reset_counts_as_never_sent() -> Any:
    return replace_result(Result.RESET, Result.CONNECT_FAILED)


@planted
def timeout_counts_as_never_sent() -> Any:
    return replace_result(Result.TIMEOUT, Result.CONNECT_FAILED)


@planted
def error_counts_as_rejected() -> Any:
    return replace_result(Result.ERROR, Result.FULL)


@planted
def retry_after_is_ignored() -> Any:
    return patch.object(http_carrier, "parse_retry_after", lambda text: 0.0)


@planted
def retry_after_is_halved() -> Any:
    real = retry_after.parse_retry_after
    return patch.object(http_carrier, "parse_retry_after", lambda text: real(text) / 2)


@planted
def retry_after_is_forgotten_on_listing() -> Any:
    real = HttpCarrier.update

    def update(self: HttpCarrier, *arguments: Any) -> None:
        self._retry_after.clear()
        real(self, *arguments)

    module = EndpointList.on_update

    def directory(self: EndpointList, event: Any) -> None:
        for endpoint in self.endpoints.values():
            endpoint.route.blocked_until = -1.0
        module(self, event)

    return _apply_both(
        patch.object(HttpCarrier, "update", update),
        patch.object(EndpointList, "on_update", directory),
    )


@contextmanager
def _apply_both(*plants: Any) -> Iterator[None]:
    with plants[0], plants[1]:
        yield


@planted
def drain_is_not_read() -> Any:
    real = DirectoryListCodec._decode_entry

    def entry(self: DirectoryListCodec, member: Any) -> Any:
        found = real(self, member)
        return replace(found, phase=Phase.READY) if found.phase is Phase.DRAINING else found

    return patch.object(DirectoryListCodec, "_decode_entry", entry)


@planted
def list_is_applied_late() -> Any:
    real = Engine.on_membership_update

    def listed(self: Engine, *arguments: Any) -> None:
        asyncio.get_running_loop().call_later(
            1.5 if self._loop.time() > 1001 else 0.0, real, self, *arguments
        )

    return patch.object(Engine, "on_membership_update", listed)


@planted
def keyed_repeat_in_the_other_zone() -> Any:
    real = AttemptPolicy.may_send

    def may_send(self: AttemptPolicy, message: Any, endpoint: Any) -> bool:
        target, zone = endpoint.entry.target, endpoint.entry.zone
        unknown_outcomes = [
            attempt._replace(target=target, zone=zone) for attempt in message.unknown_outcomes
        ]
        message.unknown_outcomes, kept = unknown_outcomes, message.unknown_outcomes
        allowed = real(self, message, endpoint)
        message.unknown_outcomes = kept
        return allowed

    return patch.object(AttemptPolicy, "may_send", may_send)


@planted
def key_window_too_long() -> Any:
    def in_window(self: AttemptPolicy, message: Any) -> bool:
        ends_after = message.category.dedup_window + 4
        return all(self._context.now < unknown.sent_at + ends_after for unknown in message.unknown_outcomes)

    return patch.object(AttemptPolicy, "is_within_dedup_window", in_window)


@planted
def unsafe_is_repeated() -> Any:
    may, has_attempt = AttemptPolicy.may_send, AttemptPolicy.allows_another_attempt

    def unsafe(message: Any) -> bool:
        return bool(
            message.category.effect is Effect.UNSAFE and message.attempts < 6 and message.call is None
        )

    return _apply_both(
        patch.object(AttemptPolicy, "may_send", lambda s, m, e: unsafe(m) or may(s, m, e)),
        patch.object(AttemptPolicy, "allows_another_attempt", lambda s, m: unsafe(m) or has_attempt(s, m)),
    )


@planted
def rejected_though_it_may_have_run() -> Any:
    return patch.object(AttemptPolicy, "may_reject", lambda self, message: message.call is None)


@planted
def notice_is_forgotten_at_restart() -> Any:
    return patch_loaded_entries(lambda entries: [entry for entry in entries if entry.notice is None])


@planted
def open_message_is_lost_at_restart() -> Any:
    return patch_loaded_entries(lambda entries: [entry for entry in entries if entry.notice is not None])


@planted
def unknown_outcomes_are_not_replayed() -> Any:
    def cleared(entries: list[Any]) -> list[Any]:
        for entry in entries:
            entry.unknown_outcomes.clear()
        return entries

    return patch_loaded_entries(cleared)


@planted
def accepted_before_it_is_journalled() -> Any:
    return patch.object(Journal, "add", lambda self, entry: None)


@planted
def intent_is_not_journalled() -> Any:
    real = Journal.update

    def update(self: Journal, entry: Any) -> None:
        if entry.notice is not None or not entry.unknown_outcomes:
            real(self, entry)

    return patch.object(Journal, "update", update)


@planted
def completion_is_not_journalled() -> Any:
    return patch.object(Journal, "remove", lambda self, entry: self._index._entries.pop(entry.ref, None))


@planted
def batch_answer_is_not_final() -> Any:
    return patch.dict(http_carrier.BATCH_RESULTS, {"ok": (Result.ERROR, False)})


@planted
def batch_answer_counts_for_all() -> Any:
    """A call whose connection is reset counts as delivered, whether or not it is a batch."""
    return patch_outcomes(
        lambda o: replace(o, result=Result.OK, is_final=True) if o.result is Result.RESET else o
    )


@planted
def first_line_of_another_answer_counts() -> Any:
    real = NoResponseError.__init__

    def init(self: NoResponseError, written: bool, status: int = 0) -> None:
        real(self, written, 200 if written else 0)

    return patch.object(NoResponseError, "__init__", init)


@planted
def lease_is_leaked() -> Any:
    real = CallTable.on_outcome

    def outcome(self: CallTable, event: Any) -> None:
        free_slots = self._bulkhead.free_slots
        real(self, event)
        if event.result is Result.TIMEOUT and self._bulkhead.free_slots > max(free_slots, 1):
            self._bulkhead.free_slots -= 1

    return patch.object(CallTable, "on_outcome", outcome)


@planted
def notice_counts_as_confirmed() -> Any:
    real = NotificationSender._post

    async def post(self: NotificationSender, body: bytes, timeout_s: float) -> int:
        return 204 if b"dead" in body else await real(self, body, timeout_s)

    return patch.object(NotificationSender, "_post", post)


@planted
def completion_is_notified_twice() -> Any:
    real = Completions.complete

    def complete(self: Completions, entry: Any, result: Any, retry_after_ms: int | None = None) -> None:
        real(self, entry, result, retry_after_ms)
        if entry.ref in self._messages.completed and result == "bounced":
            self._notifier.add(-entry.ref, {"ref": entry.id, "result": "dead"})

    return patch.object(Completions, "complete", complete)


@planted
def completion_notice_is_delayed() -> Any:
    real = Completions.complete

    def complete(self: Completions, *completion: Any) -> None:
        asyncio.get_running_loop().call_later(2.0, real, self, *completion)

    return patch.object(Completions, "complete", complete)


@planted
def cold_return_gets_everything() -> Any:
    return patch.object(SlowStart, "next_call_at", lambda self, route: self._context.now)


@planted
def pool_may_take_all_slots() -> Any:
    real = Bulkhead.__init__

    def init(self: Bulkhead, slots: int) -> None:
        real(self, slots)
        self.healthy_pool_limit = self.unhealthy_pool_limit = slots

    return patch.object(Bulkhead, "__init__", init)


@planted
def deadline_is_ignored() -> Any:
    real = MessageQueue.on_arrival

    def arrive(self: MessageQueue, event: Any) -> None:
        real(self, replace(event, remaining=event.remaining + 3))

    return patch.object(MessageQueue, "on_arrival", arrive)


@planted
def torn_record_stops_the_start() -> Any:
    real = records.decode_records

    def decode_records(data: bytes, name: str) -> list[bytes]:
        found = real(data, name)
        if sum(len(payload) + 12 for payload in found) != len(data):
            raise ValueError("damaged")
        return found

    return patch.object(store_journal, "decode_records", decode_records)


@planted
def ids_are_never_released() -> Any:
    return patch.object(MessageTable, "remove", lambda self, entry: self.open_messages.pop(entry.ref))


@planted
def move_of_the_directory_is_ignored() -> Any:
    return patch.object(PlatformForwarder, "change_address", lambda self, address: None)


@planted
def unknown_outcome_is_dropped_with_the_attempt() -> Any:
    real = Engine.on_attempt_outcome

    def outcome(self: Engine, reported: Outcome) -> None:
        entry = self.messages.open_messages.get(reported.ref)
        if entry is not None and not reported.is_final:
            entry.unknown_outcomes = [d for d in entry.unknown_outcomes if d.attempt != reported.attempt]
        real(self, reported)

    return patch.object(Engine, "on_attempt_outcome", outcome)


@planted
def wall_clock_is_trusted() -> Any:
    return patch.object(
        JournalClock, "_measure_offset", lambda self: self._machine.wall_clock() - self._loop.time()
    )


@planted
def late_batch_answer_is_ignored() -> Any:
    real = CallTable.on_outcome

    def outcome(self: CallTable, event: Any) -> None:
        if (event.ref, event.attempt) in self.in_flight:
            real(self, event)

    return _apply_both(
        patch.object(CallTable, "on_outcome", outcome),
        patch.object(Call, "report_outcome", _only_first(Call.report_outcome)),
    )


def _only_first(real: Any) -> Any:
    def report_outcome(
        self: Any, item: Any, result: Any, is_final: bool = False, *more: Any, **named: Any
    ) -> None:
        if item not in self.completed_early:
            real(self, item, result, is_final, *more, **named)

    return report_outcome


# Bugs in the directory's client, and in the decision module's handling of endpoints that recover.


def _patch_client(name: str, change: Callable[[Any], Any]) -> Any:
    return patch.object(Client, name, change(getattr(Client, name)))


@planted
def lost_answer_counts_as_received() -> Any:
    """After a lost answer, the revision that follows the known one counts as known."""

    def change(real: Any) -> Any:
        def failed(self: Client, now: float, call: int, failure: Failure, retry_after: float = 0.0) -> bool:
            if failure is Failure.NO_VALID_ANSWER and self.revision is not None:
                self.revision += 1
            return bool(real(self, now, call, failure, retry_after))

        return failed

    return _patch_client("on_failure", change)


@planted
def backoff_ignores_the_deadline() -> Any:
    return patch.object(Backoff, "next_delay_s", lambda self, until_deadline_s, retry_after_s=0.0: 30.0)


@planted
def failed_watch_is_not_restarted() -> Any:
    def change(real: Any) -> Any:
        def failed(self: Client, *arguments: Any) -> bool:
            has_failed = bool(real(self, *arguments))
            self._watch_not_before += 60.0 if has_failed else 0.0
            return has_failed

        return failed

    return _patch_client("on_failure", change)


@planted
def silent_watch_has_no_timeout() -> Any:
    return patch.object(directory_client, "WATCH_TIMEOUT_S", 60.0)


@planted
def last_member_of_a_change_is_dropped() -> Any:
    real = DirectoryListCodec.decode

    def decode(self: DirectoryListCodec, document: Any) -> Any:
        received = real(self, document)
        return received if received.is_complete else replace(received, entries=received.entries[:-1])

    return patch.object(DirectoryListCodec, "decode", decode)


@planted
def watch_gap_is_too_long() -> Any:
    return patch.object(directory_client, "WATCH_GAP_S", 15.0)


@planted
def abandoned_call_blocks_the_next() -> Any:
    def change(real: Any) -> Any:
        def act(self: Client, now: float) -> list[Any]:
            done = real(self, now)
            return (
                [a for a in done if isinstance(a, CancelRequest)]
                if any(isinstance(a, CancelRequest) for a in done)
                else done
            )

        return act

    return _patch_client("take_actions", change)


@planted
def pushed_lists_are_not_requested() -> Any:
    """The forwarder receives a list only when the decision module asks for one."""
    real = DirectoryMembership.start

    def start(self: DirectoryMembership) -> None:
        self._uses_push = False
        real(self)

    return patch.object(DirectoryMembership, "start", start)


@planted
def ramp_never_ends() -> Any:
    real = RouteHealth.reinstate

    def release(self: RouteHealth, route: Any) -> None:
        real(self, route)
        if self._context.now < route.slow_start_until:
            route.slow_start_until = math.inf

    return patch.object(RouteHealth, "reinstate", release)


@planted
def trials_start_half_a_minute_late() -> Any:
    real = SlowStart.next_call_at
    return patch.object(SlowStart, "next_call_at", lambda self, route: real(self, route) + 30.0)


@planted
def only_the_latest_demand_counts() -> Any:
    """The demand share is a hundredth of the real one: endpoints that recover receive almost no calls."""
    real = Route.demand_share
    return patch.object(Route, "demand_share", lambda self, now: 0.01 * real(self, now))


@planted
def slow_answer_counts_as_hang() -> Any:
    """The response time-out is half the baseline latency: healthy routes are ejected again and again."""
    return patch.object(Pool, "response_timeout", lambda self: 0.5 * self.baseline_latency)


# Bugs in takeovers.


def patch_handover_state(change: Callable[[dict[str, Any]], None]) -> Any:
    """Apply `change` to the state that the predecessor hands over."""
    real = PlatformHandover.freeze

    def freeze(self: PlatformHandover, report: Any) -> StateSnapshot:
        state = real(self, report).to_body()
        change(state)
        return StateSnapshot(state["module"], state["waits"], state["known"])

    return patch.object(PlatformHandover, "freeze", freeze)


@planted
def two_processes_own_a_folder() -> Any:
    def acquire(self: VirtualLock) -> bool:
        self._folder.holder = self._process
        return True

    return patch.object(VirtualLock, "acquire", acquire)


@planted
def relayed_call_is_not_counted() -> Any:
    """The successor counts relayed calls neither as in flight nor as unknown outcomes in the journal."""
    real = Forwarder._on_handover_received

    def take_over(self: Forwarder, event: Any) -> None:
        real(self, replace(event, state={**event.state, "calls": []}))

    return patch.object(Forwarder, "_on_handover_received", take_over)


@planted
def retry_after_is_not_handed_over() -> Any:
    def change(state: dict[str, Any]) -> None:
        state["waits"] = []
        for pool in state["module"]["pools"]:
            for route in pool["routes"]:
                route["blocked_until"] = -math.inf

    return patch_handover_state(change)


@planted
def relayed_outcome_is_never_sent() -> Any:
    return patch.object(OutcomeQueue, "put", lambda self, outcome: self._arrived.set())


@planted
def broken_connection_counts_as_not_executed() -> Any:
    def as_reset(self: RelayedAttempts) -> list[Outcome]:
        return [
            Outcome(ref, attempt, target, Result.CONNECT_FAILED, 0.0)
            for (ref, attempt), target in self._targets.items()
        ]

    return patch.object(RelayedAttempts, "as_reset", as_reset)


@planted
def drains_are_not_handed_over() -> Any:
    def change(state: dict[str, Any]) -> None:
        for member in state["known"]["members"]:
            member["phase"] = "SERVING"

    return patch_handover_state(change)


@planted
def relayed_attempt_is_numbered_again() -> Any:
    real = Engine._recover

    def recover(self: Engine, entry: Any, now: float) -> None:
        if (entry.ref, entry.attempts - 1) in self.relayed:
            entry.attempts -= 1
        real(self, entry, now)

    return patch.object(Engine, "_recover", recover)
