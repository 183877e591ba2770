"""The tables of a demonstration; they fit on 80 columns."""

from __future__ import annotations

from collections import Counter

from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from emberlatch.demo import DemoPhase, PhaseSummary, Progress, Summary

NO_MESSAGES: PhaseSummary = {
    "sent": 0, "service": 1.0, "late": 0, "refused": {}, "failed": 0, "median": 0.0,
}  # fmt: skip
TEXT_COLUMNS = ("partner", "part")
"""Columns that are aligned to the left; all others are numbers."""


def _narrow_table(*columns: str, title: str = "") -> Table:
    """Create a table whose cells are not truncated on 80 columns."""
    table = Table(box=SIMPLE_HEAD, pad_edge=False, title=title or None)
    for column in columns:
        table.add_column(column, justify="left" if column in TEXT_COLUMNS else "right", no_wrap=True)
    return table


def progress_table(progress: Progress) -> Table:
    """Build the live table of a running demonstration."""
    broken = progress.statistics.broken
    state = {
        DemoPhase.BEFORE: "all partners are well",
        DemoPhase.DURING: f"{broken} hangs",
        DemoPhase.AFTER: f"{broken} is back, cold",
    }[progress.phase]
    title = f"{min(progress.elapsed, progress.total):4.0f} of {progress.total:.0f} s: {state}"
    table = _narrow_table("partner", "sent", "in time", "refused", "median", "leases", title=title)
    table.add_column("routes")
    pools = {pool["partner"]: pool for pool in progress.status.get("pools", ())}
    for name, phases in progress.statistics.partners.items():
        tally = phases.get(progress.phase)
        if tally is None:
            continue
        pool = pools.get(name, {"leases": 0, "routes": []})
        states = Counter(route["state"] for route in pool["routes"])
        table.add_row(
            name,
            str(tally.sent),
            f"{tally.in_time_share:.0%}",
            str(tally.rejected),
            f"{tally.median_latency_s * 1000:.0f} ms",
            str(pool["leases"]),
            ", ".join(f"{count} {state}" for state, count in states.items()),
        )
    return table


def show_summary(summary: Summary) -> None:
    """Print a row for each partner and phase, then why messages were refused, and the verdict."""
    console = Console()
    console.print(_summary_table(summary))
    for name, phases in summary.partners.items():
        reasons = sum((Counter(tally["refused"]) for tally in phases.values()), Counter[str]())
        for reason, count in reasons.most_common():
            console.print(f"{name}: {count} refused, {reason}")
    console.print(
        f"While {summary.broken} hung, the others had {summary.others_during:.1%} of their messages in time, "
        f"after {summary.others_before:.1%} before. "
        f"{summary.unanswered} messages without an answer, {summary.answered_twice} answered twice."
    )
    console.print("The break was contained." if summary.contained else "The break was NOT contained.")


def _summary_table(summary: Summary) -> Table:
    table = _narrow_table("partner", "part", "sent", "in time", "late", "refused", "failed", "median")
    last_phase = list(DemoPhase)[-1]
    for name, phases in summary.partners.items():
        for phase in DemoPhase:
            tally = phases.get(phase, NO_MESSAGES)
            table.add_row(
                name if phase is DemoPhase.BEFORE else "",
                phase,
                str(tally["sent"]),
                f"{tally['service']:.0%}",
                str(tally["late"]),
                str(sum(tally["refused"].values())),
                str(tally["failed"]),
                f"{tally['median'] * 1000:.0f} ms",
                end_section=phase is last_phase,
            )
    return table
