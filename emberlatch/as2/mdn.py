"""Receipts: message disposition notifications (RFC 8098, 3798) as AS2 uses them (RFC 4130, 7)."""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from dataclasses import dataclass

from emberlatch.as2 import mime, names
from emberlatch.as2.cms import DIGESTS, normalized_digest
from emberlatch.as2.errors import MimeError, Modifier
from emberlatch.as2.message import MICALG_NAMES
from emberlatch.as2.mime import Entity

REPORT = "multipart/report"
NOTIFICATION = "message/disposition-notification"
SIGNED_RECEIPT_OPTIONS = (
    "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, {}"
)
"""The Disposition-Notification-Options that request a signed receipt."""
MAX_TEXT_CHARACTERS = 1024  # limit of the human-readable part of a receipt

_DISPOSITION = re.compile(
    r"[A-Za-z-]{1,32}/[A-Za-z-]{1,32} ?; ?([A-Za-z-]{1,32})(?: ?/ ?([A-Za-z-]{1,32})(?: ?: ?(.{0,128}))?)?"
)


@dataclass(frozen=True, slots=True)
class Disposition:
    """What became of a message.

    `type` is `processed` or `failed`; `modifier` is `error`, `failure`, `warning` or empty; `text` names the
    error or warning.
    """

    type: str = "processed"
    modifier: str = ""
    text: str = ""

    def __str__(self) -> str:
        more = f"/{self.modifier}: {self.text}" if self.modifier else ""
        return f"automatic-action/MDN-sent-automatically; {self.type}{more}"

    @property
    def short_form(self) -> str:
        """The short form for operators and the ledger, for example `failed/failure: unsupported format`."""
        return self.type + (f"/{self.modifier}: {self.text}" if self.modifier else "")


PROCESSED = Disposition()
DUPLICATE = Disposition("processed", "warning", "duplicate-document")


def error_disposition(modifier: Modifier) -> Disposition:
    """Return the disposition that reports an error."""
    if modifier is Modifier.UNSUPPORTED:
        return Disposition("failed", "failure", modifier)
    return Disposition("processed", "error", modifier)


@dataclass(frozen=True, slots=True)
class Mdn:
    """The contents of a receipt; it has no valid MIC if `digest` is empty."""

    message_id: str  # Message-ID of the message that was received, without angle brackets
    disposition: Disposition
    mic: bytes = b""
    digest: str = ""
    recipient: str = ""  # the AS2 name of the party that received the message
    text: str = ""


def build(mdn: Mdn) -> bytes:
    """Encode a receipt as a MIME entity; equal receipts result in equal bytes."""
    lines = [
        "Reporting-UA: emberlatch",
        f"Original-Recipient: rfc822; {names.quoted(mdn.recipient)}",
        f"Final-Recipient: rfc822; {names.quoted(mdn.recipient)}",
        f"Original-Message-ID: <{mdn.message_id}>",
        f"Disposition: {mdn.disposition}",
    ]
    if mdn.digest:
        lines.append(
            f"Received-Content-MIC: {base64.b64encode(mdn.mic).decode()}, {MICALG_NAMES[mdn.digest]}"
        )
    notification = "".join(f"{line}\r\n" for line in lines)
    human = mime.compose((("Content-Type", "text/plain; charset=us-ascii"),), _human_text(mdn.text))
    machine = mime.compose((("Content-Type", NOTIFICATION),), notification.encode("ascii", "replace"))
    boundary = f"elr-{hashlib.sha256(notification.encode()).hexdigest()[:40]}"
    kind = f'{REPORT}; report-type=disposition-notification; boundary="{boundary}"'
    return mime.compose((("Content-Type", kind),), mime.join_parts([human, machine], boundary))


def _human_text(text: str) -> bytes:
    return (re.sub(r"[^ -~]", " ", text)[:MAX_TEXT_CHARACTERS] + "\r\n").encode("ascii")


def is_receipt(content: Entity) -> bool:
    """Whether an entity is a receipt."""
    return content.type == REPORT and content.param("report-type").lower() == "disposition-notification"


def parse(content: Entity) -> Mdn:
    """Parse a receipt whose layers have been removed; raises MimeError."""
    if not is_receipt(content):
        raise MimeError(f"no receipt but {content.type[:60]!r}")
    found = [mime.parse_entity(part) for part in mime.parts(content)]
    notification = next((part for part in found if part.type == NOTIFICATION), None)
    if notification is None:
        raise MimeError("a report without a disposition notification")
    fields = mime.parse_entity(notification.content().rstrip() + b"\r\n\r\n")
    match = _DISPOSITION.fullmatch(re.sub(r"\s+", " ", fields.get("disposition").strip()))
    if match is None:
        raise MimeError(f"no disposition: {fields.get('disposition')[:60]!r}")
    mic, digest = _mic(fields.get("received-content-mic"))
    human = (
        found[0].content()[:MAX_TEXT_CHARACTERS].decode("latin-1") if found[0].type == "text/plain" else ""
    )
    return Mdn(
        names.message_id(fields.get("original-message-id")),
        Disposition(match[1].lower(), (match[2] or "").lower(), (match[3] or "").strip()),
        mic,
        digest,
        fields.get("final-recipient").partition(";")[2].strip(),
        human.strip(),
    )


def _mic(value: str) -> tuple[bytes, str]:
    """Decode a receipt's MIC and the name of its digest; both are empty if the value can't be read."""
    encoded, _, name = value.rpartition(",")
    try:
        mic = base64.b64decode(encoded.strip(), validate=True)
    except (binascii.Error, ValueError):
        return b"", ""
    digest = normalized_digest(name)
    return (mic, digest) if mic and digest in DIGESTS else (b"", "")


def receipt_options(options: str) -> tuple[bool, str]:
    """Return whether a signed receipt is requested, and with which digest (RFC 4130, 7.3)."""
    parameters: dict[str, list[str]] = {}
    for each in options[: mime.MAX_VALUE_CHARACTERS].split(";"):
        name, _, values = each.partition("=")
        parameters[name.strip().lower()] = [value.strip().lower() for value in values.split(",")]
    digests = (normalized_digest(name) for name in parameters.get("signed-receipt-micalg", []))
    digest = next((digest for digest in digests if digest in DIGESTS), "sha256")
    return "pkcs7-signature" in parameters.get("signed-receipt-protocol", []), digest
