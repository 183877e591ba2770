"""How fast service recovers: `python -m benchmarks.recovery [seeds] [jobs]`.

First one destination that answers `full` to everything for nine seconds and is cold for eight more, under
1, 3 and 10 forwarders that share its demand: the module alone, on a clock of its own. Then drawn
universes of the fault runs: what was served in time over what could have been, from the last fault on,
and from ten seconds later. Each beside the same module with the pace left where the refusals brought it.
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

SHUT_AT_S, OPEN_AT_S, END_S = 20.0, 29.0, 60.0  # seconds
LATENCY_S, RETRY_AFTER_S, LATENCY_TARGET_S = 0.08, 0.4, 3.0  # seconds
RULES = api.Rules(slow_start=8.0, slow_start_share=0.27, overload_window=3.0, overload_factor=1.5)
RUNS = 16
CASES = ((1, 0.85, 0.0), (1, 4.0, 0.0), (1, 4.0, 5.0), (3, 8.0, 9.0), (10, 8.0, 9.0))
"""Forwarders, messages a second of all of them, and the destination's limit in calls a second (0: none)."""


@contextmanager
def with_reinstatement(reinstates: bool) -> Iterator[None]:
    """The module as it is, or with the pace left at what the refusals of an outage brought it to."""
    real = RouteHealth.reinstate

    def reinstate(self: RouteHealth, route: Route) -> None:
        pace = route.send_rate
        real(self, route)
        route.send_rate = route.send_rate if reinstates else pace

    with patch.object(RouteHealth, "reinstate", reinstate):
        yield


@dataclass
class Destination:
    """Serves at its limit, but for the time in which it is shut."""

    limit: float
    tokens: float = 1.0
    refilled_at: float = 0.0
    served: list[tuple[float, bool]] = field(default_factory=list)  # when, and whether in time
    rejected: int = 0  # once it was open again

    def call(self, now: float, arrived_at: float) -> tuple[api.Result, float, tuple[float, ...]]:
        """Result, wait and report of a call."""
        max_tokens = max(1.0, self.limit)
        self.tokens, self.refilled_at = (
            min(max_tokens, self.tokens + self.limit * (now - self.refilled_at)),
            now,
        )
        report = (self.tokens / max_tokens, self.limit) if self.limit else ()
        if SHUT_AT_S <= now < OPEN_AT_S or (self.limit and self.tokens < 1):
            self.rejected += now >= OPEN_AT_S
            return api.Result.FULL, RETRY_AFTER_S, report
        self.tokens -= 1
        self.served.append((now, now + LATENCY_S <= arrived_at + LATENCY_TARGET_S))
        return api.Result.OK, 0.0, report


def play_outage(forwarders: int, rate: float, limit: float, seed: int) -> tuple[list[float], Destination]:
    """When messages came, and the destination as they left it."""
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
                back = api.Outcome(action.ref, attempt, b"t", result, LATENCY_S, closed, wait, 0, report)
                heapq.heappush(events, (now + LATENCY_S, next(order), number, back))
    return list(arrived_at.values()), destination


def recovery_figures(forwarders: int, rate: float, limit: float) -> tuple[float, float, float]:
    """Seconds from its opening until 90% of the demand of two seconds is served in time; refusals a run from
    then on; the variation of the rate by seconds (as a share of its mean) in the last ten."""
    served: list[tuple[float, bool]] = []
    rejected, arrivals, rate_variation = 0, 0, []
    for seed in range(RUNS):
        arrivals_of_run, destination = play_outage(forwarders, rate, limit, seed)
        served += destination.served
        rejected, arrivals = rejected + destination.rejected, arrivals + len(arrivals_of_run)
        seconds = range(int(END_S) - 10, int(END_S))
        per_second = [sum(at <= x < at + 1 for x, _ in destination.served) for at in seconds]
        rate_variation.append(statistics.pstdev(per_second) / max(statistics.mean(per_second), 0.01))
    wanted = 0.9 * arrivals / END_S * 2.0
    times = [OPEN_AT_S + n / 4 for n in range(int((END_S - OPEN_AT_S - 2) * 4))]
    back = next((at for at in times if sum(at <= x < at + 2 and ok for x, ok in served) >= wanted), END_S)
    return back - OPEN_AT_S, rejected / RUNS, statistics.mean(rate_variation)


def _recovery_shares(job: tuple[int, bool]) -> tuple[tuple[int, int], tuple[int, int], int]:
    seed, reinstates = job
    with with_reinstatement(reinstates):
        report = run_plan(PLAN_GENERATORS["mixed"](seed))
    return report.since_last_fault, report.after_recovery, len(report.breaches)


def print_seeds(seeds: int, jobs: int) -> None:
    """Served over permitted, of the universes in which enough was permitted to tell."""
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for name, reinstates in (("before", False), ("now", True)):
            results = list(
                pool.map(_recovery_shares, [(seed, reinstates) for seed in range(seeds)], chunksize=10)
            )
            broken = sum(breaches > 0 for *_, breaches in results)
            since_last_fault, after_recovery = [end[0] for end in results], [end[1] for end in results]
            for since, pairs in (("the last fault", since_last_fault), ("ten seconds later", after_recovery)):
                shares = sorted(served / permitted for served, permitted in pairs if permitted >= 16)
                parts = (
                    f"{shares[len(shares) // 20]:.2f} | {shares[len(shares) // 100]:.2f} | {shares[0]:.2f}"
                )
                median = f"{statistics.median(shares):.2f}"
                print(f"| {name} | {since} | {len(shares)} | {median} | {parts} | {broken} |")


def main(seeds: int, jobs: int) -> None:
    """Measure and tell."""
    print("| forwarders | demand | limit | | 90% in time after | refused after, a run | variation |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for forwarders, rate, limit in CASES:
        for name, reinstates in (("before", False), ("now", True)):
            with with_reinstatement(reinstates):
                after, rejected, rate_variation = recovery_figures(forwarders, rate, limit)
            case = f"{forwarders} | {rate:g} | {limit:g} | {name}"
            print(f"| {case} | {after:.1f} s | {rejected:.1f} | {rate_variation:.2f} |")
    print(f"\n| {seeds} seeds | from | that tell | median | 5th percentile | 1st | least | broken |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    print_seeds(seeds, jobs)


if __name__ == "__main__":
    main(*(int(value) for value in [*sys.argv[1:], *("1000", "8")[len(sys.argv) - 1 :]]))
