"""Which client connections the limiter keeps, and which ones it selects to be closed."""

from __future__ import annotations

import random

import pytest

from emberlatch.admission import ConnectionLimiter
from emberlatch.admission.connection_limiter import (
    ADOPTED_REQUEST_GAP_S,
    IDLE_GAP_FACTOR,
    PROVEN_SHARE,
    UNPROVEN_SHARE,
)


class StubConnection:
    def __init__(self, name: str = "") -> None:
        self.name, self.idle, self.has_unread_data = name, True, False

    def __repr__(self) -> str:
        return self.name


def connect(limiter: ConnectionLimiter[StubConnection], count: int, name: str = "c") -> list[StubConnection]:
    made = [StubConnection(f"{name}{number}") for number in range(count)]
    for each in made:
        assert limiter.add(each) is None
    return made


def test_idle_connections_with_a_single_request_are_closed_before_all_slots_are_in_use() -> None:
    """Clients limit their connections: if all of these stayed open, they could not send a new request."""
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(20)
    closed = [limiter.on_valid_request(each, 1.0 + n / 10) for n, each in enumerate(connect(limiter, 20))]
    assert closed[:10] == [None] * 10
    assert [each.name for each in closed[10:] if each is not None] == [f"c{n}" for n in range(10)]
    assert len(limiter) == 10 == PROVEN_SHARE * 20


def test_connections_with_repeated_requests_are_kept() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(20)
    repeated = connect(limiter, 10, "often")
    for at in (1.0, 2.0):
        assert [limiter.on_valid_request(each, at) for each in repeated] == [None] * 10
    single = connect(limiter, 4, "once")
    assert [limiter.on_valid_request(each, 2.1) for each in single] == [None, *single[:3]]
    assert limiter.proven == [single[3], *repeated]


def test_a_connection_idle_for_much_longer_than_its_average_gap_is_closed() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(4)
    connections = connect(limiter, 3)
    for at in (1.0, 2.0):
        for each in connections[:2]:
            limiter.on_valid_request(each, at)
    limiter.on_valid_request(connections[2], 2.0)
    assert limiter.on_valid_request(connections[2], 2.0 + IDLE_GAP_FACTOR - 0.1) is None
    assert limiter.on_valid_request(connections[2], 2.0 + IDLE_GAP_FACTOR + 0.1) is connections[0]


def test_a_busy_connection_or_one_with_unread_data_is_not_closed() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(4)
    first, second, third = connect(limiter, 3)
    for each in (first, second):
        limiter.on_valid_request(each, 1.0)
    first.idle, second.has_unread_data = False, True
    assert limiter.on_valid_request(third, 2.0) is None
    second.has_unread_data = False
    (fourth,) = connect(limiter, 1, "d")
    assert limiter.on_valid_request(fourth, 3.0) is second


def test_unproven_connections_have_a_limited_share_of_the_slots() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(8)
    proven = connect(limiter, 4, "known")
    for each in proven:
        limiter.on_valid_request(each, 1.0)
    unproven = connect(limiter, 4, "silent")
    assert len(unproven) > UNPROVEN_SHARE * 8
    assert [limiter.add(StubConnection("new")) for _ in range(4)] == unproven
    assert limiter.proven == proven


def test_with_few_unproven_connections_the_least_recently_used_proven_one_is_closed() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(4, proven_share=1.0)
    proven = connect(limiter, 4, "known")
    for each in proven:
        limiter.on_valid_request(each, 1.0)
    assert limiter.add(StubConnection("new")) is proven[0]


def test_if_all_connections_are_busy_the_new_one_is_closed() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(2)
    for each in connect(limiter, 2):
        limiter.on_valid_request(each, 1.0)
        each.idle = False
    new = StubConnection("new")
    assert limiter.add(new) is new and len(limiter) == 2


def test_a_connection_proven_to_another_process_counts_as_repeatedly_used() -> None:
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(2)
    (one,) = connect(limiter, 1)
    limiter.adopt(one, 1.0)
    two, three = StubConnection("two"), StubConnection("three")
    limiter.add(two)
    assert limiter.is_proven(one)
    assert limiter.on_valid_request(two, 1.0 + ADOPTED_REQUEST_GAP_S) is None
    assert limiter.add(three) is two
    assert limiter.on_valid_request(three, 1.1 + ADOPTED_REQUEST_GAP_S) is None
    assert limiter.proven == [three, one]


@pytest.mark.parametrize("seed", range(40))
def test_under_random_events_the_limit_holds_and_every_open_connection_is_tracked(seed: int) -> None:
    """A proven connection is closed before an idle unproven one only if few connections are unproven."""
    rng, slots = random.Random(seed), 32
    limiter: ConnectionLimiter[StubConnection] = ConnectionLimiter(slots)
    open_connections: set[StubConnection] = set()
    now = 0.0
    for number in range(3000):
        now += rng.expovariate(50)
        event = rng.random()
        if event < 0.4:
            new, unproven = StubConnection(f"n{number}"), len(limiter.unproven)
            had_idle_unproven = any(each.idle for each in limiter.unproven)
            evicted = limiter.add(new)
            open_connections.add(new)
            if evicted is not None:
                open_connections.discard(evicted)
                many_unproven = unproven >= UNPROVEN_SHARE * slots
                assert not (
                    many_unproven and had_idle_unproven and evicted not in (new,) and evicted.name == "proven"
                )
        elif event < 0.8 and open_connections:
            each = rng.choice(sorted(open_connections, key=lambda one: one.name + str(id(one))))
            each.name = "proven"
            expendable = limiter.on_valid_request(each, now)
            if expendable is not None:
                assert expendable.idle and not expendable.has_unread_data and expendable is not each
                open_connections.discard(expendable)
        elif event < 0.9 and open_connections:
            each = next(iter(open_connections))
            open_connections.discard(each)
            limiter.remove(each)
        elif open_connections:
            each = rng.choice(sorted(open_connections, key=lambda one: one.name + str(id(one))))
            each.idle, each.has_unread_data = rng.random() < 0.7, rng.random() < 0.2
        assert len(limiter) == len(open_connections) <= slots
        assert {*limiter.unproven, *limiter.proven} == open_connections
