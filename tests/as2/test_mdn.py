"""Receipts built by us and by other implementations."""

from __future__ import annotations

import base64

import pytest

from emberlatch.as2 import mdn, mime
from emberlatch.as2.errors import MimeError, Modifier
from emberlatch.as2.mdn import Disposition, Mdn

# Modelled on the example in RFC 4130, appendix A.2: folded fields, a SHA-1 MIC, several lines of text.
EXAMPLE = b"""Content-Type: multipart/report;\r
 report-type=disposition-notification;\r
 boundary="----=_Part_336_6069110.1034887086496"\r
\r
------=_Part_336_6069110.1034887086496\r
Content-Type: text/plain\r
Content-Transfer-Encoding: 7bit\r
\r
MDN for -\r
 Message ID: <200207310834482A70BF63@\\"~~foo~~\\">\r
 Status: processed\r
\r
------=_Part_336_6069110.1034887086496\r
Content-Type: message/disposition-notification\r
Content-Transfer-Encoding: 7bit\r
\r
Reporting-UA: AS2 Server\r
Original-Recipient: rfc822; 0123456780000\r
Final-Recipient: rfc822; 0123456780000\r
Original-Message-ID: <200207310834482A70BF63@\\"~~foo~~\\">\r
Received-content-MIC: 7v7F++fQaNB1sVLFtMRp+dF+eG4=, sha1\r
Disposition: automatic-action/MDN-sent-automatically;\r
 processed\r
\r
------=_Part_336_6069110.1034887086496--\r
"""


def test_receipt_like_the_example_of_rfc_4130_is_parsed() -> None:
    read = mdn.parse(mime.parse_entity(EXAMPLE))
    assert read.message_id == '200207310834482A70BF63@\\"~~foo~~\\"'
    assert read.disposition == Disposition("processed")
    assert (read.mic, read.digest) == (base64.b64decode("7v7F++fQaNB1sVLFtMRp+dF+eG4="), "sha1")
    assert read.recipient == "0123456780000" and read.text.startswith("MDN for")


@pytest.mark.parametrize(
    "receipt",
    [
        Mdn("a@b", mdn.PROCESSED, b"\x01\x02", "sha256", "bank", "taken on"),
        Mdn("a@b", mdn.DUPLICATE, b"\x01", "sha512", "bank", "again"),
        *(Mdn("a@b", mdn.error_disposition(modifier), recipient="bank") for modifier in Modifier),
    ],
)
def test_built_receipt_is_parsed_to_an_equal_receipt(receipt: Mdn) -> None:
    assert mdn.parse(mime.parse_entity(mdn.build(receipt))) == receipt
    assert mdn.build(receipt) == mdn.build(receipt)


def notification(fields: str) -> mime.Entity:
    human = b"Content-Type: text/plain\r\n\r\nx"
    machine = b"Content-Type: message/disposition-notification\r\n\r\n" + fields.encode()
    kind = 'multipart/report; report-type=disposition-notification; boundary="b"'
    return mime.make_entity((("Content-Type", kind),), mime.join_parts([human, machine], "b"))


@pytest.mark.parametrize(
    ("disposition", "found"),
    [
        ("automatic-action/MDN-sent-automatically;processed", Disposition("processed")),
        ("automatic-action/MDN-sent-automatically; processed/Error: decryption-failed", None),
        ("manual-action/MDN-sent-manually; Failed/Failure: unsupported format", None),
        ("a/b;  processed / warning :  duplicate-document ", None),
    ],
)
def test_unusual_spellings_of_dispositions_are_parsed(disposition: str, found: Disposition | None) -> None:
    read = mdn.parse(notification(f"Original-Message-ID: <a@b>\r\nDisposition: {disposition}\r\n"))
    if found is not None:
        assert read.disposition == found
    else:
        assert read.disposition.modifier in ("error", "failure", "warning") and read.disposition.text


@pytest.mark.parametrize(
    "fields",
    [
        "Original-Message-ID: <a@b>\r\n",
        "Disposition: a/b; processed\r\n",
        "Original-Message-ID: <a@b>\r\nDisposition: processed\r\n",
        "Original-Message-ID: <a@b>\r\nDisposition: a/b; " + "x" * 500 + "\r\n",
        "nothing",
        "",
    ],
)
def test_notification_with_missing_or_bad_fields_is_rejected(fields: str) -> None:
    with pytest.raises(MimeError):
        mdn.parse(notification(fields))


@pytest.mark.parametrize("mic", ["", "x", "AA==", "AA==, md5", "%%, sha256", ", sha256", "AA==, "])
def test_unreadable_mic_is_ignored(mic: str) -> None:
    fields = f"Original-Message-ID: <a@b>\r\nDisposition: a/b; processed\r\nReceived-Content-MIC: {mic}\r\n"
    assert mdn.parse(notification(fields)).digest == ""


def test_entity_that_is_no_receipt_is_rejected() -> None:
    for headers in (
        "text/plain",
        "multipart/report; boundary=b",
        "multipart/report; report-type=delivery-status",
    ):
        with pytest.raises(MimeError):
            mdn.parse(mime.make_entity((("Content-Type", headers),), b"x"))
    report = 'multipart/report; report-type=disposition-notification; boundary="b"'
    with pytest.raises(MimeError, match="without"):
        mdn.parse(mime.make_entity((("Content-Type", report),), mime.join_parts([b"\r\nx"], "b")))


@pytest.mark.parametrize(
    ("options", "found"),
    [
        (mdn.SIGNED_RECEIPT_OPTIONS.format("sha-256"), (True, "sha256")),
        ("signed-receipt-protocol=required,pkcs7-signature; signed-receipt-micalg=optional,md5,SHA512", None),
        ("", (False, "sha256")),
        ("signed-receipt-protocol; =; ;;;", (False, "sha256")),
    ],
)
def test_receipt_options_are_parsed(options: str, found: tuple[bool, str] | None) -> None:
    assert mdn.receipt_options(options) == (found or (True, "sha512"))


def test_human_readable_text_cannot_inject_headers() -> None:
    built = mdn.build(Mdn("a@b", mdn.PROCESSED, recipient="x", text="a\r\n\r\n--b\r\nX: y\x00ü"))
    assert mdn.parse(mime.parse_entity(built)).text == "a    --b  X: y"
