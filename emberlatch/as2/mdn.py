"""Receipts: message disposition notifications (RFC 8098, 3798) as AS2 has them (RFC 4130, 7)."""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from dataclasses import dataclass

from emberlatch.as2 import mime, names
from emberlatch.as2.cms import DIGESTS, fold
from emberlatch.as2.errors import MimeError, Modifier
from emberlatch.as2.message import MICALG
from emberlatch.as2.mime import Entity

REPORT = "multipart/report"
NOTICE = "message/disposition-notification"
ASKED = "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, {}"
"""Disposition-Notification-Options where a signed receipt is wanted."""
MOST_TEXT = 1024  # characters that are kept of what is written for people

_DISPOSITION = re.compile(
    r"[A-Za-z-]{1,32}/[A-Za-z-]{1,32} ?; ?([A-Za-z-]{1,32})(?: ?/ ?([A-Za-z-]{1,32})(?: ?: ?(.{0,128}))?)?"
)


@dataclass(frozen=True, slots=True)
class Disposition:
    """What became of a message: `processed` or `failed`; `error`, `failure` or `warning`, and which."""

    type: str = "processed"
    modifier: str = ""
    text: str = ""

    def __str__(self) -> str:
        more = f"/{self.modifier}: {self.text}" if self.modifier else ""
        return f"automatic-action/MDN-sent-automatically; {self.type}{more}"

    @property
    def plain(self) -> str:
        """For people and the ledger: `processed`, `failed/failure: unsupported format`."""
        return self.type + (f"/{self.modifier}: {self.text}" if self.modifier else "")


PROCESSED = Disposition()
DUPLICATE = Disposition("processed", "warning", "duplicate-document")


def refusal(modifier: Modifier) -> Disposition:
    """The disposition that tells an error."""
    if modifier is Modifier.UNSUPPORTED:
        return Disposition("failed", "failure", modifier)
    return Disposition("processed", "error", modifier)


@dataclass(frozen=True, slots=True)
class Mdn:
    """A receipt as it was read; a MIC without a digest is none. `original` has no angle brackets."""

    original: str
    disposition: Disposition
    mic: bytes = b""
    digest: str = ""
    recipient: str = ""  # the AS2 name of the one that received
    text: str = ""


def build(mdn: Mdn) -> bytes:
    """The receipt as an entity; the same for the same receipt."""
    lines = [
        "Reporting-UA: emberlatch",
        f"Original-Recipient: rfc822; {names.quoted(mdn.recipient)}",
        f"Final-Recipient: rfc822; {names.quoted(mdn.recipient)}",
        f"Original-Message-ID: <{mdn.original}>",
        f"Disposition: {mdn.disposition}",
    ]
    if mdn.digest:
        lines.append(f"Received-Content-MIC: {base64.b64encode(mdn.mic).decode()}, {MICALG[mdn.digest]}")
    notice = "".join(f"{line}\r\n" for line in lines)
    human = mime.compose((("Content-Type", "text/plain; charset=us-ascii"),), _plain(mdn.text))
    machine = mime.compose((("Content-Type", NOTICE),), notice.encode("ascii", "replace"))
    boundary = f"elr-{hashlib.sha256(notice.encode()).hexdigest()[:40]}"
    kind = f'{REPORT}; report-type=disposition-notification; boundary="{boundary}"'
    return mime.compose((("Content-Type", kind),), mime.joined([human, machine], boundary))


def _plain(text: str) -> bytes:
    return (re.sub(r"[^ -~]", " ", text)[:MOST_TEXT] + "\r\n").encode("ascii")


def is_receipt(content: Entity) -> bool:
    """Whether a content is a receipt."""
    return content.type == REPORT and content.param("report-type").lower() == "disposition-notification"


def parse(content: Entity) -> Mdn:
    """Read a receipt that has no more layers; raises MimeError."""
    if not is_receipt(content):
        raise MimeError(f"no receipt but {content.type[:60]!r}")
    found = [mime.entity(part) for part in mime.parts(content)]
    notice = next((part for part in found if part.type == NOTICE), None)
    if notice is None:
        raise MimeError("a report without a disposition notification")
    fields = mime.entity(notice.content().rstrip() + b"\r\n\r\n")
    told = _DISPOSITION.fullmatch(re.sub(r"\s+", " ", fields.get("disposition").strip()))
    if told is None:
        raise MimeError(f"no disposition: {fields.get('disposition')[:60]!r}")
    mic, digest = _mic(fields.get("received-content-mic"))
    human = found[0].content()[:MOST_TEXT].decode("latin-1") if found[0].type == "text/plain" else ""
    return Mdn(
        names.message_id(fields.get("original-message-id")),
        Disposition(told[1].lower(), (told[2] or "").lower(), (told[3] or "").strip()),
        mic,
        digest,
        fields.get("final-recipient").partition(";")[2].strip(),
        human.strip(),
    )


def _mic(value: str) -> tuple[bytes, str]:
    """The MIC that a receipt tells and its digest; one that can't be read is none."""
    encoded, _, name = value.rpartition(",")
    try:
        mic = base64.b64decode(encoded.strip(), validate=True)
    except (binascii.Error, ValueError):
        return b"", ""
    return (mic, fold(name)) if mic and fold(name) in DIGESTS else (b"", "")


def wanted(options: str) -> tuple[bool, str]:
    """Whether a signed receipt is asked for, and with which digest (RFC 4130, 7.3)."""
    told: dict[str, list[str]] = {}
    for each in options[: mime.MOST_VALUE].split(";"):
        name, _, values = each.partition("=")
        told[name.strip().lower()] = [value.strip().lower() for value in values.split(",")]
    known = [fold(name) for name in told.get("signed-receipt-micalg", []) if fold(name) in DIGESTS]
    return "pkcs7-signature" in told.get("signed-receipt-protocol", []), next(iter(known), "sha256")
