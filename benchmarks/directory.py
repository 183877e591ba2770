"""How a directory is asked while it is overloaded: `python -m benchmarks.directory [seeds] [jobs]`.

Plays releases (`emberlatch faults run --plans release`) with the product's client and with the plain one
that it replaced, in one run, and prints for 1, 3 and 10 forwarders: runs in which a drain was broken, calls
to the service a second from each forwarder, and how long it took until a change was reported, beside the
least possible: the work of one call at a service that is up.
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
    """Watches of 5 s, a call given up 1.8 s later, pauses of 0.5 s doubled up to 4 s by each failure."""

    def __init__(self, seed: int, callers: int = 1) -> None:
        self.revision: int | None = None
        self._wanted, self._pause, self._ask_at = False, 0.5, -math.inf
        self._number, self._quiet = 0, math.inf
        self._out: int | None = None
        self._dropped: list[SendRequest | CancelRequest] = []

    def start_from(self, now: float, revision: int) -> None:
        """Start from that list."""
        self.revision = revision

    def watch(self, active: bool) -> None:
        """Go on, or stop."""
        self._wanted = active

    def look_up(self) -> None:
        """Not played here."""

    def change_address(self, now: float) -> None:
        """The service is elsewhere."""
        if self._out is not None:
            self._dropped.append(CancelRequest(self._out))
        self.revision, self._out, self._ask_at, self._pause = None, None, now, 0.5

    def on_answer(self, now: float, call: int, revision: int, is_complete: bool) -> bool:
        """Every answer is believed."""
        if call != self._out:
            return False
        self.revision, self._out, self._ask_at, self._pause = revision, None, now + 0.05, 0.5
        return True

    def on_failure(self, now: float, call: int, failure: Failure, retry_after: float = 0.0) -> bool:
        """Rest, the longer the more often."""
        if call != self._out:
            return False
        self._out, self._ask_at, self._pause = None, now + self._pause, min(4.0, 2 * self._pause)
        return True

    def take_actions(self, now: float) -> list[SendRequest | CancelRequest]:
        """What is to be done."""
        done, self._dropped = self._dropped, []
        if self._out is not None and now >= self._quiet:
            done.append(CancelRequest(self._out))
            self.on_failure(now, self._out, Failure.NO_VALID_ANSWER)
        if self._wanted and self._out is None and now >= self._ask_at:
            self._number += 1
            wait = 0.0 if self.revision is None else 5.0
            self._out, self._quiet = self._number, now + wait + 1.8
            done.append(SendRequest(self._number, RequestContent(self.revision, wait), False))
        return done

    @property
    def due(self) -> float:
        """When `take_actions` has something to do."""
        if self._dropped:
            return -math.inf
        return self._quiet if self._out is not None else self._ask_at if self._wanted else math.inf

    def overdue(self, now: float) -> bool:
        """It keeps no account."""
        return False


@dataclass
class Figures:
    """What is counted over many universes."""

    played: int = 0
    broken_drains: int = 0
    calls_per_s: float = 0.0  # a second, of each forwarder
    delays_over_least: list[float] = field(
        default_factory=list
    )  # seconds from a change until it was reported, over the least
    delays: list[float] = field(default_factory=list)
    least_delays: list[float] = field(default_factory=list)


def delays(report: Report) -> Iterator[tuple[float, float]]:
    """For each change of the list and each forwarder that was not stopped: seconds until it was reported, and
    the least."""
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
            if reported_at < min(later_changes, default=math.inf):  # else another change has taken its place
                yield reported_at - at, _least_delay(report, at)


def _least_delay(report: Report, at: float) -> float:
    """Seconds until a service that has nothing else to do could tell what changed at that time."""
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
    """Play one release: forwarders, whether a drain was broken, calls a second of each, delays."""
    with patch("emberlatch.net.directory_membership.Client", PlainClient) if plain else nullcontext():
        report = run_plan(draw_release(seed))
    broken_drains = any(breach.rule == "drains" for breach in report.breaches)
    requests = sum(entry.event is TraceEvent.POLL for entry in report.trace)
    size = report.plan.forwarder_count
    return size, broken_drains, requests / report.plan.duration_s / size, list(delays(report))


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else math.nan


def main(seeds: int, jobs: int) -> None:
    """A row for each size and client."""
    column_names = (
        "forwarders",
        "client",
        "universes",
        "drains broken",
        "calls/s each",
        "known after",
        "p99",
        "least",
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
        name = "plain, as before" if plain else "the machine"
        print(
            f"| {size} | {name} | {row.played} | {row.broken_drains} | "
            f"{row.calls_per_s / max(row.played, 1):.2f} | "
            f"{_percentile(row.delays, 0.5):.2f} s | {_percentile(row.delays, 0.99):.2f} s | "
            f"{_percentile(row.least_delays, 0.5):.2f}, p99 {_percentile(row.least_delays, 0.99):.2f} s |"
        )


if __name__ == "__main__":
    main(*(int(value) for value in [*sys.argv[1:], *("300", "8")[len(sys.argv) - 1 :]]))
