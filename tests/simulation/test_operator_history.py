"""The checker of operators' histories: it finds each planted violation, and accepts correct histories."""

from __future__ import annotations

import itertools
import random

import pytest

from emberlatch.simulation.operator_history import (
    NO_REVISION,
    CallKind,
    OperatorCall,
    OperatorHistory,
    Rule,
)


def replace(
    start: float, end: float | None, status: int | None, revision: int, digest: str = "a"
) -> OperatorCall:
    return OperatorCall(CallKind.REPLACE, "m0", start, end, status, revision, digest)


def read(start: float, end: float, revision: int, digest: str = "a") -> OperatorCall:
    return OperatorCall(CallKind.RETRIEVE, "m1", start, end, 200, revision, digest)


def rules(*calls: OperatorCall) -> set[Rule]:
    return {violation.rule for violation in OperatorHistory(calls).violations()}


PLANTED = {
    "two texts confirmed": (
        (replace(0, 1, 200, 5, "a"), replace(2, 3, 200, 5, "b")),
        {Rule.TWO_TEXTS},
    ),
    "two texts confirmed at once": (
        (replace(0, 3, 200, 5, "a"), replace(0, 3, 200, 5, "b")),
        {Rule.TWO_TEXTS},
    ),
    "two texts read": (
        (replace(0, None, None, 5, "a"), replace(0, None, None, 5, "b"), read(1, 2, 5), read(3, 4, 5, "b")),
        {Rule.TWO_TEXTS},
    ),
    "stale read": (
        (replace(0, 1, 200, 4), replace(2, 3, 200, 5), read(4, 5, 4)),
        {Rule.STALE_READ},
    ),
    "nothing read after a confirmation": (
        (replace(0, 1, 200, 4), read(2, 3, NO_REVISION, "")),
        {Rule.STALE_READ},
    ),
    "backward read": (
        (replace(0, 1, 200, 4), replace(2, 9, None, 5), read(3, 4, 5), read(5, 6, 4)),
        {Rule.BACKWARD_READ},
    ),
    "never sent": ((read(0, 1, 5),), {Rule.NEVER_SENT}),
    "another text than was sent": ((replace(0, 1, 503, 5, "a"), read(2, 3, 5, "b")), {Rule.NEVER_SENT}),
    "read before it was sent": ((read(0, 1, 5), replace(2, 3, 200, 5)), {Rule.NEVER_SENT}),
    "refused and read": ((replace(0, 1, 400, 5), read(2, 3, 5)), {Rule.REFUSED_READ}),
    "read, then refused": (
        (replace(0, None, None, 5), read(2, 3, 5), replace(4, 5, 409, 5)),
        {Rule.REFUSED_READ},
    ),
    "confirmed, then a resend refused": (
        (replace(0, 1, 200, 5), replace(2, 3, 409, 5)),
        {Rule.CONFIRMED_AND_REJECTED},
    ),
    "loser told that it stands": (
        (replace(0, None, None, 5, "a"), read(1, 2, 5, "a"), replace(0, 3, 200, 5, "b")),
        {Rule.LOSER_CONFIRMED},
    ),
    "first sent below what stood": (
        (replace(0, 2, 200, 7), replace(3, 4, 200, 5), read(1, 5, 5)),
        {Rule.OVERTAKEN_READ},
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_violation_is_found_in_any_order_of_calls(name: str) -> None:
    calls, expected = PLANTED[name]
    for order in itertools.permutations(calls):
        assert rules(*order) == expected


CORRECT = {
    "nothing": (),
    "read before anything": (read(0, 1, NO_REVISION, ""),),
    "change and read": (replace(0, 1, 200, 5), read(2, 3, 5)),
    "unclear and read": (replace(0, 1, 503, 5), read(2, 3, 5)),
    "unclear and never read": (replace(0, 1, 200, 4), replace(2, 3, 503, 5), read(4, 5, 4)),
    "unclear, and in force only later": (
        replace(0, 1, 200, 4),
        replace(2, None, None, 5),
        read(4, 5, 4),
        read(6, 7, 5),
    ),
    "unclear, then confirmed by a resend": (
        replace(0, None, None, 5),
        replace(2, 3, 200, 5),
        replace(9, 10, 200, 5),
        read(11, 12, 5),
    ),
    "loser refused": (replace(0, 2, 200, 5, "a"), replace(0, 2, 409, 5, "b"), read(3, 4, 5, "a")),
    "loser unclear": (replace(0, 2, 200, 5, "a"), replace(0, 2, 503, 5, "b"), read(3, 4, 5, "a")),
    "confirmed below what stands": (replace(0, 1, 200, 7), replace(2, 3, 200, 5, "b"), read(4, 5, 7)),
    "read beside a change, either way": (
        replace(0, 1, 200, 4),
        replace(2, 6, 200, 5),
        read(3, 5, 4),
        read(3, 5, 5),
    ),
    "reads that overlap may go either way": (
        replace(0, 1, 200, 4),
        replace(2, None, None, 5),
        read(3, 6, 5),
        read(5, 7, 4),
    ),
    "too long ago to tell": (replace(0, 1, 200, 5), replace(2, 3, 410, 5)),
    "read that was answered 503": (
        replace(0, 1, 200, 5),
        OperatorCall(CallKind.RETRIEVE, "m1", 2, 3, 503),
    ),
}


@pytest.mark.parametrize("name", CORRECT)
def test_a_correct_history_has_no_violation(name: str) -> None:
    assert rules(*CORRECT[name]) == set()


def _is_linearizable(calls: tuple[OperatorCall, ...]) -> bool:
    """Return whether any order of the calls is a linearization.

    A change without an answer may be omitted, or may take effect at any later time.
    """
    clear = [call for call in calls if call.confirmed]
    unclear = [call for call in calls if call.kind is CallKind.REPLACE and call.status is None]
    for count in range(len(unclear) + 1):
        for some in itertools.combinations(unclear, count):
            if any(_is_linearization(order) for order in itertools.permutations([*clear, *some])):
                return True
    return False


def _is_linearization(order: tuple[OperatorCall, ...]) -> bool:
    for index, call in enumerate(order):
        if any(later.end is not None and later.end < call.start for later in order[index + 1 :]):
            return False
    value = NO_REVISION
    for call in order:
        if call.kind is CallKind.REPLACE:
            value = max(value, call.revision)
        elif call.revision != value:
            return False
    return True


def _draw_history(rng: random.Random) -> tuple[OperatorCall, ...]:
    calls: list[OperatorCall] = []
    for _ in range(rng.randrange(2, 6)):
        start = rng.randrange(8)
        end, revision = start + rng.randrange(1, 6), rng.randrange(3)
        if rng.random() < 0.5:
            calls.append(read(start, end, *rng.choice(((NO_REVISION, ""), (revision, "a")))))
        elif rng.random() < 0.6:
            calls.append(replace(start, end, 200, revision))
        else:
            calls.append(replace(start, None, None, revision))
    return tuple(calls)


def test_the_rules_agree_with_a_search_for_a_linearization() -> None:
    """Small random histories, with one text for each revision, are checked by a search of all orders."""
    rng = random.Random(1)
    verdicts = set()
    for _ in range(1500):
        calls = _draw_history(rng)
        expected = _is_linearizable(calls)
        assert (rules(*calls) == set()) == expected, calls
        verdicts.add(expected)
    assert verdicts == {True, False}
