"""Explores every order of steps that can happen to a message in three stores; see `orders`."""

from __future__ import annotations

from collections.abc import Callable

from ward import test

from emberlatch.cluster.message_store import MessageState, Record
from tests.cluster.orders import explore


@test("no order of up to fourteen steps over three stores breaks a rule")
def _() -> None:
    count, broken = explore(14)
    assert count > 10_000 and not broken, f"explored {count} states, broken rules: {sorted(broken)}"


def rules_broken_by(name: str, bug: Callable[..., bool]) -> set[str]:
    """Return the rules that are broken if `bug` replaces the method of `Record` with this name."""
    original = getattr(Record, name)
    setattr(Record, name, bug)
    try:
        return explore(9)[1]
    finally:
        setattr(Record, name, original)


@test(
    "a faulty merge breaks a rule: final states are undone, cancellations override epochs, or epochs are ignored"
)
def _() -> None:
    def last_wins(
        self: Record, state: MessageState, seal: str, epoch: int, owner: str, attempts: int
    ) -> bool:
        self.state, self.epoch, self.owner = state, epoch, owner
        return True

    def cancellation_overrides_epoch(
        self: Record, state: MessageState, seal: str, epoch: int, owner: str, attempts: int
    ) -> bool:
        if (int(state), epoch, owner) > (int(self.state), self.epoch, self.owner):
            self.state, self.epoch, self.owner = state, epoch, owner
        return True

    def first_wins(
        self: Record, state: MessageState, seal: str, epoch: int, owner: str, attempts: int
    ) -> bool:
        return False

    for bug in (last_wins, cancellation_overrides_epoch, first_wins):
        assert rules_broken_by("merge", bug), bug.__name__


@test("a second acceptance that does not probe the first store breaks the rule TWICE")
def _() -> None:
    assert "TWICE" in explore(10, probes=False)[1]
