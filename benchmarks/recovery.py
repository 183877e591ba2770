"""Measures how fast service recovers from an outage: `python -m benchmarks.recovery [seeds] [jobs]`.

The first table is for one destination that answers `full` to every call for nine seconds and is then cold
for eight seconds. The demand comes from 1, 3 or 10 forwarders, of which only the decision module runs, on a
simulated clock. The second table is for random fault plans: the ratio of the messages served in time to those
that could have been, counted from the last fault and from ten seconds later. Rows `before` show the same
module without reinstatement: after the outage, the send rate stays as low as the rejections have made it.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from multiprocessing import get_context
from unittest.mock import patch

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.health import RouteHealth
from emberlatch.core.records import Route
from emberlatch.faults import PLAN_GENERATORS, run_plan

OUTAGE_START_S, OUTAGE_END_S, END_S = 20.0, 29.0, 60.0
LATENCY_S, RETRY_AFTER_S, LATENCY_TARGET_S = 0.08, 0.4, 3.0
RULES = api.Rules(slow_start=8.0, slow_start_share=0.27, overload_window=3.0, overload_factor=1.5)
RUNS = 16
CASES = ((1, 0.85, 0.0), (1, 4.0, 0.0), (1, 4.0, 5.0), (3, 8.0, 9.0), (10, 8.0, 9.0))
"""Forwarders, messages per second of all of them, and the destination's limit in calls/s (0: none)."""


@contextmanager
def with_reinstatement(reinstates: bool) -> Iterator[None]:
    """Run the module with reinstatement of the send rate after an outage, or without it."""
    real = RouteHealth.reinstate

    def reinstate(self: RouteHealth, route: Route) -> None:
        previous_rate = route.send_rate
        real(self, route)
        route.send_rate = route.send_rate if reinstates else previous_rate

    with patch.object(RouteHealth, "reinstate", reinstate):
        yield


@dataclass
class Destination:
    """A destination that serves at its limit, except during the outage."""

    limit: float
    tokens: float = 1.0
    refilled_at: float = 0.0
    served: list[tuple[float, bool]] = field(
        default_factory=list
    )  # time, and whether within the latency target
    rejected: int = 0  # calls rejected after the outage

    def call(self, now: float, arrived_at: float) -> tuple[api.Result, float, tuple[float, ...]]:
        """Return the result of a call, the wait before a retry, and the reported load."""
        max_tokens = max(1.0, self.limit)
        self.tokens, self.refilled_at = (
            min(max_tokens, self.tokens + self.limit * (now - self.refilled_at)),
            now,
        )
        report = (self.tokens / max_tokens, self.limit) if self.limit else ()
        if OUTAGE_START_S <= now < OUTAGE_END_S or (self.limit and self.tokens < 1):
            self.rejected += now >= OUTAGE_END_S
            return api.Result.FULL, RETRY_AFTER_S, report
        self.tokens -= 1
        self.served.append((now, now + LATENCY_S <= arrived_at + LATENCY_TARGET_S))
        return api.Result.OK, 0.0, report


def play_outage(forwarders: int, rate: float, limit: float, seed: int) -> tuple[list[float], Destination]:
    """Play an outage; return the arrival times of the messages, and the destination afterwards."""
    note = api.Category("note", api.Effect.SAFE, latency_target=LATENCY_TARGET_S, deadline=12.0)
    settings = api.Settings(
        categories=(note,), rules=RULES, slots=20, open_cap=200, forwarders=forwarders,
        separate_routes=(True,), max_attempts=6, report_fields=("x0", "x1"),
    )  # fmt: skip
    modules = [Forwarder(settings, seed * 100 + n) for n in range(forwarders)]
    destination, rng, order = Destination(limit), random.Random(seed), itertools.count()
    events: list[tuple[float, int, int, api.Event]] = []
    listed = api.DirectoryUpdate(api.ListKind.FULL, 1, (api.Entry(b"t", 7),))
    for number, module in enumerate(modules):
        module.handle(0.0, [listed])
        at = 0.0
        while (at := at + rng.expovariate(rate / forwarders)) < END_S:
            ref = next(order)
            heapq.heappush(events, (at, ref, number, api.Arrival(ref, 0, 7, 12.0)))
    arrived_at = {ref: at for at, ref, *_ in events}
    while events and events[0][0] < END_S:
        now, _, number, event = heapq.heappop(events)
        for action in modules[number].handle(now, [event]):
            if isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                heapq.heappush(events, (max(action.at, now), next(order), number, fired))
            elif isinstance(action, api.Send):
                attempt = modules[number].open_messages[action.ref].attempts - 1
                result, wait, report = destination.call(now, arrived_at[action.ref])
                closed = result is api.Result.OK
                outcome = api.Outcome(action.ref, attempt, b"t", result, LATENCY_S, closed, wait, 0, report)
                heapq.heappush(events, (now + LATENCY_S, next(order), number, outcome))
    return list(arrived_at.values()), destination


