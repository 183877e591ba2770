"""Compares two clients of an overloaded directory service: `python -m benchmarks.directory [seeds] [jobs]`.

Plays release plans (`emberlatch faults run --plans release`) with the product's client and with the plain
client that it replaced. Prints for 1, 3 and 10 forwarders: the runs that broke the rule on drains, the calls
per second from each forwarder to the service, and the time until a change was reported. The table also shows
the minimum of that time, which is the duration of one call to a running service.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from dataclasses import dataclass, field
from multiprocessing import get_context
from typing import Any
from unittest.mock import patch

from emberlatch.directory import CancelRequest, Failure, RequestContent, SendRequest
from emberlatch.faults import FaultKind, Report, TraceEvent, draw_release, run_plan

SIZES = (1, 3, 10)


class PlainClient:
    """A client with watches of 5 s that time out 1.8 s later, and a back-off that doubles from 0.5 to 4 s."""

    def __init__(self, seed: int, callers: int = 1) -> None:
        self.revision: int | None = None
        self._wanted, self._backoff_s, self._ask_at = False, 0.5, -math.inf
        self._number, self._timeout_at = 0, math.inf
        self._in_flight: int | None = None
        self._drops: list[SendRequest | CancelRequest] = []

    def start_from(self, now: float, revision: int) -> None:
        """Start from the list of this revision."""
        self.revision = revision

    def watch(self, active: bool) -> None:
        """Start or stop the watch."""
        self._wanted = active

    def look_up(self) -> None:
        """Do nothing: look-ups are not part of this benchmark."""

    def change_address(self, now: float) -> None:
        """Handle a move of the service to another address: drop the call, and ask for the full list."""
        if self._in_flight is not None:
            self._drops.append(CancelRequest(self._in_flight))
        self.revision, self._in_flight, self._ask_at, self._backoff_s = None, None, now, 0.5

    def on_answer(self, now: float, call: int, revision: int, is_complete: bool) -> bool:
        """Accept any response to the current call."""
        if call != self._in_flight:
            return False
        self.revision, self._in_flight, self._ask_at, self._backoff_s = revision, None, now + 0.05, 0.5
        return True

    def on_failure(self, now: float, call: int, failure: Failure, retry_after: float = 0.0) -> bool:
        """Handle a failed call: schedule the next one, and double the back-off."""
        if call != self._in_flight:
            return False
        self._in_flight, self._ask_at, self._backoff_s = (
            None,
            now + self._backoff_s,
            min(4.0, 2 * self._backoff_s),
        )
        return True

    def take_actions(self, now: float) -> list[SendRequest | CancelRequest]:
        """Return the calls to make and to drop at this time."""
        done, self._drops = self._drops, []
        if self._in_flight is not None and now >= self._timeout_at:
            done.append(CancelRequest(self._in_flight))
            self.on_failure(now, self._in_flight, Failure.NO_VALID_ANSWER)
        if self._wanted and self._in_flight is None and now >= self._ask_at:
            self._number += 1
            wait = 0.0 if self.revision is None else 5.0
            self._in_flight, self._timeout_at = self._number, now + wait + 1.8
            done.append(SendRequest(self._number, RequestContent(self.revision, wait), False))
        return done

    @property
    def due(self) -> float:
        """Return the time at which `take_actions` has something to do."""
        if self._drops:
            return -math.inf
        return self._timeout_at if self._in_flight is not None else self._ask_at if self._wanted else math.inf

    def overdue(self, now: float) -> bool:
        """Return False: this client doesn't track overdue calls."""
        return False


@dataclass
class Figures:
    """Figures added up over many runs."""

    played: int = 0
    broken_drains: int = 0
    calls_per_s: float = 0.0  # calls of each forwarder, added up over the runs
    # Seconds from a change until it was reported, beyond the minimum.
    delays_over_least: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    least_delays: list[float] = field(default_factory=list)


