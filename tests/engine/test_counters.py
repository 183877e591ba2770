"""The `sums` line in the log, and adding up these lines over the logs of a fleet."""

from __future__ import annotations

import json
from pathlib import Path

from benchmarks.fleet_logs import RESULTS, Sums, read
from emberlatch.core.interface import Result
from emberlatch.engine import Counters
from emberlatch.engine.counters import MAX_LINE_TARGETS
from emberlatch.operations.metrics import render_metrics


def test_a_line_contains_only_the_counts_since_the_last_line() -> None:
    counters = Counters()
    assert counters.interval_line(50.0) is None  # nothing was counted
    counters.count("accepted", by=2)
    counters.count_target(b"t", "calls")
    counters.count_target(b"t", "ok", 3)
    line = json.loads(counters.interval_line(50.5) or "")
    assert line["all"] == {"accepted": 2} and line["targets"] == {"t": {"calls": 1, "ok": 3}}
    counters.count("accepted")
    assert counters.interval_line(51.4) is None  # less than a second later
    line = json.loads(counters.interval_line(51.6) or "")
    assert line == {"for": 1.1, "all": {"accepted": 1}, "targets": {}}


def test_log_line_metrics_and_totals_agree() -> None:
    counters = Counters()
    for category in ("payout", "payout", "order"):
        counters.count("delivered", category)
    assert json.loads(counters.interval_line(9.0) or "")["all"] == counters.totals() == {"delivered": 3}
    line = render_metrics(counters, ["payout", "note"], 0, 0, 0)
    assert "app.success.payout=2\n" in line and "app.success.note=0\n" in line
    assert "app.success.order=1\n" in line  # this class is not configured any more


def test_a_line_with_many_targets_contains_only_those_with_the_highest_counts() -> None:
    counters = Counters()
    for number in range(3 * MAX_LINE_TARGETS):
        counters.count_target(f"t{number}".encode(), "ok", number)
    line = json.loads(counters.interval_line(10.0) or "")["targets"]
    assert len(line) == MAX_LINE_TARGETS and f"t{3 * MAX_LINE_TARGETS - 1}" in line and "t1" not in line


def test_the_counts_in_the_logs_of_a_fleet_are_added_up(tmp_path: Path) -> None:
    start = "2026-01-01 00:00:00,000 INFO emberlatch.engine.engine:"
    for number in (1, 2):
        counters = Counters()
        counters.count("accepted", by=number)
        counters.count_target(b"t", "full", number)
        lines = [f"1.500 {start} sums {counters.interval_line(9.0)}"]
        lines += [f"2.100 {start} destination 4 (74): held after full", "no line of ours"]
        (tmp_path / f"n{number}.log").write_text("\n".join(lines))
    sums = Sums()
    for at, text in read(tmp_path):
        sums.add(at, text)
    assert sums.totals[1] == {"accepted": 3} and sums.targets["t"][1] == {"full": 3}
    assert sums.notes[2] == {"held after full": 2}
    rows = list(sums.table())
    assert len(rows) == 2 and rows[1].split()[:2] == ["1", "3"]


def test_the_table_has_a_column_for_each_result_except_cancelled() -> None:
    assert {result.name.lower() for result in Result} - set(RESULTS) == {"cancelled"}
