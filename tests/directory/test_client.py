"""The discovery client without I/O: which requests it sends, when, and which answers it accepts."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest

from emberlatch.directory import Ask, AssumedDelivery, Backoff, Client, DeliveryTerms, Drop, Failure, Question
from emberlatch.directory.client import (
    EMPTY_ANSWER_GRACE_S,
    LOOKUP_TIMEOUT_S,
    WATCH_GAP_S,
    WATCH_TIMEOUT_S,
    WATCH_WAIT_S,
)


def due_request(client: Client, now: float) -> Ask:
    """The only request that is due now."""
    (ask,) = (action for action in client.act(now) if isinstance(action, Ask))
    return ask


def watching_client(seed: int = 1) -> tuple[Client, Ask]:
    """A client that knows revision 5, and the watch that it has sent at time 0."""
    client = Client(seed)
    client.known(0.0, 5)
    client.watch(True)
    return client, due_request(client, 0.0)


def test_a_watch_starts_from_the_known_revision_and_continues_after_each_answer() -> None:
    client, ask = watching_client()
    assert ask.question == Question(5, WATCH_WAIT_S)
    assert client.answered(3.0, ask.call, 6, complete=False)
    assert client.due == pytest.approx(3.0 + WATCH_GAP_S) and not client.act(3.0)
    next_watch = due_request(client, client.due)
    assert next_watch.question == Question(6, WATCH_WAIT_S) and not next_watch.anew
    client.watch(True)  # a repeated call changes nothing
    assert not client.act(4.0)
    client.watch(False)
    assert client.answered(5.0, next_watch.call, 6, complete=False)
    assert not client.act(9.0) and client.due == math.inf


def test_a_lost_answer_is_requested_again() -> None:
    """The service is at revision 6; the client requests the lost changes soon, on a new connection."""
    client, ask = watching_client()
    assert client.failed(3.0, ask.call, Failure.ENDED)
    assert client.due < 3.3
    next_watch = due_request(client, client.due)
    assert next_watch.question.since == 5 and next_watch.anew


def test_with_every_second_answer_lost_each_retry_is_prompt() -> None:
    client, ask = watching_client()
    now = 1.0
    for revision in range(6, 40):
        client.failed(now, ask.call, Failure.ENDED)
        assert client.due < now + 0.3
        ask = due_request(client, client.due)
        now = client.due - WATCH_TIMEOUT_S + 0.1
        assert client.answered(now, ask.call, revision, complete=False)
        now = client.due
        ask = due_request(client, now)
        now += 0.5


def test_backoff_grows_but_many_retries_fit_before_the_deadline() -> None:
    client, ask = watching_client()
    now, retries, longest = 1.0, 0, 0.0
    while now < WATCH_WAIT_S + DeliveryTerms().after_watch_s:
        client.failed(now, ask.call, Failure.ENDED)
        longest = max(longest, client.due - now)
        now = client.due
        ask = due_request(client, now)
        now += 0.25
        retries += 1
    assert retries > 14 and 1.0 < longest < 2.5
    assert client.overdue(now)
    assert client.answered(now, ask.call, 9, complete=False) and not client.overdue(now)
    next_watch = due_request(client, client.due)
    client.failed(now + 1, next_watch.call, Failure.ENDED)
    assert client.due - (now + 1) < 0.3  # the first success resets the backoff


def test_ten_clients_that_fail_at_the_same_time_retry_at_different_times() -> None:
    backoffs = [Backoff(seed) for seed in range(10)]
    for _ in range(4):
        last = sorted(backoff.next_delay_s(20.0) for backoff in backoffs)
    assert len(set(last)) == 10 and last[-1] - last[0] > 0.2
    assert all(later - sooner < 0.5 for sooner, later in pairwise(last))


def test_a_retry_after_is_respected_unless_it_passes_the_deadline() -> None:
    assert 3.0 <= Backoff(1).next_delay_s(20.0, retry_after_s=3.0) <= 3.9
    assert Backoff(1).next_delay_s(2.5, retry_after_s=30.0) <= 1.5
    # After the deadline the next retry is soon, but not at once.
    assert Backoff(1).next_delay_s(-5.0, retry_after_s=0.0) >= 0.1


def test_a_request_that_was_not_sent_sets_no_deadline() -> None:
    client, ask = watching_client()
    client.failed(1.0, ask.call, Failure.UNSENT)
    assert client.assumed_delivery.deadline == math.inf
    ask = due_request(client, client.due)
    client.failed(9.0, ask.call, Failure.ENDED)
    assert client.assumed_delivery.deadline < math.inf


def test_an_unanswered_watch_is_sent_again_with_a_doubled_time_out() -> None:
    client, ask = watching_client()
    waits = []
    now = 0.0
    superseded: list[Ask] = []
    for _ in range(4):
        waits.append(client.due - now)
        now = client.due
        *drops, next_watch = client.act(now)
        assert drops == [Drop(call.call) for call in superseded]  # the watch before the previous one
        assert isinstance(next_watch, Ask) and next_watch.anew and next_watch.question.since == 5
        superseded, ask = [ask], next_watch
    assert waits == [
        WATCH_TIMEOUT_S,
        2 * WATCH_TIMEOUT_S,
        4 * WATCH_TIMEOUT_S,
        WATCH_WAIT_S + EMPTY_ANSWER_GRACE_S,
    ]
    assert isinstance(drops[0], Drop)
    assert not client.answered(now, drops[0].call, 9, complete=True)  # dropped: a late answer is ignored
    client.answered(now + WATCH_WAIT_S, ask.call, 5, complete=False)  # an empty answer: no changes
    due_request(client, now + WATCH_WAIT_S + WATCH_GAP_S)
    assert client.due - now > 2 * WATCH_WAIT_S
    ask = Ask(client._watch_call or 0, Question(5, WATCH_WAIT_S), False)
    client.answered(now + 2 * WATCH_WAIT_S, ask.call, 6, complete=False)  # a change: more may follow
    due_request(client, client.due)
    assert client.due - now - 2 * WATCH_WAIT_S < WATCH_TIMEOUT_S + 1


def test_an_answer_to_a_superseded_watch_is_accepted_and_its_failure_is_not_reported() -> None:
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    assert client.answered(WATCH_TIMEOUT_S + 0.01, superseded.call, 6, complete=False)
    assert client.revision == 6
    # The next watch may have the same answer.
    assert client.answered(WATCH_TIMEOUT_S + 0.02, next_watch.call, 6, complete=False)
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    # No backoff, as the next watch is in flight.
    assert not client.failed(WATCH_TIMEOUT_S + 0.01, superseded.call, Failure.ENDED)
    assert client.answered(WATCH_TIMEOUT_S + 0.02, next_watch.call, 6, complete=False)
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    assert client.answered(WATCH_TIMEOUT_S + 0.01, next_watch.call, 6, complete=False)
    assert client.act(WATCH_TIMEOUT_S + 0.01) == [Drop(superseded.call)]
    # The answer includes the contents of the superseded watch's answer.
    assert client.assumed_delivery.deadline == math.inf


def test_a_late_answer_older_than_an_accepted_one_is_ignored() -> None:
    client, watch = watching_client()
    client.look_up()
    lookup = due_request(client, 0.1)
    assert lookup.question.since is None and lookup.anew
    assert client.answered(1.0, watch.call, 8, complete=False)
    assert not client.answered(1.5, lookup.call, 7, complete=True)
    assert client.revision == 8


def test_a_service_that_lost_its_state_is_accepted_with_a_complete_list() -> None:
    client, ask = watching_client()
    assert client.answered(1.0, ask.call, 2, complete=True) and client.revision == 2
    ask = due_request(client, client.due)
    # Changes up to an older revision than the known one.
    assert not client.answered(2.0, ask.call, 1, complete=False)
    ask = due_request(client, client.due)
    assert ask.question.since is None


def test_an_undecodable_answer_is_followed_by_a_request_for_the_complete_list() -> None:
    client, ask = watching_client()
    client.failed(1.0, ask.call, Failure.UNREADABLE)
    assert due_request(client, client.due).question.since is None


def test_after_a_move_earlier_requests_are_ignored_and_many_retries_fit_before_the_deadline() -> None:
    client, ask = watching_client()
    client.failed(1.0, ask.call, Failure.ENDED)
    ask = due_request(client, client.due)
    client.move(2.0)
    drop, new = client.act(2.0)
    assert isinstance(drop, Drop) and drop.call == ask.call
    assert isinstance(new, Ask) and new.question.since is None and new.anew
    assert not client.failed(2.1, ask.call, Failure.ENDED)  # at the old address: no backoff at the new one
    assert not client.answered(2.1, ask.call, 99, complete=True)
    assert client.assumed_delivery.deadline == 2.0 + DeliveryTerms().after_move_s
    now, retries = 2.2, 0
    while now < 6.0:
        client.failed(now, new.call, Failure.ENDED)
        now = client.due
        new = due_request(client, now)
        now, retries = now + 0.1, retries + 1
    assert retries >= 10
    assert client.answered(now, new.call, 3, complete=True) and client.revision == 3


def test_a_new_address_that_does_not_answer_gets_several_requests_before_the_deadline() -> None:
    client, _ = watching_client()
    client.move(1.0)
    client.act(1.0)
    asks, now = 1, 1.0
    while (now := client.due) < 1.0 + DeliveryTerms().after_move_s:
        asks += any(isinstance(action, Ask) for action in client.act(now))
    assert asks == 4


def test_an_unanswered_look_up_is_dropped_and_one_in_flight_at_a_move_is_sent_again() -> None:
    client = Client(1)
    client.look_up()
    lookup = due_request(client, 0.0)
    client.look_up()
    assert not client.act(1.0)  # a look-up is in flight already
    assert client.due == LOOKUP_TIMEOUT_S
    assert client.act(LOOKUP_TIMEOUT_S) == [Drop(lookup.call)]
    client.look_up()
    second = due_request(client, 3.0)
    client.move(3.5)
    assert Drop(second.call) in (actions := client.act(3.5)) and any(isinstance(a, Ask) for a in actions)


def test_of_several_lost_answers_the_earliest_deadline_is_kept() -> None:
    assumed = AssumedDelivery(DeliveryTerms())
    assumed.answer_lost(1.0, 20.0)
    assert assumed.deadline == 23.0
    assumed.answer_lost(2.0, None)
    assert assumed.deadline == 8.0
    assumed.answer_accepted()
    assert assumed.deadline == math.inf
