"""The metrics of `GET /ops/stats`, derived from the counters of the process."""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.engine import Counters

COUNTERS_BY_OUTCOME = {
    "success": ("delivered", "late"),
    "overload": ("rejected", "journal full", "bounced"),
    "error": ("failed at submission", "dead", "closed by target"),
}
"""For each outcome of a message, the names in `Counters` whose values are added up.

A message has exactly one outcome.
"""


def render_metrics(
    counters: Counters, categories: Iterable[str], concurrent: int, targets: int, targets_disabled: int
) -> str:
    """Render one `app.NAME=VALUE` per line.

    The outcomes are rendered for each class of messages in the settings and each class that has counters.

    `concurrent` is the number of messages without an outcome. `targets` is the number of targets, and
    `targets_disabled` the number of those that get no messages at the moment.
    """
    metrics: dict[str, int] = {}
    for category in dict.fromkeys([*categories, *sorted(counters.categories())]):
        for outcome, names in COUNTERS_BY_OUTCOME.items():
            metrics[f"{outcome}.{category}"] = sum(counters.total(name, category) for name in names)
    metrics["dispatches"] = counters.total("dispatches")
    metrics["concurrent"] = concurrent
    metrics["targets"] = targets
    metrics["targets_disabled"] = targets_disabled
    metrics["reload_success"] = counters.total("reload_success")
    metrics["reload_failure"] = counters.total("reload_failure")
    return "".join(f"app.{name}={value}\n" for name, value in metrics.items())
