"""What receipts prove, and what there is to argue about."""

from __future__ import annotations

from dataclasses import replace

import pytest

from emberlatch.as2 import ledger
from emberlatch.as2.errors import Modifier
from emberlatch.as2.evaluation import Expected, ProcessingStatus, Verdict, evaluate_receipt, evaluate_status
from emberlatch.as2.ledger import Record
from emberlatch.as2.mdn import DUPLICATE, PROCESSED, Disposition, Mdn, error_disposition

EXPECTED = Expected("one@us", b"mic", "sha256", signed=True)
GOOD = Mdn("one@us", PROCESSED, b"mic", "sha256")


def test_a_signed_receipt_with_the_mic_proves_that_it_ran() -> None:
    assert evaluate_receipt(EXPECTED, GOOD, signed=True) == Verdict(ProcessingStatus.PROCESSED)
    again = replace(GOOD, disposition=DUPLICATE)
    assert evaluate_receipt(EXPECTED, again, signed=True) == Verdict(ProcessingStatus.PROCESSED)


@pytest.mark.parametrize(
    ("mdn", "signed"),
    [
        (GOOD, False),
        (replace(GOOD, message_id="two@us"), True),
        (replace(GOOD, mic=b"mac"), True),
        (replace(GOOD, mic=b"", digest=""), True),
        (replace(GOOD, digest="sha1"), True),
        (replace(GOOD, disposition=Disposition("dispatched")), True),
        (replace(GOOD, disposition=Disposition("failed", "failure", "out of paper")), True),
        (replace(GOOD, disposition=error_disposition(Modifier.UNEXPECTED)), True),
        (replace(GOOD, disposition=error_disposition(Modifier.DECRYPTION)), False),
        (replace(GOOD, disposition=Disposition("processed", "error", "sorry")), True),
        (replace(GOOD, disposition=Disposition("processed", "warning", "x"), mic=b"mac"), True),
    ],
)
def test_anything_less_leaves_it_open_and_is_a_dispute(mdn: Mdn, signed: bool) -> None:
    verdict = evaluate_receipt(EXPECTED, mdn, signed)
    assert verdict.status is ProcessingStatus.UNKNOWN and verdict.dispute


def test_an_unsigned_receipt_counts_where_no_signature_is_asked_for() -> None:
    assert (
        evaluate_receipt(replace(EXPECTED, signed=False), GOOD, signed=False).status
        is ProcessingStatus.PROCESSED
    )


@pytest.mark.parametrize("modifier", sorted(set(Modifier) - {Modifier.UNEXPECTED}))
def test_errors_ahead_of_the_content_prove_that_it_never_ran(modifier: Modifier) -> None:
    receipt = Mdn("one@us", error_disposition(modifier))
    assert evaluate_receipt(EXPECTED, receipt, signed=True) == Verdict(ProcessingStatus.REJECTED)


def test_only_statuses_given_by_the_head_prove_that_it_never_ran() -> None:
    assert {status for status in range(200, 600) if evaluate_status(status) is ProcessingStatus.REJECTED} == {
        *(401, 404, 405, 411, 413, 414, 415, 421, 426, 429, 431)
    }


def record() -> Record:
    made = Record("one@us", 1, "m1", "bank", "00", "sha256", 100.0)
    ledger.add_attempt(made, 0, "a")
    return made


def test_a_receipt_after_the_end_changes_no_end() -> None:
    one = record()
    ledger.set_final_state(one, "failed", 120.0)
    assert not ledger.is_expired(one, 130.0, 3600)
    assert ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 140.0, "evidence")
    assert one.final_state == "failed" and one.disputes == ["ended failed, yet the partner processed it"]
    assert one.receipts == ["evidence"]
    assert not ledger.is_expired(one, 1e9, 3600)  # a dispute is for people to close


def test_the_reverse_is_a_dispute_too() -> None:
    one = record()
    ledger.set_final_state(one, "delivered", 120.0)
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 140.0)
    assert one.disputes == ["ended delivered, yet the partner refused it"]


def test_the_same_receipt_twice_says_nothing_new() -> None:
    one = record()
    assert ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 101.0)
    assert not ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 102.0, "again")
    assert not one.disputes and not one.receipts and one.status_at == 101.0


def test_two_receipts_that_differ_are_a_dispute_and_the_first_stands() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 101.0)
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 102.0, "other")
    assert one.status == "processed" and one.receipts == ["other"]
    assert one.disputes == ["receipts contradict each other: processed, then refused"]
    other = record()
    ledger.add_verdict(other, Verdict(ProcessingStatus.REJECTED), 101.0)
    ledger.add_verdict(other, Verdict(ProcessingStatus.PROCESSED), 102.0)
    assert other.disputes


def test_refused_at_first_and_processed_at_a_repeat_is_none() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 101.0)
    ledger.add_attempt(one, 1, "b")
    ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 103.0)
    ledger.set_final_state(one, "delivered", 103.0)
    assert one.status == "processed" and not one.disputes and ledger.is_expired(one, 103.0 + 601, 3600)


def test_without_a_receipt_it_is_remembered_for_so_long() -> None:
    one = record()
    ledger.set_final_state(one, "failed", 120.0)
    assert not ledger.is_expired(one, 120.0 + 3600, 3600) and ledger.is_expired(one, 121.0 + 3600, 3600)


def test_disputes_and_receipts_of_one_message_are_bounded() -> None:
    one = record()
    for number in range(100):
        ledger.add_verdict(
            one, Verdict(ProcessingStatus.UNKNOWN, f"reason {number}"), 101.0, f"receipt {number}"
        )
    assert len(one.disputes) == ledger.MAX_DISPUTES and len(one.receipts) == ledger.MAX_RECEIPTS


def test_a_record_is_read_as_it_was_written() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.UNKNOWN, "MIC of another content"), 101.0, "e")
    assert ledger.read(one.document()) == one