def recovery_figures(forwarders: int, rate: float, limit: float) -> tuple[float, float, float]:
    """Return recovery time in seconds, rejections per run after the outage, and variation of the rate.

    The recovery time is that from the end of the outage until 90% of the demand of two seconds is served in
    time. The variation is the standard deviation of the calls per second over the last ten seconds, as a
    share of their mean.
    """
    served: list[tuple[float, bool]] = []
    rejected, arrivals, rate_variation = 0, 0, []
    for seed in range(RUNS):
        arrivals_of_run, destination = play_outage(forwarders, rate, limit, seed)
        served += destination.served
        rejected, arrivals = rejected + destination.rejected, arrivals + len(arrivals_of_run)
        seconds = range(int(END_S) - 10, int(END_S))
        per_second = [sum(at <= x < at + 1 for x, _ in destination.served) for at in seconds]
        rate_variation.append(statistics.pstdev(per_second) / max(statistics.mean(per_second), 0.01))
    recovered_count = 0.9 * arrivals / END_S * 2.0
    times = [OUTAGE_END_S + n / 4 for n in range(int((END_S - OUTAGE_END_S - 2) * 4))]
    recovered_at = next(
        (at for at in times if sum(at <= x < at + 2 and ok for x, ok in served) >= recovered_count), END_S
    )
    return recovered_at - OUTAGE_END_S, rejected / RUNS, statistics.mean(rate_variation)


def _recovery_shares(job: tuple[int, bool]) -> tuple[tuple[int, int], tuple[int, int], int]:
    seed, reinstates = job
    with with_reinstatement(reinstates):
        report = run_plan(PLAN_GENERATORS["mixed"](seed))
    return report.since_last_fault, report.after_recovery, len(report.breaches)


def print_seeds(seeds: int, jobs: int) -> None:
    """Print ratios of served to permitted messages, for the runs with at least 16 permitted messages."""
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for name, reinstates in (("before", False), ("now", True)):
            results = list(
                pool.map(_recovery_shares, [(seed, reinstates) for seed in range(seeds)], chunksize=10)
            )
            broken_runs = sum(breaches > 0 for *_, breaches in results)
            since_last_fault, after_recovery = (
                [result[0] for result in results],
                [result[1] for result in results],
            )
            for since, pairs in (("the last fault", since_last_fault), ("ten seconds later", after_recovery)):
                shares = sorted(served / permitted for served, permitted in pairs if permitted >= 16)
                parts = (
                    f"{shares[len(shares) // 20]:.2f} | {shares[len(shares) // 100]:.2f} | {shares[0]:.2f}"
                )
                median = f"{statistics.median(shares):.2f}"
                print(f"| {name} | {since} | {len(shares)} | {median} | {parts} | {broken_runs} |")


def main(seeds: int, jobs: int) -> None:
    """Measure, and print both tables."""
    print("| forwarders | demand | limit | | 90% in time after | rejected after, per run | variation |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for forwarders, rate, limit in CASES:
        for name, reinstates in (("before", False), ("now", True)):
            with with_reinstatement(reinstates):
                after, rejected, rate_variation = recovery_figures(forwarders, rate, limit)
            case = f"{forwarders} | {rate:g} | {limit:g} | {name}"
            print(f"| {case} | {after:.1f} s | {rejected:.1f} | {rate_variation:.2f} |")
    print(f"\n| {seeds} seeds | from | runs counted | median | 5th percentile | 1st | minimum | breached |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    print_seeds(seeds, jobs)


if __name__ == "__main__":
    main(*(int(value) for value in [*sys.argv[1:], *("1000", "8")[len(sys.argv) - 1 :]]))
