"""Checks one history against all rules, without I/O: a saved history can be checked without a new storm."""

from __future__ import annotations

from emberlatch.storm.breach import Breach
from emberlatch.storm.history import History
from emberlatch.storm.membership_rules import check_membership
from emberlatch.storm.message_rules import check_messages


def check_history(history: History) -> list[Breach]:
    """Return all breaches, ordered by time."""
    return sorted([*check_messages(history), *check_membership(history)], key=lambda breach: breach.at)
