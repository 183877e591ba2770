"""What receipts prove of a message, and which of them cause disputes."""

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


def test_signed_receipt_with_expected_mic_proves_processing() -> None:
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
def test_insufficient_receipt_leaves_status_unknown_and_causes_dispute(mdn: Mdn, signed: bool) -> None:
    verdict = evaluate_receipt(EXPECTED, mdn, signed)
    assert verdict.status is ProcessingStatus.UNKNOWN and verdict.dispute


def test_unsigned_receipt_proves_processing_if_no_signature_is_required() -> None:
    assert (
        evaluate_receipt(replace(EXPECTED, signed=False), GOOD, signed=False).status
        is ProcessingStatus.PROCESSED
    )


@pytest.mark.parametrize("modifier", sorted(set(Modifier) - {Modifier.UNEXPECTED}))
def test_error_before_content_is_read_proves_rejection(modifier: Modifier) -> None:
    receipt = Mdn("one@us", error_disposition(modifier))
    assert evaluate_receipt(EXPECTED, receipt, signed=True) == Verdict(ProcessingStatus.REJECTED)


def test_only_http_statuses_decided_by_the_request_head_prove_rejection() -> None:
    assert {status for status in range(200, 600) if evaluate_status(status) is ProcessingStatus.REJECTED} == {
        *(401, 404, 405, 411, 413, 414, 415, 421, 426, 429, 431)
    }


def record() -> Record:
    made = Record("one@us", 1, "m1", "bank", "00", "sha256", 100.0)
    ledger.add_attempt(made, 0, "a")
    return made


def test_receipt_after_final_state_keeps_it_and_causes_dispute() -> None:
    one = record()
    ledger.set_final_state(one, "failed", 120.0)
    assert not ledger.is_expired(one, 130.0, 3600)
    assert ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 140.0, "evidence")
    assert one.final_state == "failed" and one.disputes == ["ended failed, yet the partner processed it"]
    assert one.receipts == ["evidence"]
    assert not ledger.is_expired(one, 1e9, 3600)  # A record with a dispute never expires.


def test_rejection_after_delivery_causes_dispute() -> None:
    one = record()
    ledger.set_final_state(one, "delivered", 120.0)
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 140.0)
    assert one.disputes == ["ended delivered, yet the partner refused it"]


def test_duplicate_receipt_changes_nothing() -> None:
    one = record()
    assert ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 101.0)
    assert not ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 102.0, "again")
    assert not one.disputes and not one.receipts and one.status_at == 101.0


def test_contradicting_receipts_cause_dispute_and_first_status_is_kept() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 101.0)
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 102.0, "other")
    assert one.status == "processed" and one.receipts == ["other"]
    assert one.disputes == ["receipts contradict each other: processed, then refused"]
    other = record()
    ledger.add_verdict(other, Verdict(ProcessingStatus.REJECTED), 101.0)
    ledger.add_verdict(other, Verdict(ProcessingStatus.PROCESSED), 102.0)
    assert other.disputes


def test_processed_attempt_after_rejected_attempt_causes_no_dispute() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.REJECTED), 101.0)
    ledger.add_attempt(one, 1, "b")
    ledger.add_verdict(one, Verdict(ProcessingStatus.PROCESSED), 103.0)
    ledger.set_final_state(one, "delivered", 103.0)
    assert one.status == "processed" and not one.disputes and ledger.is_expired(one, 103.0 + 601, 3600)


def test_record_without_receipt_expires_after_retention() -> None:
    one = record()
    ledger.set_final_state(one, "failed", 120.0)
    assert not ledger.is_expired(one, 120.0 + 3600, 3600) and ledger.is_expired(one, 121.0 + 3600, 3600)


def test_disputes_and_receipts_of_one_message_are_limited() -> None:
    one = record()
    for number in range(100):
        ledger.add_verdict(
            one, Verdict(ProcessingStatus.UNKNOWN, f"reason {number}"), 101.0, f"receipt {number}"
        )
    assert len(one.disputes) == ledger.MAX_DISPUTES and len(one.receipts) == ledger.MAX_RECEIPTS


def test_decoded_record_equals_encoded_record() -> None:
    one = record()
    ledger.add_verdict(one, Verdict(ProcessingStatus.UNKNOWN, "MIC of another content"), 101.0, "e")
    assert ledger.read(one.document()) == one