def delays(report: Report) -> Iterator[tuple[float, float]]:
    """Yield delay and minimum delay of the report of each list change by each forwarder that was not stopped.

    Both are in seconds since the change.
    """
    names = [f"f{n}" for n in range(report.plan.forwarder_count)]
    stopped = {entry.details[0] for entry in report.trace if entry.event is TraceEvent.DOWN}
    first_up = max((entry.at for entry in report.trace if entry.event is TraceEvent.READY), default=0.0)
    changes = [
        (entry.at, entry.details[0], entry.details[1])
        for entry in report.trace
        if entry.event is TraceEvent.LISTED and entry.at > 1.0
    ]
    for number, (at, endpoint, phase) in enumerate(changes):
        later_changes = [c[0] for c in changes[number + 1 :] if c[1] == endpoint]
        if at < first_up and not stopped:
            continue
        for forwarder in names:
            if forwarder in stopped:
                continue
            reported_at = next(
                (
                    entry.at
                    for entry in report.trace
                    if entry.event is TraceEvent.LIST_SENT
                    and entry.details[0] == forwarder
                    and entry.at >= at
                    and f"{endpoint}={phase}" in entry.details
                ),
                math.inf,
            )
            # A change that was not reported before the next one of the same endpoint has been superseded.
            if reported_at < min(later_changes, default=math.inf):
                yield reported_at - at, _least_delay(report, at)


def _least_delay(report: Report, at: float) -> float:
    """Return the seconds until an otherwise idle service could report a change at that time."""
    ready, work = at, 0.0
    for fault in report.plan.faults:
        if fault.until is None or not fault.since <= at < fault.until:
            continue
        if fault.kind == FaultKind.DIRECTORY_DOWN:
            ready = max(ready, fault.until)
        elif fault.kind == FaultKind.DIRECTORY_BUSY:
            work += float(fault.argument) * 1.05
        elif fault.kind == FaultKind.DIRECTORY_LATE:
            work += 1.5
    return ready - at + work


def measure(seed: int, plain: bool) -> tuple[int, bool, float, list[tuple[float, float]]]:
    """Play one release plan; return forwarders, whether it broke a drain, calls/s of each, and delays."""
    with patch("emberlatch.net.directory_membership.Client", PlainClient) if plain else nullcontext():
        report = run_plan(draw_release(seed))
    broken_drains = any(breach.rule == "drains" for breach in report.breaches)
    requests = sum(entry.event is TraceEvent.POLL for entry in report.trace)
    size = report.plan.forwarder_count
    return size, broken_drains, requests / report.plan.duration_s / size, list(delays(report))


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else math.nan


def main(seeds: int, jobs: int) -> None:
    """Print a table row for each number of forwarders and each client."""
    column_names = (
        "forwarders",
        "client",
        "runs",
        "drains broken",
        "calls/s each",
        "reported after",
        "p99",
        "minimum",
    )
    print("| " + " | ".join(column_names) + " |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    rows: dict[tuple[int, bool], Figures] = {
        (size, plain): Figures() for size in SIZES for plain in (True, False)
    }
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for plain in (True, False):
            results: list[Any] = list(pool.map(measure, range(seeds), [plain] * seeds, chunksize=10))
            for size, broken_drains, calls_per_s, found in results:
                row = rows[size, plain]
                row.played, row.broken_drains, row.calls_per_s = (
                    row.played + 1,
                    row.broken_drains + broken_drains,
                    row.calls_per_s + calls_per_s,
                )
                row.delays += [delay for delay, _ in found]
                row.least_delays += [least for _, least in found]
    for (size, plain), row in rows.items():
        name = "plain client" if plain else "product's client"
        print(
            f"| {size} | {name} | {row.played} | {row.broken_drains} | "
            f"{row.calls_per_s / max(row.played, 1):.2f} | "
            f"{_percentile(row.delays, 0.5):.2f} s | {_percentile(row.delays, 0.99):.2f} s | "
            f"{_percentile(row.least_delays, 0.5):.2f}, p99 {_percentile(row.least_delays, 0.99):.2f} s |"
        )


if __name__ == "__main__":
    main(*(int(value) for value in [*sys.argv[1:], *("300", "8")[len(sys.argv) - 1 :]]))
