"""A message waits while a lease can be expected in time, and is rejected otherwise."""

from __future__ import annotations

from typing import Any

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Result
from tests.core.test_endpoint_list import RULES, sends

NOTE = api.Category("note", api.Effect.SAFE, latency_target=0.5, deadline=12.0)
ORDER = api.Category("order", api.Effect.UNSAFE, latency_target=0.5, deadline=12.0)


def module(*targets: bytes, **changes: Any) -> Forwarder:
    values: dict[str, Any] = {
        "categories": (NOTE, ORDER),
        "slots": 4,
        "open_cap": 200,
        "rules": RULES,
        "max_attempts": 6,
    }
    values |= {"separate_routes": (True,), "retry_after": True, "max_retry_after": 2.0}
    made = Forwarder(api.Settings(**(values | changes)), seed=1)
    made.queue.submissions.rejected = 10  # clients count as not resubmitting rejected messages
    entries = tuple(Entry(target, 7) for target in targets or (b"t",))
    made.handle(0.0, [DirectoryUpdate(ListKind.CACHED, 1, entries)])
    return made


def run_hanging(
    made: Forwarder, until: float, events: dict[float, list[api.Event]]
) -> list[tuple[float, api.Action]]:
    """Run until the time `until` and return the actions with their times; no call gets a response.

    `events` are the events to deliver, by time.
    """
    done: list[tuple[float, api.Action]] = []
    now = 0.0
    while now < until:
        now = min(until, made.timer.next_at, *(at for at in events if at > now))
        done += [(now, action) for action in made.handle(now, [api.TimerFired(0), *events.get(now, [])])]
    return done


def rejection_times(done: list[tuple[float, api.Action]]) -> dict[int, float]:
    return {action.ref: at for at, action in done if isinstance(action, api.Reject)}


def arrive(ref: int, remaining: float, category: int = 0) -> api.Event:
    return api.Arrival(ref, category, 7, remaining)


def serving(made: Forwarder) -> None:
    """Answer forty calls after 10 ms each, so that the destination's latency is known."""
    for n in range(40):
        at = n / 20
        made.handle(at, [arrive(1000 + n, 12.0)])
        made.handle(at + 0.01, [api.Outcome(1000 + n, 0, b"t", Result.OK, 0.01, is_final=True)])


def test_a_message_is_rejected_in_an_outage_three_times_as_old_as_its_remaining_time() -> None:
    made = module()
    serving(made)
    events = {2.1 + n / 1000: [arrive(n, 1.0)] for n in range(10)}
    events |= {8.0 + n / 1000: [arrive(100 + n, 1.0)] for n in range(10)}
    done = rejection_times(run_hanging(made, 8.1, events))
    first = sorted(done[n] for n in range(10) if n in done)[:-1]  # the last one is kept for a trial
    # The deadline is 3.1 s. The messages are rejected earlier, because no lease is expected before it.
    assert len(first) >= 5 and max(first) < 2.1 + 0.8
    late = [done[n] - (8.0 + (n - 100) / 1000) for n in range(100, 110) if n in done]
    assert len(late) >= 8 and max(late) < 0.05  # rejected at once after 5.9 s without a response


def test_an_undeliverable_message_is_rejected_with_a_retry_after() -> None:
    made = module()
    serving(made)
    events = {2.1: [arrive(n, 1.0) for n in range(8)]}
    (one, *_) = (a for _, a in run_hanging(made, 3.0, events) if isinstance(a, api.Reject))
    assert 0 < one.retry_after <= made.context.settings.max_retry_after


def test_a_message_does_not_wait_for_a_retry_after_beyond_its_deadline() -> None:
    made = module()
    (send,) = sends(made.handle(1.0, [arrive(1, 3.0)]))
    actions = made.handle(
        1.1, [api.Outcome(1, 0, send.target, Result.FULL, 0.1, retry_after=9.0), arrive(2, 3.0)]
    )
    assert [a.ref for a in actions if isinstance(a, api.Reject)]
    made = module()
    made.handle(1.0, [arrive(1, 12.0)])
    actions = made.handle(1.1, [api.Outcome(1, 0, b"t", Result.FULL, 0.1, retry_after=2.0), arrive(2, 12.0)])
    # The retry-after ends long before the deadline.
    assert not [a for a in actions if isinstance(a, api.Reject)]


def test_a_message_waits_if_a_lease_is_expected_in_time() -> None:
    made = module()
    serving(made)
    events = {2.1: [arrive(n, 12.0) for n in range(8)]}
    assert not rejection_times(run_hanging(made, 4.0, events))  # 2 s without a response, 10 s remain


def test_one_message_is_kept_for_a_trial_of_a_route_in_an_outage() -> None:
    made = module()
    serving(made)
    events: dict[float, list[api.Event]] = {2.1: [arrive(n, 12.0) for n in range(4)]}
    events |= {20.0 + n / 10: [arrive(100 + n, 1.0)] for n in range(30)}
    for n in range(4):
        events[14.0 + n / 1000] = [api.Outcome(n, 0, b"t", Result.TIMEOUT, 12.0)]
    trials = [
        at for at, action in run_hanging(made, 23.0, events) if isinstance(action, api.Send) and at >= 20.0
    ]
    assert trials


def test_messages_wait_while_any_route_serves() -> None:
    made = module(b"t", b"u")
    serving(made)
    made.endpoints[b"t"].route.unanswered_since = -100.0
    made.endpoints[b"u"].route.unanswered_since = float("inf")
    made.bulkhead.free_slots = 0
    assert not rejection_times([(3.0, action) for action in made.handle(3.0, [arrive(1, 1.0)])])


def test_an_unsafe_message_with_an_unknown_outcome_is_failed_instead_of_rejected() -> None:
    made = module()
    serving(made)
    sent = sends(made.handle(2.1, [arrive(1, 12.0, category=1)]))
    assert sent
    made.endpoints[b"t"].route.unanswered_since = -100.0
    actions = made.handle(3.0, [api.Outcome(1, 0, b"t", Result.RESET, 0.9)])
    assert not rejection_times([(3.0, action) for action in actions])
    # An unsafe message may not be sent again.
    assert [action for action in actions if isinstance(action, api.Fail)]


def test_messages_are_answered_a_margin_before_the_deadline_and_short_ones_are_still_sent() -> None:
    """A process that has just started reacts late, so an answer planned for the deadline would miss it."""
    made = module(end_margin=0.25)
    serving(made)
    rejection = api.Outcome(1, 0, b"t", Result.FULL, 0.01, retry_after=3.0)
    ends = rejection_times(run_hanging(made, 5.0, {2.2: [arrive(1, 2.0)], 2.21: [rejection]}))
    assert 3.9 < ends[1] <= 4.2 - 0.25
    made = module(end_margin=0.25)
    first = made.handle(0.1, [arrive(2, 0.6), arrive(3, 0.1)])
    assert any(isinstance(action, api.Send) for action in first)
    assert made.open_messages[2].answer_due_at == pytest.approx(0.55) and made.open_messages[
        3
    ].answer_due_at == pytest.approx(0.175)
