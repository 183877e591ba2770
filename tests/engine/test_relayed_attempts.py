"""Relayed attempts: each is kept until its outcome arrives, and counts as reset when the relay ends."""

from __future__ import annotations

from emberlatch.core import interface as api
from emberlatch.engine.relayed_attempts import RelayedAttempts


def test_attempts_without_an_outcome_get_a_reset_outcome() -> None:
    relayed = RelayedAttempts()
    assert not relayed and relayed.as_reset() == []
    relayed.start([(1, 0, b"a"), (2, 3, b"b")])
    assert (2, 3) in relayed and (2, 2) not in relayed
    relayed.discard(api.Outcome(1, 0, b"a", api.Result.OK, 0.1, is_final=True))
    relayed.discard(api.Outcome(9, 9, b"c", api.Result.OK, 0.1))  # not a relayed attempt
    (outcome,) = relayed.as_reset()
    assert (outcome.ref, outcome.attempt, outcome.target) == (2, 3, b"b")
    assert outcome.result is api.Result.RESET and not outcome.is_final
