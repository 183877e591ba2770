"""Rules on calls in flight, on Retry-After, and on the load on endpoints that recover from an outage."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from emberlatch.faults.checks.breaches import BreachLog, Rule
from emberlatch.faults.checks.forwarder_states import ForwarderStates, Span
from emberlatch.faults.checks.message_states import CallKey
from emberlatch.faults.checks.parameters import RuleParameters
from emberlatch.faults.plan import partner_of

HANG_TIMEOUT_S = 2.5  # a call without an answer for this long shows the forwarder that the endpoint hangs
HANG_DETECTION_S = 6.0  # time that a forwarder has after its start to detect hanging endpoints
WAIT_START_GRACE_S = 0.1  # time after an answer with Retry-After in which calls may still arrive


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call that reached an endpoint at the time `at` (seconds), with its sender and its messages."""

    forwarder: str
    at: float
    message_ids: tuple[str, ...]


class LeaseChecks:
    """Rule `leases`: limits the calls in flight of each forwarder, in total and to each partner."""

    def __init__(self, parameters: RuleParameters, forwarders: ForwarderStates, log: BreachLog) -> None:
        self._parameters, self._forwarders, self._log = parameters, forwarders, log
        self._sent: dict[CallKey, SentCall] = {}
        self._in_flight: dict[str, dict[CallKey, str]] = {}  # the partner of each call, by forwarder
        self._hanging_endpoints: Collection[str] = ()

    def on_call(self, call: CallKey, sent: SentCall) -> None:
        """Record a call that reached its endpoint, and check it if the endpoint hangs."""
        self._sent[call] = sent
        self._in_flight.setdefault(sent.forwarder, {})[call] = partner_of(call.endpoint)
        if (
            call.endpoint in self._hanging_endpoints
            and sent.at >= self._forwarders.ready_since(sent.forwarder) + HANG_DETECTION_S
        ):
            self._check_isolation(call.endpoint, sent)

    def _check_isolation(self, endpoint: str, sent: SentCall) -> None:
        """Check a call to a hanging endpoint; such calls to one partner may use at most half of the slots."""
        slots, partner = self._parameters.slots, partner_of(endpoint)
        hanging_calls = [
            call
            for call, partner_called in self._in_flight[sent.forwarder].items()
            if call.endpoint in self._hanging_endpoints and partner_called == partner
        ]
        unanswered = sum(sent.at - self._sent[call].at > HANG_TIMEOUT_S for call in hanging_calls)
        # A single call without an answer proves no hang: it may just be slow.
        if len(hanging_calls) > max(1, slots // 2) and unanswered > 1:
            self._log.add(
                Rule.LEASES,
                sent.at,
                f"{sent.forwarder} calls {endpoint}, which hangs, and has {len(hanging_calls)} such calls"
                f" in flight; the limit is {max(1, slots // 2)}",
            )

    def on_call_completed(self, call: CallKey) -> SentCall | None:
        """Remove a call that ended; returns it, or None if it never reached its endpoint."""
        sent = self._sent.get(call)
        if sent is not None:
            self._in_flight.get(sent.forwarder, {}).pop(call, None)
        return sent

    def on_forwarder_down(self, forwarder: str) -> None:
        """Remove the calls of a process that died."""
        self._in_flight.pop(forwarder, None)

    def on_isolated(self, endpoint: str) -> None:
        """Remove the calls to an unreachable endpoint, which can't see when a forwarder abandons them."""
        for calls in self._in_flight.values():
            for call in [call for call in calls if call.endpoint == endpoint]:
                del calls[call]

    def check(self, at: float, hanging_endpoints: Collection[str]) -> None:
        """Check all calls in flight; `hanging_endpoints` have answered nothing for a long time."""
        self._hanging_endpoints = hanging_endpoints
        for forwarder, calls in self._in_flight.items():
            self._check_forwarder(at, forwarder, calls)

    def _check_forwarder(self, at: float, forwarder: str, calls: dict[CallKey, str]) -> None:
        slots, partners = self._parameters.slots, list(calls.values())
        if len(calls) > slots:
            self._log.add(Rule.LEASES, at, f"{forwarder} has {len(calls)} calls in flight on {slots} slots")
        for partner in dict.fromkeys(partners):
            if (count := partners.count(partner)) >= slots * 3 / 4:
                self._log.add(
                    Rule.LEASES, at, f"{forwarder} has {count} calls in flight to {partner} on {slots} slots"
                )


class RetryAfterChecks:
    """Rule `waits`: a forwarder makes no call to an endpoint until the endpoint's Retry-After has passed."""

    def __init__(self, parameters: RuleParameters, log: BreachLog) -> None:
        self._parameters, self._log = parameters, log
        self._waits: dict[tuple[str, str], Span] = {}  # the current wait, by forwarder and endpoint

    def on_retry_after(self, at: float, forwarder: str, endpoint: str, retry_after_s: float) -> None:
        """Record an answer with a Retry-After, in seconds, to a forwarder."""
        _, until = self._waits.get((forwarder, endpoint), (0.0, -math.inf))
        self._waits[forwarder, endpoint] = at, max(until, at + retry_after_s)

    def on_call(self, at: float, forwarder: str, endpoint: str) -> None:
        """Check a call that reached its endpoint."""
        since, until = self._waits.get((forwarder, endpoint), (math.inf, -math.inf))
        if since + WAIT_START_GRACE_S + self._parameters.max_latency_s < at < until:
            self._log.add(
                Rule.RETRY_AFTER,
                at,
                f"{forwarder} calls {endpoint} {until - at:.3f} s before its Retry-After ends",
            )

    def on_forwarder_down(self, forwarder: str) -> None:
        """Forget the waits of a dead process, because the next process has not received them."""
        for key in [key for key in self._waits if key[0] == forwarder]:
            del self._waits[key]


class OverloadChecks:
    """Rule `returns`: forwarders that saw an endpoint's outage do not overload it when it recovers."""

    def __init__(self, log: BreachLog) -> None:
        self._log = log
        self._witnesses: dict[str, set[str]] = {}  # by endpoint, the forwarders that saw it fail

    def on_outage(self, endpoint: str) -> None:
        """Record that an endpoint's outage begins."""
        self._witnesses.setdefault(endpoint, set())

    def on_failure(self, endpoint: str, forwarder: str) -> None:
        """Record a failed call of a forwarder to an endpoint."""
        if endpoint in self._witnesses:
            self._witnesses[endpoint].add(forwarder)

    def on_forwarder_down(self, forwarder: str) -> None:
        """Forget which failures a dead process has seen, because its successor has not seen them."""
        for witnesses in self._witnesses.values():
            witnesses.discard(forwarder)

    def on_overload(self, at: float, endpoint: str, callers: Sequence[str]) -> None:
        """Check an overload of an endpoint; `callers` has the forwarder of each recent call."""
        informed = sum(forwarder in self._witnesses.get(endpoint, ()) for forwarder in callers)
        if callers and informed >= len(callers) * 2 / 3:
            self._log.add(
                Rule.RECOVERY_LOAD,
                at,
                f"{endpoint} was overloaded: {informed} of {len(callers)} calls by witnesses of its outage",
            )
