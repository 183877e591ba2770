"""All rules on one history."""

from __future__ import annotations

from emberlatch.storm import checks, views
from emberlatch.storm.checks import Breach
from emberlatch.storm.history import History


def judge(history: History) -> list[Breach]:
    """All breaches, the first first."""
    return sorted([*checks.judge(history), *views.judge(history)], key=lambda breach: breach.at)
