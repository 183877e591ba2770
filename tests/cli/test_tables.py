"""Tables fit on a terminal of 80 columns without truncated cells."""

from __future__ import annotations

import pytest
from rich.console import Console

from emberlatch.cli.demo_tables import progress_table, show_summary
from emberlatch.demo import DemoPhase, DemoStatistics, Progress

COLUMNS = ("partner", "part", "sent", "in time", "late", "refused", "failed", "median")


def statistics() -> DemoStatistics:
    made = DemoStatistics(["harbour-mobile", "savanna-bank"], "harbour-mobile", latency_target_s=1.0)
    for n in range(3000):
        phase = list(DemoPhase)[n // 1000]
        made.record_submission(f"{n}", "harbour-mobile", phase, 0.0)
        state = "delivered" if n % 3 else "refused"
        made.record_outcome(
            f"{n}", state, 12.345, "rejected at once: no capacity" if n % 2 else "its deadline passed"
        )
    return made


def test_the_summary_of_a_demonstration_fits_and_lists_rejection_reasons(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "80")
    show_summary(statistics().summary())
    text = capsys.readouterr().out
    assert "\u2026" not in text and max(map(len, text.splitlines())) <= 80
    assert all(cell in text for cell in (*COLUMNS, "harbour-mobile", "savanna-bank", "12345 ms"))
    assert "harbour-mobile: 500 refused, rejected at once: no capacity" in text


def test_the_live_table_of_a_demonstration_fits_80_columns() -> None:
    routes = [{"state": state} for state in ("serving", "serving", "held", "returning")]
    status = {"pools": [{"partner": "harbour-mobile", "leases": 12, "routes": routes}]}
    console = Console(width=80, record=True, file=open("/dev/null", "w"))  # noqa: SIM115
    console.print(progress_table(Progress(12.0, 30.0, DemoPhase.DURING, statistics(), status)))
    text = console.export_text()
    assert "\u2026" not in text and "2 serving, 1 held" in " ".join(text.split())
