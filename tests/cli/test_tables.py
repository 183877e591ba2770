"""Tables on a terminal of 80 columns: nothing is cut."""

from __future__ import annotations

import pytest
from rich.console import Console

from emberlatch.cli import tables
from emberlatch.demo import Account, Progress

COLUMNS = ("partner", "part", "sent", "in time", "late", "refused", "failed", "median")


def account() -> Account:
    made = Account(["harbour-mobile", "savanna-bank"], "harbour-mobile", aim=1.0)
    for n in range(3000):
        part = ("before", "during", "after")[n // 1000]
        made.sent(f"{n}", "harbour-mobile", part, 0.0)
        state = "delivered" if n % 3 else "refused"
        made.ended(f"{n}", state, 12.345, "turned away at once: no room" if n % 2 else "its time was over")
    return made


def test_the_summary_of_a_demonstration_fits_and_says_why(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "80")
    tables.show_summary(account().summary())
    told = capsys.readouterr().out
    assert "\u2026" not in told and max(map(len, told.splitlines())) <= 80
    assert all(word in told for word in (*COLUMNS, "harbour-mobile", "savanna-bank", "12345 ms"))
    assert "harbour-mobile: 500 refused, turned away at once: no room" in told


def test_the_live_table_of_a_demonstration_fits() -> None:
    routes = [{"state": state} for state in ("serving", "serving", "held", "returning")]
    status = {"pools": [{"partner": "harbour-mobile", "leases": 12, "routes": routes}]}
    console = Console(width=80, record=True, file=open("/dev/null", "w"))  # noqa: SIM115
    console.print(tables.progress_table(Progress(12.0, 30.0, "during", account(), status)))
    told = console.export_text()
    assert "\u2026" not in told and "2 serving, 1 held" in " ".join(told.split())
