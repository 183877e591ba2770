"""Evaluates what an HTTP answer or a receipt proves of a message; uses no sockets, clocks or keys.

There are three cases: the partner processed the message, the partner rejected it before it could have an
effect, or neither is proved. A receipt proves that the message was processed only if it refers to this
message, is authenticated as the partner's profile requires, and has the MIC of its content. A receipt proves
that the message was rejected only if its disposition says that the content was never reached.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import StrEnum

from emberlatch.as2.errors import Modifier
from emberlatch.as2.mdn import Disposition, Mdn


class ProcessingStatus(StrEnum):
    """What a receipt or an answer proves of a message. The values are stored and shown to operators."""

    PROCESSED = "processed"
    REJECTED = "refused"  # certainly not processed
    UNKNOWN = "unknown"  # may have been processed


@dataclass(frozen=True, slots=True)
class Expected:
    """What a receipt for a message has to contain."""

    message_id: str
    mic: bytes
    digest: str
    signed: bool  # whether the receipt has to be signed


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is proved, and the reason for a dispute; the reason is empty if there is no dispute."""

    status: ProcessingStatus
    dispute: str = ""


# Errors which prove that the partner never read the content (RFC 4130, 7.5.3 and 7.5.4; RFC 5402, 6). An
# `unexpected-processing-error` may occur after the message had an effect, and so may any error not listed.
ERRORS_BEFORE_CONTENT = frozenset(
    {
        Modifier.AUTHENTICATION,
        Modifier.DECRYPTION,
        Modifier.DECOMPRESSION,
        Modifier.INTEGRITY,
        Modifier.SECURITY,
        Modifier.SAME_PARTY,
    }
)
UNSUPPORTED_TEXTS = frozenset({"unsupported format", "unsupported mic-algorithms"})

# Statuses that a server returns after it has read only the head of a request. A proxy's 503, like any 5xx,
# may be sent after the partner has processed the message; a 400 or 403 may come from the application itself.
REJECTING_STATUSES = frozenset({401, 404, 405, 411, 413, 414, 415, 421, 426, 429, 431})


def evaluate_status(status: int) -> ProcessingStatus:
    """Return what an HTTP status without a receipt proves."""
    return ProcessingStatus.REJECTED if status in REJECTING_STATUSES else ProcessingStatus.UNKNOWN


def evaluate_receipt(expected: Expected, mdn: Mdn, signed: bool) -> Verdict:
    """Return what a receipt proves of a message.

    `signed` says whether the receipt has a valid signature of the partner.
    """
    if mdn.message_id != expected.message_id:
        return Verdict(ProcessingStatus.UNKNOWN, f"receipt for another message: {mdn.message_id[:80]}")
    if expected.signed and not signed:
        return Verdict(ProcessingStatus.UNKNOWN, f"receipt without a signature: {mdn.disposition.short_form}")
    if _is_rejection(mdn.disposition):
        return Verdict(ProcessingStatus.REJECTED)
    if mdn.disposition.type != "processed" or mdn.disposition.modifier not in ("", "warning"):
        # The ledger stores this text: it must not change.
        return Verdict(ProcessingStatus.UNKNOWN, f"told {mdn.disposition.short_form}")
    if not mdn.digest:
        return Verdict(ProcessingStatus.UNKNOWN, "receipt without a MIC")
    if mdn.digest != expected.digest:
        return Verdict(
            ProcessingStatus.UNKNOWN, f"MIC by {mdn.digest} though {expected.digest} was asked for"
        )
    if not hmac.compare_digest(mdn.mic, expected.mic):
        return Verdict(ProcessingStatus.UNKNOWN, "MIC of another content")
    return Verdict(ProcessingStatus.PROCESSED)


def _is_rejection(disposition: Disposition) -> bool:
    text = disposition.text.lower()
    if disposition.type == "failed":
        return disposition.modifier == "failure" and text in UNSUPPORTED_TEXTS
    return (
        disposition.type == "processed" and disposition.modifier == "error" and text in ERRORS_BEFORE_CONTENT
    )
