"""A call is cancelled if later calls were answered before it and its lease is needed.

The connection of such an overtaken call does not respond.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import Result
from tests.core.harness import make_settings

SAFE, KEYED_ALL, KEYED_ZONE, UNSAFE = range(4)


class Scenario:
    """A forwarder with one endpoint, which answers all calls after 50 ms except one that it never answers."""

    def __init__(self, category: int, cancel: bool = True) -> None:
        self.forwarder = Forwarder(replace(make_settings(separate=True), cancel=cancel), 1)
        self.now, self.ref, self.category = 100.0, 0, category
        self.in_flight: list[tuple[float, api.Send]] = []
        self.unanswered: int | None = None
        self.cancelled: list[tuple[int, int]] = []
        listed = api.DirectoryUpdate(api.ListKind.CACHED, 1, (api.Entry(b"e", 0),))
        self.apply(self.forwarder.handle(self.now, [listed]))

    def apply(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.in_flight.append((self.now, action))
            elif isinstance(action, api.Cancel):
                self.cancelled.append((action.ref, action.attempt))

    def run(self, seconds: float, arrivals: int) -> None:
        """Advance the clock, with `arrivals` new messages every 50 ms."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            answered = [(at, s) for at, s in self.in_flight if s.ref != self.unanswered and at < self.now]
            self.in_flight = [call for call in self.in_flight if call not in answered]
            events: list[api.Event] = [
                api.Outcome(s.ref, 0, b"e", Result.OK, self.now - at, is_final=True) for at, s in answered
            ]
            for _ in range(arrivals):
                self.ref += 1
                events.append(api.Arrival(self.ref, SAFE, 0, 4.0))
            self.apply(self.forwarder.handle(self.now, events))

    def stop_responding(self) -> None:
        """Submit a message of the category under test, whose call gets no response."""
        self.ref += 1
        self.unanswered = self.ref
        while not any(s.ref == self.unanswered for _, s in self.in_flight):
            self.apply(self.forwarder.handle(self.now, [api.Arrival(self.ref, self.category, 0, 4.0)]))
            self.run(0.0, 0)


def run_scenario(category: int, arrivals: int, seconds: float, cancel: bool = True) -> Scenario:
    scenario = Scenario(category, cancel)
    scenario.run(2.0, 2)
    scenario.run(0.5, 0)
    scenario.stop_responding()
    scenario.run(seconds, arrivals)
    return scenario


@pytest.mark.parametrize(
    ("category", "cancel", "is_cancelled"),
    [(SAFE, True, True), (KEYED_ZONE, True, True), (UNSAFE, True, False), (SAFE, False, False)],
)
def test_an_overtaken_call_is_cancelled_only_if_its_category_allows_a_retry(
    category: int, cancel: bool, is_cancelled: bool
) -> None:
    scenario = run_scenario(category, 20, 1.2, cancel)
    assert bool(scenario.cancelled) == is_cancelled
    if is_cancelled:
        assert set(scenario.cancelled) == {(scenario.unanswered, 0)}
        assert scenario.unanswered in scenario.forwarder.open_messages  # the message stays open


def test_an_overtaken_call_is_not_cancelled_while_no_message_waits() -> None:
    assert not run_scenario(SAFE, 1, 1.2).cancelled


def test_an_overtaken_call_is_not_cancelled_soon_after_it_was_sent() -> None:
    assert not run_scenario(SAFE, 20, 0.6).cancelled


def test_answers_of_another_endpoint_do_not_overtake_a_call() -> None:
    """Each endpoint answers its own calls in order, even if endpoints share a route."""
    forwarder = Forwarder(replace(make_settings(separate=False), cancel=True), 1)
    entries = (api.Entry(b"e", 0), api.Entry(b"f", 0))
    forwarder.handle(100.0, [api.DirectoryUpdate(api.ListKind.CACHED, 1, entries)])
    now, unanswered, actions = 100.0, b"", list[api.Action]()
    for ref in range(200):
        actions = forwarder.handle(now, [api.Arrival(ref, SAFE, 0, 4.0)])
        now += 0.05
        for sent in [a for a in actions if isinstance(a, api.Send)]:
            unanswered = unanswered or sent.target
            if sent.target != unanswered:
                outcome = api.Outcome(sent.ref, 0, sent.target, Result.OK, 0.05, is_final=True)
                next_actions = forwarder.handle(now, [outcome])
                assert not any(isinstance(a, api.Cancel) for a in next_actions)
