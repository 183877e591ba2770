"""Slow start: call rates after an outage, and retries of routes that return errors."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Result
from emberlatch.core.records import EjectionReason
from tests.core.test_wait_policy import arrive, module, serving

ResultAt = Callable[[float], api.Result]


class Simulation:
    """Runs a forwarder with four arrivals per second, whose calls are answered after 10 ms."""

    def __init__(self, made: Forwarder, now: float) -> None:
        self.made, self.now, self.next_arrival = made, now, now
        self.refs = itertools.count(10_000)
        self.pending: list[tuple[float, api.Event]] = []

    def run(self, end: float, result_at: ResultAt) -> list[float]:
        """Run until `end` and return the start times of calls.

        `result_at` returns the result of a call by its start time.
        """
        sent: list[float] = []
        while (
            now := max(
                self.now, min([self.next_arrival, self.made.timer.next_at, *(at for at, _ in self.pending)])
            )
        ) < end:
            self.now = now
            events = [event for at, event in self.pending if at <= now]
            self.pending = [item for item in self.pending if item[0] > now]
            if self.next_arrival <= now:
                self.next_arrival += 0.25
                events.append(arrive(next(self.refs), 12.0))
            for action in self.made.handle(now, [api.TimerFired(0), *events]):
                if isinstance(action, api.Send):
                    sent.append(now)
                    result, attempt = result_at(now), self.made.open_messages[action.ref].attempts - 1
                    closed = result is Result.OK
                    done = api.Outcome(action.ref, attempt, action.target, result, 0.01, is_final=closed)
                    self.pending.append((now + 0.01, done))
        return sent


def healthy_forwarder(weight: float) -> Forwarder:
    """Return a forwarder whose destination is listed with a rough weight and has served all calls."""
    made = module(weights=api.Weights.ROUGH, max_attempts=100)
    made.handle(0.0, [DirectoryUpdate(ListKind.FULL, 2, (Entry(b"t", 7, weight=weight),))])
    serving(made)
    return made


def fail_calls(made: Forwarder, result: api.Result) -> Simulation:
    """Run three seconds in which every call has this result."""
    simulation = Simulation(made, 2.1)
    simulation.run(5.1, lambda _: result)
    assert made.endpoints[b"t"].route.ejected
    return simulation


def test_the_next_trial_follows_at_once_after_an_error_but_not_after_a_reset() -> None:
    assert len(fail_calls(healthy_forwarder(5.0), Result.ERROR).run(8.1, lambda _: Result.ERROR)) >= 20
    # Calls whose connections were reset may still put load on the destination.
    assert len(fail_calls(healthy_forwarder(5.0), Result.RESET).run(8.1, lambda _: Result.RESET)) <= 8


def test_a_destination_that_recovers_from_errors_is_not_overloaded() -> None:
    made = healthy_forwarder(5.0)
    rules = made.context.settings.rules
    sent = fail_calls(made, Result.ERROR).run(5.1 + rules.overload_window, lambda _: Result.OK)
    # The bound is computed from the listed weight of 5. The forwarder takes a rough weight of 5 as a limit of
    # 3.5.
    assert 2 <= len(sent) <= rules.overload_factor * rules.slow_start_share * 5.0 * rules.overload_window


def test_frequent_trials_continue_after_one_success_among_errors_and_stop_after_two() -> None:
    def sent_after(success_count: int) -> int:
        remaining = [success_count]

        def result_at(now: float) -> api.Result:
            remaining[0] -= 1
            return Result.OK if remaining[0] >= 0 else Result.ERROR

        return len(fail_calls(healthy_forwarder(5.0), Result.ERROR).run(5.6, result_at))

    assert sent_after(1) >= 5
    assert sent_after(2) <= 3


def test_a_route_that_recovers_from_errors_is_in_slow_start() -> None:
    """Occasional successes during an outage do not show that the route is warm afterwards."""
    made = healthy_forwarder(5.0)
    simulation = Simulation(made, 2.1)
    simulation.run(9.0, lambda now: Result.OK if now % 1.0 < 0.25 else Result.ERROR)
    simulation.run(9.3, lambda _: Result.ERROR)
    simulation.run(9.8, lambda _: Result.OK)
    assert made.endpoints[b"t"].route.slow_start_until > 20.0


@pytest.mark.parametrize("hangs", [False, True])
def test_slow_start_uses_the_share_of_the_known_limit_unless_the_route_hangs(hangs: bool) -> None:
    """A rate computed from demand alone is too low if recent demand was low and many messages wait.

    The known limit raises the rate after fast failures, but not after a hang.
    """
    made = healthy_forwarder(20.0)
    fail_calls(made, Result.TIMEOUT if hangs else Result.FULL)
    route = made.endpoints[b"t"].route
    demand_rate = (
        made.context.rules.overload_factor
        * made.context.rules.slow_start_share
        * route.demand_share(made.context.now)
    )
    limit_rate = (
        made.context.rules.overload_factor
        * made.context.rules.slow_start_share
        * 20.0
        / made.context.settings.forwarders
    )
    rate = made.slow_start.rate(route)
    assert rate <= demand_rate if hangs else demand_rate < rate < limit_rate


@pytest.mark.parametrize(("forwarders", "at_once"), [(2, True), (60, False)])
def test_only_few_forwarders_call_at_once_at_the_end_of_a_retry_after(forwarders: int, at_once: bool) -> None:
    firsts = []
    for seed in range(20):
        made = module(forwarders=forwarders)
        made.context.random.seed(seed)
        serving(made)
        made.handle(2.1, [arrive(1, 12.0)])
        made.handle(2.2, [api.Outcome(1, 0, b"t", Result.FULL, 0.1, retry_after=8.0)])
        firsts.append(Simulation(made, 2.3).run(14.0, lambda _: Result.OK)[0] - 10.2)
    assert min(firsts) >= 0
    assert (max(firsts) < 0.7) is at_once


def test_a_serving_route_keeps_its_gap_after_a_short_retry_after() -> None:
    """A short retry-after indicates a rate limit, so calls keep their usual gap after it.

    Calling at the end of each retry-after lowered the score of ra1e1c0 by 0.07.
    """
    for seed in range(10):
        made = module()
        made.context.random.seed(seed)
        serving(made)
        route = made.endpoints[b"t"].route
        route.slow_start_until, route.blocked_until = 15.0, 2.5
        made.context.now = 2.1
        assert made.slow_start.next_call_at(route) > 2.5 + 0.2


def test_a_route_that_rejected_all_calls_regains_its_send_rate_once_it_answers() -> None:
    """Rejections cut the send rate to a share of demand, and each success raised it by only 3%."""
    made = module()
    serving(made)
    route = made.endpoints[b"t"].route
    route.send_rate = 4.0
    simulation = Simulation(made, 2.1)
    simulation.run(11.1, lambda _: Result.FULL)
    assert route.ejected and route.send_rate < 0.5 * 4.0
    simulation.run(14.0, lambda _: Result.OK)
    assert not route.ejected and route.send_rate > 0.8 * 4.0


def test_a_rejection_between_successes_cuts_the_send_rate_which_then_grows_slowly() -> None:
    """A rejection between successes indicates a rate limit, not an outage."""
    made = module()
    serving(made)
    route = made.endpoints[b"t"].route
    for n in range(3):
        made.handle(2.1 + n, [arrive(n, 12.0)])
        made.handle(2.2 + n, [api.Outcome(n, 0, b"t", Result.FULL, 0.01)])
        reduced_rate = route.send_rate
        made.handle(2.9 + n, [api.TimerFired(0)])
        made.handle(3.0 + n, [api.Outcome(n, 1, b"t", Result.OK, 0.01, is_final=True)])
        assert reduced_rate < route.send_rate <= reduced_rate + 0.03 * (reduced_rate + 1) + 1e-9


def test_an_ejection_for_a_hang_withdraws_the_extra_trial_of_an_earlier_error() -> None:
    """A call that hangs may still load the route, so no call beyond the slow-start rate is allowed."""
    made = healthy_forwarder(5.0)
    fail_calls(made, Result.ERROR)
    route = made.endpoints[b"t"].route
    assert route.extra_trial_allowed
    made.health.eject(route, EjectionReason.NO_RESPONSE)
    assert not route.extra_trial_allowed
