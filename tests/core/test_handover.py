"""Handover of the state between decision modules, with random events under the checks of the harness."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import Result
from tests.core.harness import CATEGORIES, MAY_HAVE_RUN, Attempt, ForwarderHarness, make_settings

CALL_RESULTS = (Result.OK, Result.OK, Result.FULL, Result.ERROR, Result.RESET, Result.CONNECT_FAILED, None)


def hand_over(
    harness: ForwarderHarness,
    corrupt: Callable[[dict[str, Any]], None] = lambda _: None,
    unlisted: bytes = b"",
) -> None:
    """Replace the harness's forwarder by a new one that continues from the serialized state.

    `corrupt` modifies the state first; `unlisted` is a target that is missing from the new endpoint list.
    """
    state = json.loads(json.dumps(harness.forwarder.handover_state()))
    corrupt(state)
    harness.forwarder = Forwarder(harness.settings, harness.random.randrange(1000))
    entries = tuple(
        api.Entry(
            e.target,
            e.destination,
            api.Phase.DRAINING if e.target in harness.draining_since else api.Phase.READY,
        )
        if e.target in harness.draining_since
        else e
        for e in harness.entries.values()
        if e.target != unlisted
    )
    events: list[api.Event] = [api.DirectoryUpdate(api.ListKind.CACHED, 1, entries)]
    for message in harness.accepted.values():
        if message.answered is not None:
            continue
        event, attempts = message.event, message.attempts
        remaining = message.accepted_at + event.remaining - harness.now
        arrival = api.Arrival(
            event.ref, event.category, event.destination, remaining, key=event.key, inherited=True
        )
        unknown_outcomes = tuple(
            api.UnknownOutcome(a.target, harness.entries[a.target].zone, harness.now - a.sent)
            for a in attempts
            if a.result in MAY_HAVE_RUN
        )
        relayed = bool(attempts) and attempts[-1].result is None
        events.append(
            api.MessageRecovered(arrival, len(attempts) - relayed, unknown_outcomes, relayed=relayed)
        )
    harness.timers.clear()
    harness.step([*events, api.HandoverReceived(state)])


def random_harness(seed: int, separate: bool) -> ForwarderHarness:
    draw = random.Random(seed)

    def draw_result(_: ForwarderHarness, attempt: Attempt) -> Result | None:
        return draw.choice(CALL_RESULTS)

    return ForwarderHarness(make_settings(separate=separate), seed, draw_result)


def random_arrivals(harness: ForwarderHarness) -> list[api.Event]:
    draw = harness.random
    return [
        harness.arrive(draw.randrange(len(CATEGORIES)), draw.randrange(3), draw.choice((0, 0, 5, 6)))
        for _ in range(draw.randrange(4))
    ]


@pytest.mark.parametrize("separate", [False, True])
def test_no_rule_is_broken_over_many_handovers(separate: bool) -> None:
    for seed in range(40):
        harness = random_harness(seed, separate)
        for _ in range(60):
            harness.advance(0.1, partial(random_arrivals, harness))
            if harness.random.random() < 0.3:
                hand_over(harness)
        harness.advance(12.0)
        assert all(message.answered is not None for message in harness.accepted.values())
        assert harness.forwarder.free_slots == harness.settings.slots and not harness.forwarder.calls


def test_a_call_in_flight_at_the_handover_keeps_its_slot_and_prevents_a_second_attempt() -> None:
    harness = ForwarderHarness(make_settings(separate=True, slots=1), 1, lambda *_: None)
    harness.step([harness.arrive(0, 0)])
    assert harness.forwarder.free_slots == 0
    hand_over(harness)
    assert harness.forwarder.free_slots == 0 and len(harness.sent) == 1
    harness.step([harness.arrive(0, 1)])
    assert len(harness.sent) == 1  # the only slot is still leased


def test_a_call_to_a_removed_target_releases_its_slot_at_its_outcome() -> None:
    harness = ForwarderHarness(make_settings(separate=True), 1, lambda *_: None)
    harness.step([harness.arrive(0, 0)])
    (attempt,) = harness.attempts_in_flight()
    harness.draining_since[attempt.target] = harness.now
    hand_over(harness, unlisted=attempt.target)
    assert harness.forwarder.free_slots == harness.settings.slots - 1
    outcome = api.Outcome(0, 0, attempt.target, Result.OK, 0.1, is_final=True)
    attempt.result, harness.accepted[0].answered = Result.OK, harness.now
    harness.step([outcome])
    assert harness.forwarder.free_slots == harness.settings.slots and not harness.forwarder.open_messages


def test_a_retry_after_applies_in_the_next_process() -> None:
    harness = ForwarderHarness(make_settings(separate=True), 1, lambda *_: Result.FULL)
    harness.step([harness.arrive(0, 0)])
    (attempt,) = harness.attempts_in_flight()
    attempt.result = Result.FULL
    blocked_until = harness.blocked_until[harness.route(attempt.target)] = harness.now + 1.5
    harness.step([api.Outcome(0, 0, attempt.target, Result.FULL, 0.1, retry_after=1.5)])
    hand_over(harness)
    assert harness.forwarder.endpoints[attempt.target].route.blocked_until >= blocked_until
    harness.advance(1.4)  # the harness fails on any call during the retry-after


def test_a_keyed_message_is_not_sent_again_when_its_dedup_window_ends_after_the_handover() -> None:
    """The window is 2 s; the handover happens 1.95 s after an attempt with an unknown outcome."""
    harness = ForwarderHarness(make_settings(separate=True), 1, lambda *_: None)
    harness.step([harness.arrive(1, 0)])
    (attempt,) = harness.attempts_in_flight()
    harness.now += 0.05
    attempt.result, attempt.done = Result.RESET, harness.now
    harness.step([api.Outcome(0, 0, attempt.target, Result.RESET, 0.05)])
    if harness.accepted[0].attempts[-1].result is None:  # a second attempt was sent and stays in flight
        assert len(harness.accepted[0].attempts) == 2
    harness.now = attempt.sent + 1.95
    hand_over(harness)
    harness.now += 0.2
    harness.step([api.TimerFired(1)])
    assert all(a.sent <= attempt.sent + 2.0 for a in harness.accepted[0].attempts)


def test_learned_values_are_handed_over() -> None:
    harness = random_harness(7, True)
    for _ in range(40):
        harness.advance(0.1, lambda: random_arrivals(harness))
    before = json.loads(json.dumps(harness.forwarder.handover_state()))
    hand_over(harness)
    after = json.loads(json.dumps(harness.forwarder.handover_state()))
    learned = {
        (p["destination"], name): p[name] for p in before["pools"] for name in ("normal", "samples", "peak")
    }
    assert learned == {key: {p["destination"]: p for p in after["pools"]}[key[0]][key[1]] for key in learned}
    rates = [
        [r["pace"], r["limit"], r["held"], r["blocked_until"]] for p in before["pools"] for r in p["routes"]
    ]
    assert rates == [
        [r["pace"], r["limit"], r["held"], r["blocked_until"]] for p in after["pools"] for r in p["routes"]
    ]
    assert any(send_rate < math.inf for send_rate, *_ in rates)


def test_unknown_and_invalid_fields_are_skipped_and_the_forwarder_continues() -> None:
    """The two processes may run different versions."""

    def corrupt(state: dict[str, Any]) -> None:
        for pool in state["pools"]:
            pool |= {"grown": "much", "news": 1, "demand": None}
            del pool["peak"]
            for route in pool["routes"]:
                route |= {"held": 3, "pace": None, "sign": 7}
                del route["limit"], route["bucket"]
        state["pools"].append({"destination": 0, "routes": [7]})

    harness = random_harness(3, True)
    for _ in range(20):
        harness.advance(0.1, lambda: random_arrivals(harness))
    hand_over(harness, corrupt)
    harness.advance(2.0, lambda: random_arrivals(harness))
    assert all(isinstance(pool.adaptive_limit, float | int) for pool in harness.forwarder.pools.values())
