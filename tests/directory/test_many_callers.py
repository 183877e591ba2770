"""Forty clients at one service that works through calls in turn, and pays for those that it turns away."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

import pytest

from emberlatch.directory import Ask, Client, Failure, Pauses
from emberlatch.directory.pauses import EACH, LONGEST_ROUND

WORK, TURNED_AWAY, PATIENCE = 0.15, 0.05, 2.0  # seconds: a call, one that is turned away, the longest wait


@dataclass
class Service:
    """Answers a call after those before it. One that would wait too long is turned away, which takes time
    too; one that has waited too long fails when its turn comes, and so has cost as much as an answer."""

    free_at: float = 0.0
    asked: int = 0

    def ask(self, now: float) -> tuple[float, bool]:
        """When the call ends, and whether it is answered."""
        self.asked += 1
        waits = max(0.0, self.free_at - now)
        work = WORK if waits <= PATIENCE else TURNED_AWAY
        self.free_at = max(now, self.free_at) + work
        if waits > PATIENCE:
            return now + 0.03, False
        late = waits + WORK > PATIENCE
        return now + min(waits + WORK, PATIENCE), not late


@dataclass
class Fleet:
    """Clients that begin in one instant; `heard` is when each had its first answer."""

    clients: list[Client]
    service: Service = field(default_factory=Service)
    heard: dict[int, float] = field(default_factory=dict)

    def play(self, until: float) -> None:
        events: list[tuple[float, int, int, int, bool]] = []  # when, order, client, call (-1: look), answered
        order = itertools.count()
        for number, client in enumerate(self.clients):
            client.known(0.0, 0)
            client.watch(True)
            heapq.heappush(events, (max(0.0, client.due), next(order), number, -1, False))
        while events and events[0][0] <= until:
            now, _, number, call, answered = heapq.heappop(events)
            client = self.clients[number]
            if answered:
                client.answered(now, call, 1, whole=True)
                self.heard.setdefault(number, now)
                client.watch(False)
            elif call >= 0:
                client.failed(now, call, Failure.ENDED)
            for action in client.act(now):
                if isinstance(action, Ask):
                    end, good = self.service.ask(now)
                    heapq.heappush(events, (end, next(order), number, action.call, good))
            if client.due < until:
                heapq.heappush(events, (max(client.due, now + 1e-6), next(order), number, -1, False))


@pytest.mark.parametrize("seed", range(5))
def test_forty_that_start_in_one_instant_are_all_heard(seed: int) -> None:
    fleet = Fleet([Client(100 * seed + number, callers=40) for number in range(40)])
    fleet.play(16.0)
    assert len(fleet.heard) == 40
    assert fleet.service.asked < 100


def test_forty_that_each_ask_as_if_alone_fill_the_queue_for_good() -> None:
    """What was seen on the bench: no call of a whole day was answered."""
    fleet = Fleet([Client(number) for number in range(40)])
    fleet.play(16.0)
    assert len(fleet.heard) < 30
    assert fleet.service.asked > 200


@pytest.mark.parametrize("callers", [1, 2, 3])
def test_few_callers_ask_at_once(callers: int) -> None:
    assert Pauses(1, callers).first() == 0.0
    assert [Pauses(1, callers).next(20.0) for _ in range(3)] == [Pauses(1).next(20.0) for _ in range(3)]


def test_the_round_is_bounded_and_haste_keeps_to_it() -> None:
    assert Pauses(1, 120).round == Pauses(1, 1 << 40).round == LONGEST_ROUND
    pauses = Pauses(1, 40)
    assert pauses.round == pytest.approx(37 * EACH)
    assert all(pauses.next(left) >= pauses.round / 8 for left in (-5.0, 0.1, 2.0))  # due or overdue


def test_a_move_is_followed_in_time_by_all() -> None:
    for seed in range(20):
        client = Client(seed, callers=120)
        client.known(0.0, 4)
        client.watch(True)
        client.act(10.0)
        client.move(10.0)
        assert client.due <= 12.0  # what it has to tell counts as told after 4 s
