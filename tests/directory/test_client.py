"""The discovery client without I/O: which requests it sends, when, and which answers it accepts."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest

from emberlatch.directory import (
    AssumedDelivery,
    Backoff,
    CancelRequest,
    Client,
    DeliveryTerms,
    Failure,
    RequestContent,
    SendRequest,
)
from emberlatch.directory.client import (
    EMPTY_ANSWER_GRACE_S,
    LOOKUP_TIMEOUT_S,
    WATCH_GAP_S,
    WATCH_TIMEOUT_S,
    WATCH_WAIT_S,
)


def due_request(client: Client, now: float) -> SendRequest:
    """Return the only request that is due now."""
    (ask,) = (action for action in client.take_actions(now) if isinstance(action, SendRequest))
    return ask


def watching_client(seed: int = 1) -> tuple[Client, SendRequest]:
    """Return a client that knows revision 5, and the watch that it sent at time 0."""
    client = Client(seed)
    client.start_from(0.0, 5)
    client.watch(True)
    return client, due_request(client, 0.0)


def test_a_watch_starts_from_the_known_revision_and_continues_after_each_answer() -> None:
    client, ask = watching_client()
    assert ask.content == RequestContent(5, WATCH_WAIT_S)
    assert client.on_answer(3.0, ask.call, 6, complete=False)
    assert client.due == pytest.approx(3.0 + WATCH_GAP_S) and not client.take_actions(3.0)
    next_watch = due_request(client, client.due)
    assert next_watch.content == RequestContent(6, WATCH_WAIT_S) and not next_watch.on_new_connection
    client.watch(True)  # a repeated call changes nothing
    assert not client.take_actions(4.0)
    client.watch(False)
    assert client.on_answer(5.0, next_watch.call, 6, complete=False)
    assert not client.take_actions(9.0) and client.due == math.inf


def test_a_lost_answer_is_requested_again() -> None:
    """The service is at revision 6; the client requests the lost changes soon, on a new connection."""
    client, ask = watching_client()
    assert client.on_failure(3.0, ask.call, Failure.NO_VALID_ANSWER)
    assert client.due < 3.3
    next_watch = due_request(client, client.due)
    assert next_watch.content.since == 5 and next_watch.on_new_connection


def test_with_every_second_answer_lost_each_retry_is_prompt() -> None:
    client, ask = watching_client()
    now = 1.0
    for revision in range(6, 40):
        client.on_failure(now, ask.call, Failure.NO_VALID_ANSWER)
        assert client.due < now + 0.3
        ask = due_request(client, client.due)
        now = client.due - WATCH_TIMEOUT_S + 0.1
        assert client.on_answer(now, ask.call, revision, complete=False)
        now = client.due
        ask = due_request(client, now)
        now += 0.5


def test_backoff_grows_but_many_retries_fit_before_the_deadline() -> None:
    client, ask = watching_client()
    now, retries, longest = 1.0, 0, 0.0
    while now < WATCH_WAIT_S + DeliveryTerms().after_watch_s:
        client.on_failure(now, ask.call, Failure.NO_VALID_ANSWER)
        longest = max(longest, client.due - now)
        now = client.due
        ask = due_request(client, now)
        now += 0.25
        retries += 1
    assert retries > 14 and 1.0 < longest < 2.5
    assert client.overdue(now)
    assert client.on_answer(now, ask.call, 9, complete=False) and not client.overdue(now)
    next_watch = due_request(client, client.due)
    client.on_failure(now + 1, next_watch.call, Failure.NO_VALID_ANSWER)
    assert client.due - (now + 1) < 0.3  # the first successful request resets the backoff


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
    client.on_failure(1.0, ask.call, Failure.UNSENT)
    assert client.assumed_delivery.deadline == math.inf
    ask = due_request(client, client.due)
    client.on_failure(9.0, ask.call, Failure.NO_VALID_ANSWER)
    assert client.assumed_delivery.deadline < math.inf


def test_an_unanswered_watch_is_sent_again_with_a_doubled_time_out() -> None:
    client, ask = watching_client()
    waits = []
    now = 0.0
    superseded: list[SendRequest] = []
    for _ in range(4):
        waits.append(client.due - now)
        now = client.due
        *drops, next_watch = client.take_actions(now)
        # The watch before the previous one is cancelled.
        assert drops == [CancelRequest(call.call) for call in superseded]
        assert (
            isinstance(next_watch, SendRequest)
            and next_watch.on_new_connection
            and next_watch.content.since == 5
        )
        superseded, ask = [ask], next_watch
    assert waits == [
        WATCH_TIMEOUT_S,
        2 * WATCH_TIMEOUT_S,
        4 * WATCH_TIMEOUT_S,
        WATCH_WAIT_S + EMPTY_ANSWER_GRACE_S,
    ]
    assert isinstance(drops[0], CancelRequest)
    assert not client.on_answer(now, drops[0].call, 9, complete=True)  # late answers are ignored
    client.on_answer(now + WATCH_WAIT_S, ask.call, 5, complete=False)  # an empty answer means no changes
    due_request(client, now + WATCH_WAIT_S + WATCH_GAP_S)
    assert client.due - now > 2 * WATCH_WAIT_S
    ask = SendRequest(client._watch_call or 0, RequestContent(5, WATCH_WAIT_S), False)
    client.on_answer(now + 2 * WATCH_WAIT_S, ask.call, 6, complete=False)  # a change: more changes may follow
    due_request(client, client.due)
    assert client.due - now - 2 * WATCH_WAIT_S < WATCH_TIMEOUT_S + 1


def test_an_answer_to_a_superseded_watch_is_accepted_and_its_failure_is_not_reported() -> None:
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    assert client.on_answer(WATCH_TIMEOUT_S + 0.01, superseded.call, 6, complete=False)
    assert client.revision == 6
    # The next watch may have the same answer.
    assert client.on_answer(WATCH_TIMEOUT_S + 0.02, next_watch.call, 6, complete=False)
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    # No backoff, as the next watch is in flight.
    assert not client.on_failure(WATCH_TIMEOUT_S + 0.01, superseded.call, Failure.NO_VALID_ANSWER)
    assert client.on_answer(WATCH_TIMEOUT_S + 0.02, next_watch.call, 6, complete=False)
    client, superseded = watching_client()
    next_watch = due_request(client, WATCH_TIMEOUT_S)
    assert client.on_answer(WATCH_TIMEOUT_S + 0.01, next_watch.call, 6, complete=False)
    assert client.take_actions(WATCH_TIMEOUT_S + 0.01) == [CancelRequest(superseded.call)]
    # The answer includes the contents of the superseded watch's answer.
    assert client.assumed_delivery.deadline == math.inf


def test_a_late_answer_older_than_an_accepted_one_is_ignored() -> None:
    client, watch = watching_client()
    client.look_up()
    lookup = due_request(client, 0.1)
    assert lookup.content.since is None and lookup.on_new_connection
    assert client.on_answer(1.0, watch.call, 8, complete=False)
    assert not client.on_answer(1.5, lookup.call, 7, complete=True)
    assert client.revision == 8


def test_a_service_that_lost_its_state_is_accepted_with_a_complete_list() -> None:
    client, ask = watching_client()
    assert client.on_answer(1.0, ask.call, 2, complete=True) and client.revision == 2
    ask = due_request(client, client.due)
    # This answer has changes up to an older revision than the known one.
    assert not client.on_answer(2.0, ask.call, 1, complete=False)
    ask = due_request(client, client.due)
    assert ask.content.since is None


def test_an_undecodable_answer_is_followed_by_a_request_for_the_complete_list() -> None:
    client, ask = watching_client()
    client.on_failure(1.0, ask.call, Failure.UNREADABLE)
    assert due_request(client, client.due).content.since is None


def test_after_a_move_earlier_requests_are_ignored_and_many_retries_fit_before_the_deadline() -> None:
    client, ask = watching_client()
    client.on_failure(1.0, ask.call, Failure.NO_VALID_ANSWER)
    ask = due_request(client, client.due)
    client.change_address(2.0)
    drop, new = client.take_actions(2.0)
    assert isinstance(drop, CancelRequest) and drop.call == ask.call
    assert isinstance(new, SendRequest) and new.content.since is None and new.on_new_connection
    assert not client.on_failure(
        2.1, ask.call, Failure.NO_VALID_ANSWER
    )  # this failure was at the old address, so the new address has no backoff
    assert not client.on_answer(2.1, ask.call, 99, complete=True)
    assert client.assumed_delivery.deadline == 2.0 + DeliveryTerms().after_move_s
    now, retries = 2.2, 0
    while now < 6.0:
        client.on_failure(now, new.call, Failure.NO_VALID_ANSWER)
        now = client.due
        new = due_request(client, now)
        now, retries = now + 0.1, retries + 1
    assert retries >= 10
    assert client.on_answer(now, new.call, 3, complete=True) and client.revision == 3


def test_a_new_address_that_does_not_answer_gets_several_requests_before_the_deadline() -> None:
    client, _ = watching_client()
    client.change_address(1.0)
    client.take_actions(1.0)
    asks, now = 1, 1.0
    while (now := client.due) < 1.0 + DeliveryTerms().after_move_s:
        asks += any(isinstance(action, SendRequest) for action in client.take_actions(now))
    assert asks == 4


def test_an_unanswered_look_up_is_dropped_and_one_in_flight_at_a_move_is_sent_again() -> None:
    client = Client(1)
    client.look_up()
    lookup = due_request(client, 0.0)
    client.look_up()
    assert not client.take_actions(1.0)  # a look-up is in flight already
    assert client.due == LOOKUP_TIMEOUT_S
    assert client.take_actions(LOOKUP_TIMEOUT_S) == [CancelRequest(lookup.call)]
    client.look_up()
    second = due_request(client, 3.0)
    client.change_address(3.5)
    assert CancelRequest(second.call) in (actions := client.take_actions(3.5)) and any(
        isinstance(a, SendRequest) for a in actions
    )


def test_of_several_lost_answers_the_earliest_deadline_is_kept() -> None:
    assumed = AssumedDelivery(DeliveryTerms())
    assumed.answer_lost(1.0, 20.0)
    assert assumed.deadline == 23.0
    assumed.answer_lost(2.0, None)
    assert assumed.deadline == 8.0
    assumed.answer_accepted()
    assert assumed.deadline == math.inf
