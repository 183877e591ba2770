"""Reports of a storm for people: a table of outcomes, the events around a breach, and a chart with the faults
below the messages."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from emberlatch.storm.breach import Breach
from emberlatch.storm.history import RUNNER, EventKind, History, HistoryEvent
from emberlatch.storm.message_rules import submitted_messages

QUANTILES = (50.0, 90.0, 99.0)
REJECTED = "rejected"
REJECTION_STATUSES = (429, 503)
COLOURS = {"delivered": "tab:green", "refused": "tab:orange", "failed": "tab:red", REJECTED: "tab:gray"}
COUNTED_EVENTS = (
    EventKind.FAULT_BEGAN,
    EventKind.KILLED,
    EventKind.SUSPENDED,
    EventKind.PROCESS_STARTED,
)
BREACH_MARGIN_S = 0.5
MIN_BAR_S = 0.15


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """The time at which a message was submitted, its final state, and the seconds until it had that state."""

    at: float
    state: str
    took_s: float


def submission_results(history: History) -> Iterator[SubmissionResult]:
    """Return the results of all submissions that have an outcome or were rejected."""
    outcomes = {event.payload["id"]: event for event in history.of_kind(EventKind.OUTCOME)}
    answers = {event.payload["id"]: event for event in history.of_kind(EventKind.SUBMISSION_ANSWERED)}
    for message in submitted_messages(history):
        at, answer, outcome = message.submitted_at, answers.get(message.id), outcomes.get(message.id)
        if outcome is not None:
            yield SubmissionResult(at, outcome.payload["state"], outcome.at - at)
        elif answer is not None and answer.payload["status"] in REJECTION_STATUSES:
            yield SubmissionResult(at, REJECTED, answer.at - at)


def render_table(history: History) -> str:
    """Return a table of outcomes with quantiles of their times in ms, and of the counts of faults.

    A line has at most 80 columns.
    """
    from hdrh.histogram import HdrHistogram

    histograms: dict[str, HdrHistogram] = {}
    for result in submission_results(history):
        histogram = histograms.setdefault(result.state, HdrHistogram(1, 60_000, 3))
        histogram.record_value(max(1, round(result.took_s * 1000)))
    lines = [f"{'outcome':<12} {'messages':>9} " + " ".join(f"{f'p{q:g} ms':>9}" for q in QUANTILES)]
    for state, histogram in sorted(histograms.items()):
        quantiles = " ".join(f"{histogram.get_value_at_percentile(q):>9}" for q in QUANTILES)
        lines.append(f"{state:<12} {histogram.get_total_count():>9} {quantiles}")
    # The runner kills all processes after COMPLETED; these events are not counted.
    completed_at = history.last_time_of(EventKind.COMPLETED, float("inf"))
    counts = Counter(
        event.kind for event in history.events if event.source == RUNNER and event.at < completed_at
    )
    lines.append(", ".join(f"{counts[kind]} {kind}" for kind in COUNTED_EVENTS))
    return "\n".join(lines)


def events_around(history: History, breach: Breach, margin_s: float = BREACH_MARGIN_S) -> list[HistoryEvent]:
    """Return the events within `margin_s` of a breach that concern its subjects or come from the runner."""
    begin = bisect.bisect_left([event.at for event in history.events], breach.at - margin_s)
    sources = {*breach.subjects, RUNNER}
    found = []
    for event in history.events[begin:]:
        if event.at > breach.at + margin_s:
            break
        if event.source in sources or event.payload.get("member") in sources:
            found.append(event)
    return found


def render_breach(history: History, breach: Breach) -> str:
    """Return the text of a breach, the plan, and the events around the breach, grouped by source."""
    lines = [str(breach), "", history.plan.to_toml(), "around it:"]
    by_source = sorted(events_around(history, breach), key=lambda event: (event.source, event.at))
    return "\n".join([*lines, *(f"  {event}" for event in by_source)])


def save_chart(history: History, path: Path) -> None:
    """Save a chart of the messages per second by outcome, with the faults below, as PNG, SVG or PDF."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = int(max((event.at for event in history.events), default=0.0)) + 1
    counts = {state: [0] * seconds for state in COLOURS}
    for result in submission_results(history):
        counts[result.state][max(0, min(seconds - 1, int(result.at)))] += 1
    figure, (above, below) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 6), height_ratios=(2, 1))
    bottom = [0] * seconds
    for state, colour in COLOURS.items():
        above.bar(range(seconds), counts[state], 0.9, bottom, align="edge", color=colour, label=state)
        bottom = [a + b for a, b in zip(bottom, counts[state], strict=True)]
    above.set_ylabel("messages submitted, by outcome")
    above.legend(loc="upper right", fontsize=8)
    for row, fault in enumerate(history.plan.faults):
        below.barh(row, max(MIN_BAR_S, fault.end - fault.at), left=fault.at, color="tab:blue", alpha=0.6)
        below.text(fault.end + 0.2, row, str(fault), va="center", fontsize=7)
    below.set_yticks([])
    below.set_xlabel(f"seconds of the storm of seed {history.plan.seed}, {history.plan.member_count} members")
    below.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
