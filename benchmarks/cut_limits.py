"""Measures the use of a partner's rate limit before, during and after a network partition.

    python -m benchmarks.cut_limits [--sizes 3,5]

Runs real processes, each of which is offered more messages than its share of the limit allows. The partner
accepts 2 x 24 calls per second. In mode `parts`, the fleet divides the limit among its members. In mode
`alone`, the same program runs without a fleet, and each process uses the full limit.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from emberlatch.storm import EventKind, Fault, FaultKind, History, Plan, check_history, play_plan
from emberlatch.storm.partners import P1_CALLS_PER_S

DURATION_S = 24.0
PARTITION_S, HEALED_S = 8.0, 16.0  # begin and end of the partition, in seconds since the start
FIRST_CALLS_S = 4.0  # start of the measurement; the quota shares are still growing until then
DETECTION_S = 4.0  # time for both sides to detect the partition
RECOVERED_SHARE = 0.95  # share of the call rate before the partition that counts as recovered
STEP_S = 0.1  # step of the search for the time of recovery
PARTNER_LIMIT_PER_S = 2 * P1_CALLS_PER_S  # limit of both endpoints together
OFFERED_PER_S = 60.0  # messages per second submitted to each process


def member_names(size: int) -> list[str]:
    """Return the names of the members of a storm run."""
    return [f"f{number}" for number in range(size)]


def partition(size: int) -> tuple[Fault, ...]:
    """Return a partition that separates the smaller half of the members: two of five, or one of three."""
    names = member_names(size)
    smaller, larger = tuple(names[: size // 2]), tuple(names[size // 2 :])
    fault = Fault(
        PARTITION_S, FaultKind.PARTITION, smaller, until=HEALED_S, destinations=larger, bidirectional=True
    )
    return (fault,)


class PartnerCalls:
    """The calls that partner p1 received, in order of time."""

    def __init__(self, history: History) -> None:
        calls = [event for event in history.of_kind(EventKind.CALL_STARTED) if event.source.startswith("p1")]
        answers = [
            event for event in history.of_kind(EventKind.CALL_ANSWERED) if event.source.startswith("p1")
        ]
        self._calls = sorted((event.at, event.member) for event in calls)
        self.rejected = sum(event.payload["status"] in (429, 503) for event in answers)

    def __len__(self) -> int:
        return len(self._calls)

    def max_in_any_second(self) -> int:
        """Return the largest number of calls within any second."""
        maximum, first = 0, 0
        for index, (at, _) in enumerate(self._calls):
            while self._calls[first][0] <= at - 1.0:
                first += 1
            maximum = max(maximum, index - first + 1)
        return maximum

    def used(self, since: float, until: float, members: set[str] | None = None) -> float:
        """Return the share of the limit that the given members (default: all) used in a time span."""
        count = sum(since <= at < until and (members is None or name in members) for at, name in self._calls)
        return count / (until - since) / PARTNER_LIMIT_PER_S

    def recovery_s(self) -> float:
        """Return the seconds from the end of the partition until the rate recovers, or NaN if it doesn't."""
        recovered_use = RECOVERED_SHARE * self.used(FIRST_CALLS_S, PARTITION_S)
        for step in range(round(HEALED_S / STEP_S), round(DURATION_S / STEP_S)):
            if self.used(step / 10, step / 10 + 1.0) >= recovered_use:
                return step / 10 - HEALED_S
        return float("nan")


def report(history: History, size: int) -> list[str]:
    """Return the report lines of one storm run."""
    calls = PartnerCalls(history)
    smaller = set(member_names(size)[: size // 2])
    during = PARTITION_S + DETECTION_S, HEALED_S
    return [
        f"calls {len(calls)}, rejected {calls.rejected}, maximum in any second {calls.max_in_any_second()}"
        f" of {PARTNER_LIMIT_PER_S:.0f}",
        f"share of the limit used: before {calls.used(FIRST_CALLS_S, PARTITION_S):.2f};"
        f" during the partition {calls.used(*during):.2f},"
        f" of which the smaller side {calls.used(*during, smaller):.2f};"
        f" after {calls.used(20, DURATION_S):.2f}",
        f"recovered to 95% of the initial rate after {calls.recovery_s():.1f} s;"
        f" breaches {len(check_history(history))}",
    ]


def main() -> None:
    """Print the report of each fleet size and mode."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,5")
    for size in map(int, parser.parse_args().sizes.split(",")):
        for mode in ("parts", "alone"):
            rate = OFFERED_PER_S * size
            plan = Plan(1, size, DURATION_S, rate, partition(size), fleet_enabled=mode == "parts")
            with tempfile.TemporaryDirectory() as folder:
                history = asyncio.run(play_plan(plan, Path(folder) / "fleet"))
            print(f"{size} members, {mode}", *report(history, size), sep="\n  ", flush=True)


if __name__ == "__main__":
    main()
