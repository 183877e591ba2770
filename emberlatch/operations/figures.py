"""The figures under the operators' names, read from the one set of counters."""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.engine import Tally

ENDS = {
    "success": ("delivered", "late"),
    "overload": ("turned away", "no room", "bounced"),
    "error": ("failed at once", "dead", "over"),
}
"""Each message that ended is in one of these, by what the counters call its end."""


def figures(
    tally: Tally, categories: Iterable[str], concurrent: int, targets: int, targets_disabled: int
) -> str:
    """One `app.NAME=VALUE` a line: every class that may be handed in, or of which something was counted."""
    told: dict[str, int] = {}
    for category in dict.fromkeys([*categories, *sorted(tally.categories())]):
        for name, ends in ENDS.items():
            told[f"{name}.{category}"] = sum(tally.total(end, category) for end in ends)
    told["dispatches"] = tally.total("dispatches")
    told["concurrent"] = concurrent
    told["targets"] = targets
    told["targets_disabled"] = targets_disabled
    told["reload_success"] = tally.total("reload_success")
    told["reload_failure"] = tally.total("reload_failure")
    return "".join(f"app.{name}={value}\n" for name, value in told.items())
