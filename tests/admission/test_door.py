"""Who stays and who goes at the door."""

from __future__ import annotations

import random

import pytest

from emberlatch.admission import Door
from emberlatch.admission.door import ADOPTED_GAP, KEPT, OVERDUE, STRANGERS


class One:
    def __init__(self, name: str = "") -> None:
        self.name, self.idle, self.unread = name, True, False

    def __repr__(self) -> str:
        return self.name


def come(door: Door[One], count: int, name: str = "c") -> list[One]:
    made = [One(f"{name}{number}") for number in range(count)]
    for each in made:
        assert door.joined(each) is None
    return made


def test_a_crowd_that_asked_once_and_fell_silent_leaves_room_before_the_places_are_full() -> None:
    """Its clients may open no more connections than they hold: kept for good, these would be their last."""
    door: Door[One] = Door(20)
    gone = [door.answered(each, 1.0 + n / 10) for n, each in enumerate(come(door, 20))]
    assert gone[:10] == [None] * 10
    assert [each.name for each in gone[10:] if each is not None] == [f"c{n}" for n in range(10)]
    assert len(door) == 10 == KEPT * 20


def test_clients_that_come_again_are_spared() -> None:
    door: Door[One] = Door(20)
    often = come(door, 10, "often")
    for at in (1.0, 2.0):
        assert [door.answered(each, at) for each in often] == [None] * 10
    once = come(door, 4, "once")
    assert [door.answered(each, 2.1) for each in once] == [None, *once[:3]]
    assert door.proven == [once[3], *often]


def test_one_that_is_silent_for_much_longer_than_it_used_to_be_is_not_expected_back() -> None:
    door: Door[One] = Door(4)
    often = come(door, 3)
    for at in (1.0, 2.0):
        for each in often[:2]:
            door.answered(each, at)
    door.answered(often[2], 2.0)
    assert door.answered(often[2], 2.0 + OVERDUE - 0.1) is None
    assert door.answered(often[2], 2.0 + OVERDUE + 0.1) is often[0]


def test_one_that_is_busy_or_has_sent_more_is_not_let_go() -> None:
    door: Door[One] = Door(4)
    first, second, third = come(door, 3)
    for each in (first, second):
        door.answered(each, 1.0)
    first.idle, second.unread = False, True
    assert door.answered(third, 2.0) is None
    second.unread = False
    (fourth,) = come(door, 1, "d")
    assert door.answered(fourth, 3.0) is second


def test_strangers_have_a_part_of_the_places_and_no_more() -> None:
    door: Door[One] = Door(8)
    known = come(door, 4, "known")
    for each in known:
        door.answered(each, 1.0)
    silent = come(door, 4, "silent")
    assert len(silent) > STRANGERS * 8
    assert [door.joined(One("new")) for _ in range(4)] == silent
    assert door.proven == known


def test_with_few_strangers_the_longest_unused_goes() -> None:
    door: Door[One] = Door(4, kept=1.0)
    known = come(door, 4, "known")
    for each in known:
        door.answered(each, 1.0)
    assert door.joined(One("new")) is known[0]


def test_where_all_are_busy_the_newcomer_goes() -> None:
    door: Door[One] = Door(2)
    for each in come(door, 2):
        door.answered(each, 1.0)
        each.idle = False
    new = One("new")
    assert door.joined(new) is new and len(door) == 2


def test_what_another_process_proved_counts_as_often() -> None:
    door: Door[One] = Door(2)
    (one,) = come(door, 1)
    door.adopted(one, 1.0)
    two, three = One("two"), One("three")
    door.joined(two)
    assert door.is_proven(one)
    assert door.answered(two, 1.0 + ADOPTED_GAP) is None
    assert door.joined(three) is two
    assert door.answered(three, 1.1 + ADOPTED_GAP) is None
    assert door.proven == [three, one]


@pytest.mark.parametrize("seed", range(40))
def test_whatever_comes_the_places_are_kept_and_nobody_is_lost_count_of(seed: int) -> None:
    """Crowds from a seed; a proven client goes for a silent stranger only where strangers are few."""
    drawn, places = random.Random(seed), 32
    door: Door[One] = Door(places)
    there: set[One] = set()
    now = 0.0
    for number in range(3000):
        now += drawn.expovariate(50)
        what = drawn.random()
        if what < 0.4:
            new, strangers = One(f"n{number}"), len(door.strangers)
            had_idle = any(each.idle for each in door.strangers)
            victim = door.joined(new)
            there.add(new)
            if victim is not None:
                there.discard(victim)
                many = strangers >= STRANGERS * places
                assert not (many and had_idle and victim not in (new,) and victim.name == "proven")
        elif what < 0.8 and there:
            each = drawn.choice(sorted(there, key=lambda one: one.name + str(id(one))))
            each.name = "proven"
            spare = door.answered(each, now)
            if spare is not None:
                assert spare.idle and not spare.unread and spare is not each
                there.discard(spare)
        elif what < 0.9 and there:
            each = next(iter(there))
            there.discard(each)
            door.left(each)
        elif there:
            each = drawn.choice(sorted(there, key=lambda one: one.name + str(id(one))))
            each.idle, each.unread = drawn.random() < 0.7, drawn.random() < 0.2
        assert len(door) == len(there) <= places
        assert {*door.strangers, *door.proven} == there
