"""Test harness: feeds a forwarder random valid events and checks its actions against the rules.

The checks use only the rules and the settings, not the internal state by which the forwarder decides.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import Effect, Result, Scope

MAY_HAVE_RUN = {Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED, Result.OK}
STILL_RUNNING = {Result.TIMEOUT, Result.RESET, Result.CANCELLED}

CATEGORIES = (
    api.Category("safe", Effect.SAFE, 1.0, 4.0, 3.0, 0.1),
    api.Category("keyed-all", Effect.KEYED, 1.0, 6.0, 1.0, 0.4, Scope.ALL, 2.0, ordered=True),
    api.Category("keyed-zone", Effect.KEYED, 1.5, 6.0, 1.0, 0.4, Scope.ZONE, 3.0),
    api.Category("unsafe", Effect.UNSAFE, 2.0, 5.0, 4.0, 0.4, ordered=True),
)


def make_settings(
    separate: bool = False, probes: bool = False, slots: int = 6, quiet_period: float = 0.1
) -> api.Settings:
    """Return settings in which every rule takes effect."""
    return api.Settings(
        CATEGORIES,
        slots,
        30,
        api.Rules(0.25, 2.0, 1.5, 6.0, 0.2, 0.02, math.inf, quiet_period),
        max_attempts=6,
        forwarders=2,
        decision_interval=0.005,
        separate_routes=(separate,),
        batch_limits=(4 if separate else 1,),
        probes=probes,
        cancel=True,
        retry_after=True,
        max_retry_after=2.0,
        report_fields=("x0", "x1"),
    )


@dataclass
class Attempt:
    """One attempt as seen by the harness. `ends`: planned end; `done`: actual end."""

    ref: int
    number: int
    target: bytes
    sent: float
    ends: float
    result: Result | None = None
    done: float = math.inf


@dataclass
class AcceptedMessage:
    """A submitted message; `answered` is the time of its final answer, or None."""

    event: api.Arrival
    accepted_at: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: float | None = None


class ForwarderHarness:
    """Feeds events to a forwarder and raises AssertionError if it breaks a rule.

    `draw_result` chooses the result of each call. If it returns None, the call gets no response.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        draw_result: Callable[[ForwarderHarness, Attempt], Result | None],
    ) -> None:
        self.settings, self.draw_result, self.random = settings, draw_result, random.Random(seed)
        self.forwarder = Forwarder(settings, seed)
        self.now, self.accepted, self.timers = 100.0, dict[int, AcceptedMessage](), list[tuple[float, int]]()
        self.entries = {
            bytes([d, e]): api.Entry(bytes([d, e]), d, zone=e % 2) for d in range(3) for e in range(2)
        }
        self.draining_since: dict[bytes, float] = {}
        self.blocked_until: dict[object, float] = {}
        self.log: list[api.Action] = []
        self.sent: list[tuple[float, bytes]] = []
        self.call_results: dict[tuple[float, bytes], Result | None] = {}
        self.step([api.DirectoryUpdate(api.ListKind.CACHED, 1, tuple(self.entries.values()))])

    def route(self, target: bytes) -> object:
        separate = any(self.settings.separate_routes)
        return target if separate else self.entries[target].destination

    def attempts_in_flight(self) -> list[Attempt]:
        return [a for message in self.accepted.values() for a in message.attempts if a.result is None]

    def arrive(self, category: int, destination: int, key: int = 0) -> api.Arrival:
        event = api.Arrival(len(self.accepted), category, destination, CATEGORIES[category].deadline, key=key)
        self.accepted[event.ref] = AcceptedMessage(event, self.now)
        return event

    def advance(self, seconds: float, arrivals: Callable[[], list[api.Event]] = list) -> None:
        """Advance the clock by `seconds`, delivering outcomes and timers when they are due.

        `arrivals` returns the events to deliver at the end of that time.
        """
        until = self.now + seconds
        while self.now < until:
            due = [at for at, _ in self.timers] + [attempt.ends for attempt in self.attempts_in_flight()]
            self.now = min([until, *(max(at, self.now + self.settings.decision_interval) for at in due)])
            fired = [api.TimerFired(token) for at, token in self.timers if at <= self.now]
            self.timers = [item for item in self.timers if item[0] > self.now]
            events: list[api.Event] = [*fired, *self.outcomes()]
            if self.now >= until:
                events += arrivals()
            if events:
                self.step(events)

    def outcomes(self) -> list[api.Event]:
        events: list[api.Event] = []
        for attempt in self.attempts_in_flight():
            message = self.accepted[attempt.ref]
            if attempt.ends > self.now:
                continue
            result = self.call_results.get((attempt.sent, attempt.target)) or Result.TIMEOUT
            retry_after = 0.3 if result is Result.FULL and attempt.ref % 2 else 0.0
            attempt.result, attempt.done = result, self.now
            closed = message.answered is not None or result is Result.OK
            if result is Result.OK and message.answered is None:
                message.answered = self.now
            if retry_after:
                self.blocked_until[self.route(attempt.target)] = self.now + retry_after
            events.append(
                api.Outcome(
                    attempt.ref,
                    attempt.number,
                    attempt.target,
                    result,
                    self.now - attempt.sent,
                    closed,
                    retry_after,
                )
            )
        return events

    def step(self, events: list[api.Event]) -> None:
        for event in events:
            if isinstance(event, api.DirectoryUpdate):
                for entry in event.entries:
                    if entry.phase is not api.Phase.READY:
                        self.draining_since.setdefault(entry.target, self.now)
        for action in self.forwarder.handle(self.now, events):
            self.log.append(action)
            self.check(action)
        for message in self.accepted.values():
            limit = message.accepted_at + message.event.remaining + self.settings.rules.answer_slack
            assert message.answered is not None or self.now <= limit, (
                f"message {message.event.ref} has no answer at {self.now}, expected by {limit}"
            )
        calls = {(attempt.sent, attempt.target) for attempt in self.attempts_in_flight()}
        assert len(calls) <= self.settings.slots, (
            f"{len(calls)} calls in flight, expected at most {self.settings.slots}"
        )
        for destination in range(3):
            here = sum(self.entries[target].destination == destination for _, target in calls)
            assert here < max(self.settings.slots * 0.75, 1.5), (
                f"destination {destination} has {here} calls in flight, at least three quarters of the slots"
            )

    def check(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(at, token):
                self.timers.append((at, token))
            case api.Send(ref, target, timeout):
                self.check_send(self.accepted[ref], target, timeout)
            case api.Reject(ref) | api.Fail(ref):
                message = self.accepted[ref]
                assert message.answered is None, f"message {ref} was answered twice"
                message.answered = self.now
                if isinstance(action, api.Reject):
                    self.check_rejection(message)
            case api.Cancel(ref, number):
                attempt = self.accepted[ref].attempts[number]
                if attempt.result is None:
                    attempt.ends = self.now
                    self.call_results[attempt.sent, attempt.target] = Result.CANCELLED
            case api.Probe(target):
                assert self.now >= self.blocked_until.get(self.route(target), 0.0), (
                    f"health check of {target!r} during its retry-after"
                )
                self.sent.append((self.now, target))

    def unknown_outcomes(self, message: AcceptedMessage) -> list[Attempt]:
        return [a for a in message.attempts if a.result is None or a.result in MAY_HAVE_RUN]

    def check_rejection(self, message: AcceptedMessage) -> None:
        category = CATEGORIES[message.event.category]
        if category.effect is not Effect.SAFE and self.unknown_outcomes(message):
            assert category.effect is Effect.KEYED and category.scope is Scope.ALL, (
                f"message {message.event.ref} was rejected although it may have been executed"
            )

    def check_send(self, message: AcceptedMessage, target: bytes, timeout: float) -> None:
        event, category = message.event, CATEGORIES[message.event.category]
        end = message.accepted_at + event.remaining
        assert message.answered is None, f"message {event.ref} was sent after its answer"
        assert self.entries[target].destination == event.destination
        assert not any(a.result is None for a in message.attempts), (
            f"message {event.ref}: two attempts in flight"
        )
        assert len(message.attempts) < self.settings.max_attempts
        if target in self.draining_since:
            assert self.now <= self.draining_since[target] + self.settings.rules.drain_grace, (
                f"message {event.ref} was sent to the draining target {target!r}"
            )
        assert self.now >= self.blocked_until.get(self.route(target), 0.0), (
            f"message {event.ref} was sent to {target!r} during its retry-after"
        )
        for attempt in self.unknown_outcomes(message):
            assert category.effect is not Effect.UNSAFE, f"unsafe message {event.ref} may be executed twice"
            if category.effect is Effect.KEYED:
                assert self.now <= attempt.sent + category.dedup_window, (
                    f"message {event.ref} was sent after its dedup window"
                )
                if category.scope is Scope.ZONE:
                    zones = {self.entries[attempt.target].zone, self.entries[target].zone}
                    assert len(zones) == 1, (
                        f"message {event.ref} was sent to a zone that does not know its key"
                    )
        if category.ordered and event.key:
            self.check_order(message)
        attempt = Attempt(event.ref, len(message.attempts), target, self.now, 0.0)
        if (self.now, target) not in self.call_results:
            self.call_results[self.now, target] = self.draw_result(self, attempt)
            self.sent.append((self.now, target))
        limit = min(end, self.now + (timeout or math.inf))
        duration = self.random.choice((0.02, 0.05, 0.1)) if self.call_results[self.now, target] else math.inf
        attempt.ends = min(limit, self.now + duration)
        message.attempts.append(attempt)

    def check_order(self, message: AcceptedMessage) -> None:
        for other in self.accepted.values():
            has_same_key = other.event.key == message.event.key and CATEGORIES[other.event.category].ordered
            if not has_same_key or other is message:
                continue
            if other.event.ref < message.event.ref:
                assert other.answered is not None, (
                    f"message {message.event.ref} was sent before {other.event.ref} of its key was answered"
                )
                assert all(a.result is not None for a in other.attempts), (
                    f"message {message.event.ref} was sent during an attempt of {other.event.ref}"
                )
            for attempt in other.attempts:
                if attempt.result in STILL_RUNNING:
                    assert self.now >= attempt.done + self.settings.rules.order_quiet_period, (
                        f"message {message.event.ref} was sent in the quiet period of its key"
                    )
