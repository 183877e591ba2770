"""The directory's client without I/O: what it asks, when, and what it believes."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest

from emberlatch.directory import Ask, Client, Drop, Failure, Ledger, Pauses, Question, Terms
from emberlatch.directory.client import GAP, LOOK_QUIET, QUIET, SLACK, WAIT


def asked(client: Client, now: float) -> Ask:
    """The one call that is to be made now."""
    (ask,) = (action for action in client.act(now) if isinstance(action, Ask))
    return ask


def watching(seed: int = 1) -> tuple[Client, Ask]:
    """A client that knows revision 5 and has begun to watch at 0."""
    client = Client(seed)
    client.known(0.0, 5)
    client.watch(True)
    return client, asked(client, 0.0)


def test_it_watches_from_what_it_knows_and_goes_on_at_once() -> None:
    client, ask = watching()
    assert ask.question == Question(5, WAIT)
    assert client.answered(3.0, ask.call, 6, whole=False)
    assert client.due == pytest.approx(3.0 + GAP) and not client.act(3.0)
    again = asked(client, client.due)
    assert again.question == Question(6, WAIT) and not again.anew
    client.watch(True)  # said again: nothing changes
    assert not client.act(4.0)
    client.watch(False)
    assert client.answered(5.0, again.call, 6, whole=False) and not client.act(9.0) and client.due == math.inf


def test_an_answer_that_is_lost_takes_nothing_with_it() -> None:
    """The service has gone on to revision 6; what was lost is asked for again, soon, on a new connection."""
    client, ask = watching()
    assert client.failed(3.0, ask.call, Failure.ENDED)
    assert client.due < 3.3
    again = asked(client, client.due)
    assert again.question.since == 5 and again.anew


def test_every_second_call_lost_never_costs_more_than_a_moment() -> None:
    client, ask = watching()
    now = 1.0
    for revision in range(6, 40):
        client.failed(now, ask.call, Failure.ENDED)
        assert client.due < now + 0.3
        ask = asked(client, client.due)
        now = client.due - QUIET + 0.1
        assert client.answered(now, ask.call, revision, whole=False)
        now = client.due
        ask = asked(client, now)
        now += 0.5


def test_pauses_grow_but_many_tries_fit_before_what_is_unheard_is_due() -> None:
    client, ask = watching()
    now, tries, longest = 1.0, 0, 0.0
    while now < WAIT + Terms().after_wait:
        client.failed(now, ask.call, Failure.ENDED)
        longest = max(longest, client.due - now)
        now = client.due
        ask = asked(client, now)
        now += 0.25
        tries += 1
    assert tries > 14 and 1.0 < longest < 2.5
    assert client.overdue(now)
    assert client.answered(now, ask.call, 9, whole=False) and not client.overdue(now)
    again = asked(client, client.due)
    client.failed(now + 1, again.call, Failure.ENDED)
    assert client.due - (now + 1) < 0.3  # a first success ends the growth


def test_ten_in_step_fall_out_of_step() -> None:
    pauses = [Pauses(seed) for seed in range(10)]
    for _ in range(4):
        last = sorted(pause.next(20.0) for pause in pauses)
    assert len(set(last)) == 10 and last[-1] - last[0] > 0.2
    assert all(later - sooner < 0.5 for sooner, later in pairwise(last))


def test_a_pause_that_the_service_tells_is_kept_unless_it_would_be_too_late() -> None:
    assert 3.0 <= Pauses(1).next(20.0, told=3.0) <= 3.9
    assert Pauses(1).next(2.5, told=30.0) <= 1.5
    assert Pauses(1).next(-5.0, told=0.0) >= 0.1  # overdue: at once, but not without end


def test_a_call_that_never_went_out_leaves_nothing_unheard() -> None:
    client, ask = watching()
    client.failed(1.0, ask.call, Failure.UNSENT)
    assert client.ledger.due == math.inf
    ask = asked(client, client.due)
    client.failed(9.0, ask.call, Failure.ENDED)
    assert client.ledger.due < math.inf


def test_a_silent_watch_is_asked_anew_the_more_seldom_the_longer_it_is_calm() -> None:
    client, ask = watching()
    waits = []
    now = 0.0
    former: list[Ask] = []
    for _ in range(4):
        waits.append(client.due - now)
        now = client.due
        *drops, again = client.act(now)
        assert drops == [Drop(call.call) for call in former]  # the one before the last
        assert isinstance(again, Ask) and again.anew and again.question.since == 5
        former, ask = [ask], again
    assert waits == [QUIET, 2 * QUIET, 4 * QUIET, WAIT + SLACK]
    assert isinstance(drops[0], Drop)
    assert not client.answered(now, drops[0].call, 9, whole=True)  # given up: whatever it still brings
    client.answered(now + WAIT, ask.call, 5, whole=False)  # an empty answer: all is calm
    asked(client, now + WAIT + GAP)
    assert client.due - now > 2 * WAIT
    ask = Ask(client._watching or 0, Question(5, WAIT), False)
    client.answered(now + 2 * WAIT, ask.call, 6, whole=False)  # news: changes are about
    asked(client, client.due)
    assert client.due - now - 2 * WAIT < QUIET + 1


def test_an_answer_that_crosses_the_next_question_is_taken() -> None:
    client, quiet = watching()
    again = asked(client, QUIET)
    assert client.answered(QUIET + 0.01, quiet.call, 6, whole=False) and client.revision == 6
    assert client.answered(QUIET + 0.02, again.call, 6, whole=False)  # the same once more does no harm
    client, quiet = watching()
    again = asked(client, QUIET)
    assert not client.failed(QUIET + 0.01, quiet.call, Failure.ENDED)  # no pause: its successor is out
    assert client.answered(QUIET + 0.02, again.call, 6, whole=False)
    client, quiet = watching()
    again = asked(client, QUIET)
    assert client.answered(QUIET + 0.01, again.call, 6, whole=False)
    assert client.act(QUIET + 0.01) == [Drop(quiet.call)]
    assert client.ledger.due == math.inf  # what the quiet one would have told is in the answer


def test_a_slow_answer_older_than_one_taken_is_passed_over() -> None:
    client, watch = watching()
    client.look_up()
    look = asked(client, 0.1)
    assert look.question.since is None and look.anew
    assert client.answered(1.0, watch.call, 8, whole=False)
    assert not client.answered(1.5, look.call, 7, whole=True)
    assert client.revision == 8


def test_a_service_that_has_lost_its_past_is_believed_once_it_gives_the_whole_list() -> None:
    client, ask = watching()
    assert client.answered(1.0, ask.call, 2, whole=True) and client.revision == 2
    ask = asked(client, client.due)
    assert not client.answered(2.0, ask.call, 1, whole=False)  # changes up to before what is known: no sense
    ask = asked(client, client.due)
    assert ask.question.since is None


def test_what_cannot_be_read_is_asked_for_whole() -> None:
    client, ask = watching()
    client.failed(1.0, ask.call, Failure.UNREADABLE)
    assert asked(client, client.due).question.since is None


def test_a_move_in_the_middle_of_a_failed_call() -> None:
    client, ask = watching()
    client.failed(1.0, ask.call, Failure.ENDED)
    ask = asked(client, client.due)
    client.move(2.0)
    drop, new = client.act(2.0)
    assert isinstance(drop, Drop) and drop.call == ask.call
    assert isinstance(new, Ask) and new.question.since is None and new.anew
    assert not client.failed(2.1, ask.call, Failure.ENDED)  # of the old place: no pause at the new one
    assert not client.answered(2.1, ask.call, 99, whole=True)
    assert client.ledger.due == 2.0 + Terms().after_move
    now, tries = 2.2, 0
    while now < 6.0:
        client.failed(now, new.call, Failure.ENDED)
        now = client.due
        new = asked(client, now)
        now, tries = now + 0.1, tries + 1
    assert tries >= 10
    assert client.answered(now, new.call, 3, whole=True) and client.revision == 3


def test_a_new_place_that_loses_answers_in_silence_is_asked_several_times_before_it_is_due() -> None:
    client, _ = watching()
    client.move(1.0)
    client.act(1.0)
    asks, now = 1, 1.0
    while (now := client.due) < 1.0 + Terms().after_move:
        asks += any(isinstance(action, Ask) for action in client.act(now))
    assert asks == 4


def test_a_look_up_that_hangs_is_given_up_and_the_move_asks_it_again() -> None:
    client = Client(1)
    client.look_up()
    look = asked(client, 0.0)
    client.look_up()
    assert not client.act(1.0)  # one is out already
    assert client.due == LOOK_QUIET
    assert client.act(LOOK_QUIET) == [Drop(look.call)]
    client.look_up()
    second = asked(client, 3.0)
    client.move(3.5)
    assert Drop(second.call) in (actions := client.act(3.5)) and any(isinstance(a, Ask) for a in actions)


def test_the_ledger_keeps_the_first_due() -> None:
    ledger = Ledger(Terms())
    ledger.unheard(1.0, 20.0)
    assert ledger.due == 23.0
    ledger.unheard(2.0, None)
    assert ledger.due == 8.0
    ledger.heard()
    assert ledger.due == math.inf
