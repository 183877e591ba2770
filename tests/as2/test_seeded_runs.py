"""A few seeded runs with AS2 partners, and planted bugs that the runs catch."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

import pytest

from emberlatch.as2 import carrier, evaluation, ledger
from emberlatch.as2.evaluation import ProcessingStatus, Verdict
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.front import As2Front
from emberlatch.as2.profile import OwnParty
from emberlatch.faults.as2 import As2Environment, run_as2_seed
from tests.as2.parties import identity

US = "http://127.0.0.1:4080/as2"
Plant = Callable[[], AbstractContextManager[Any]]


def own_identities() -> dict[str, OwnParty]:
    named = {name: OwnParty(name, identity(name)) for name in ("bank", "fund", "stranger")}
    return named | {"us": OwnParty("National Office", identity("us"), US)}


def run_seeds(first: int, count: int) -> Iterator[As2Environment]:
    for seed in range(first, first + count):
        yield run_as2_seed(seed, own_identities())


def test_seeded_runs_break_no_rule() -> None:
    completions = {"delivered": 0, "dead": 0, "bounced": 0}
    disputes = 0
    for environment in run_seeds(0, 24):
        assert not environment.breaches, (environment.seed, environment.breaches)
        for message in environment.messages.values():
            for _, _, result in message.completions:
                completions[result] += 1
        assert environment.side is not None
        disputes += len(environment.side.evidence.disputes())
    assert completions["delivered"] > 200 and completions["dead"] > 10 and disputes > 20, (
        completions,
        disputes,
    )


def test_runs_of_the_same_seed_are_equal() -> None:
    one, other = (run_as2_seed(3, own_identities()) for _ in range(2))
    assert one.loop.steps == other.loop.steps
    assert {n: t.completions for n, t in one.messages.items()} == {
        n: t.completions for n, t in other.messages.items()
    }


def any_status_refuses() -> AbstractContextManager[Any]:
    """Every HTTP status, also a proxy's 503, counts as proof that the partner processed nothing."""
    return patch.object(evaluation, "evaluate_status", lambda status: ProcessingStatus.REJECTED)


def any_error_is_a_refusal() -> AbstractContextManager[Any]:
    """An error during processing counts as an error before the content was read, which is a rejection."""
    return patch.object(evaluation, "_is_rejection", lambda disposition: disposition.modifier == "error")


def no_receipt_is_no_run() -> AbstractContextManager[Any]:
    """An unknown status counts as a rejection."""
    results = carrier.RESULT_OF_STATUS | {
        ProcessingStatus.UNKNOWN: carrier.RESULT_OF_STATUS[ProcessingStatus.REJECTED]
    }
    return patch.object(carrier, "RESULT_OF_STATUS", results)


def every_attempt_is_another_message() -> AbstractContextManager[Any]:
    real = carrier.As2Carrier._prepare

    async def prepare(self: Any, target: Any, call: Any) -> None:
        own = self._parties.own
        other = OwnParty(f"{own.name}{call.items[0].attempt}", own.identity, own.receipt_url)
        with patch.object(self._parties, "own", other):
            await real(self, target, call)

    return patch.object(carrier.As2Carrier, "_prepare", prepare)


def duplicates_are_new() -> AbstractContextManager[Any]:
    return patch.object(As2Front, "_find_known", lambda self, order: None)


def late_proofs_are_dropped() -> AbstractContextManager[Any]:
    real = Evidence.record_verdict

    def record_verdict(self: Any, message_id: str, verdict: Verdict, at: float, receipt: bytes = b"") -> None:
        record = self.find(message_id)
        if record is None or not record.final_state:
            real(self, message_id, verdict, at, receipt)

    return patch.object(Evidence, "record_verdict", record_verdict)


def contradictions_are_not_recorded() -> AbstractContextManager[Any]:
    return patch.object(ledger, "_compare_with_final_state", lambda record: None)


def one_partner_may_take_all_leases() -> AbstractContextManager[Any]:
    from emberlatch.core.bulkhead import Bulkhead

    real = Bulkhead.__init__

    def init(self: Bulkhead, slots: int) -> None:
        real(self, slots)
        self.healthy_pool_limit = self.unhealthy_pool_limit = slots

    return patch.object(Bulkhead, "__init__", init)


PLANTED: list[Plant] = [
    any_status_refuses,
    any_error_is_a_refusal,
    no_receipt_is_no_run,
    every_attempt_is_another_message,
    duplicates_are_new,
    late_proofs_are_dropped,
    contradictions_are_not_recorded,
    one_partner_may_take_all_leases,
]


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_planted_bug_is_caught(plant: Plant) -> None:
    with plant():
        assert any(environment.breaches for environment in run_seeds(0, 60))
