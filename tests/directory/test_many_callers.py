"""Forty clients of one service that answers requests in order, and spends time on those that it rejects."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

import pytest

from emberlatch.directory import Backoff, Client, Failure, SendRequest
from emberlatch.directory.backoff import MAX_ROUND_S, SERVICE_TIME_PER_CALL_S

ANSWER_TIME_S, REJECTION_TIME_S, MAX_QUEUE_TIME_S = 0.15, 0.05, 2.0


@dataclass
class Service:
    """Answers requests in order.

    A request that would wait longer than `MAX_QUEUE_TIME_S` is rejected, which takes time too. A request
    whose answer would end later than that fails, but takes as much service time as an answer.
    """

    free_at: float = 0.0
    requests: int = 0

    def ask(self, now: float) -> tuple[float, bool]:
        """Send a request; return when it ends, and whether it is answered."""
        self.requests += 1
        wait_s = max(0.0, self.free_at - now)
        work = ANSWER_TIME_S if wait_s <= MAX_QUEUE_TIME_S else REJECTION_TIME_S
        self.free_at = max(now, self.free_at) + work
        if wait_s > MAX_QUEUE_TIME_S:
            return now + 0.03, False
        is_late = wait_s + ANSWER_TIME_S > MAX_QUEUE_TIME_S
        return now + min(wait_s + ANSWER_TIME_S, MAX_QUEUE_TIME_S), not is_late


@dataclass
class Fleet:
    """Clients that start at the same moment; `answered_at` has the time of each client's first answer."""

    clients: list[Client]
    service: Service = field(default_factory=Service)
    answered_at: dict[int, float] = field(default_factory=dict)

    def run(self, until: float) -> None:
        events: list[tuple[float, int, int, int, bool]] = []  # time, order, client, call (-1: none), answered
        order = itertools.count()
        for number, client in enumerate(self.clients):
            client.start_from(0.0, 0)
            client.watch(True)
            heapq.heappush(events, (max(0.0, client.due), next(order), number, -1, False))
        while events and events[0][0] <= until:
            now, _, number, call, answered = heapq.heappop(events)
            client = self.clients[number]
            if answered:
                client.on_answer(now, call, 1, complete=True)
                self.answered_at.setdefault(number, now)
                client.watch(False)
            elif call >= 0:
                client.on_failure(now, call, Failure.NO_VALID_ANSWER)
            for action in client.take_actions(now):
                if isinstance(action, SendRequest):
                    end, is_answered = self.service.ask(now)
                    heapq.heappush(events, (end, next(order), number, action.call, is_answered))
            if client.due < until:
                heapq.heappush(events, (max(client.due, now + 1e-6), next(order), number, -1, False))


@pytest.mark.parametrize("seed", range(5))
def test_forty_clients_that_start_at_the_same_moment_all_get_an_answer(seed: int) -> None:
    fleet = Fleet([Client(100 * seed + number, callers=40) for number in range(40)])
    fleet.run(16.0)
    assert len(fleet.answered_at) == 40
    assert fleet.service.requests < 100


def test_forty_clients_that_each_assume_to_be_the_only_one_keep_the_queue_full() -> None:
    """The failure that `Backoff.round_s` prevents: in a benchmark no request of a full day was answered."""
    fleet = Fleet([Client(number) for number in range(40)])
    fleet.run(16.0)
    assert len(fleet.answered_at) < 30
    assert fleet.service.requests > 200


@pytest.mark.parametrize("callers", [1, 2, 3])
def test_few_callers_start_without_delay(callers: int) -> None:
    assert Backoff(1, callers).first_delay_s() == 0.0
    assert [Backoff(1, callers).next_delay_s(20.0) for _ in range(3)] == [
        Backoff(1).next_delay_s(20.0) for _ in range(3)
    ]


def test_the_round_is_bounded_and_sets_a_minimum_delay_at_the_deadline() -> None:
    assert Backoff(1, 120).round_s == Backoff(1, 1 << 40).round_s == MAX_ROUND_S
    backoff = Backoff(1, 40)
    assert backoff.round_s == pytest.approx(37 * SERVICE_TIME_PER_CALL_S)
    for until_deadline_s in (-5.0, 0.1, 2.0):
        assert backoff.next_delay_s(until_deadline_s) >= backoff.round_s / 8


def test_after_a_move_every_client_sends_a_request_before_the_deadline() -> None:
    for seed in range(20):
        client = Client(seed, callers=120)
        client.start_from(0.0, 4)
        client.watch(True)
        client.take_actions(10.0)
        client.change_address(10.0)
        assert client.due <= 12.0  # the list counts as delivered 4 s after the move
