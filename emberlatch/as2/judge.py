"""What an attempt over AS2 came to, by what came back: decided here alone, without sockets, clocks or keys.

Three things can be known of a message: the partner processed it, the partner refused it before anything
could happen, or neither. Only a receipt that speaks for this message, is authenticated as the partner's
profile asks, and names the content by its MIC, proves that it ran; only a disposition that says that the
content was never reached proves that it did not.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import StrEnum

from emberlatch.as2.errors import Modifier
from emberlatch.as2.mdn import Disposition, Mdn


class Said(StrEnum):
    """What a receipt or an answer proves."""

    PROCESSED = "processed"
    REFUSED = "refused"  # never ran
    UNKNOWN = "unknown"  # may have run


@dataclass(frozen=True, slots=True)
class Expected:
    """What a receipt for a message has to say."""

    original: str
    mic: bytes
    digest: str
    signed: bool  # whether it has to be signed


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known, and what there is to argue about; empty for nothing."""

    said: Said
    dispute: str = ""


# Errors that say that the content was not come by (RFC 4130, 7.5.3 and 7.5.4; RFC 5402, 6). A failure in
# processing (`unexpected-processing-error`) may come after an effect, and so may what is not known here.
NEVER_REACHED = frozenset(
    {
        Modifier.AUTHENTICATION,
        Modifier.DECRYPTION,
        Modifier.DECOMPRESSION,
        Modifier.INTEGRITY,
        Modifier.SECURITY,
        Modifier.SAME_PARTY,
    }
)
UNSUPPORTED = frozenset({"unsupported format", "unsupported mic-algorithms"})

# Statuses that are given by the head of a request alone. A 503 of a proxy may come after the partner's work,
# and so may any 5xx; a 400 or 403 may be the application's own.
TURNED_AWAY = frozenset({401, 404, 405, 411, 413, 414, 415, 421, 426, 429, 431})


def of_status(status: int) -> Said:
    """What an HTTP status without a receipt proves."""
    return Said.REFUSED if status in TURNED_AWAY else Said.UNKNOWN


def of_receipt(expected: Expected, mdn: Mdn, signed: bool) -> Verdict:
    """What a receipt proves of a message; `signed` if a signature of the partner holds."""
    if mdn.original != expected.original:
        return Verdict(Said.UNKNOWN, f"receipt for another message: {mdn.original[:80]}")
    if expected.signed and not signed:
        return Verdict(Said.UNKNOWN, f"receipt without a signature: {mdn.disposition.plain}")
    if _refuses(mdn.disposition):
        return Verdict(Said.REFUSED)
    if mdn.disposition.type != "processed" or mdn.disposition.modifier not in ("", "warning"):
        return Verdict(Said.UNKNOWN, f"told {mdn.disposition.plain}")
    if not mdn.digest:
        return Verdict(Said.UNKNOWN, "receipt without a MIC")
    if mdn.digest != expected.digest:
        return Verdict(Said.UNKNOWN, f"MIC by {mdn.digest} though {expected.digest} was asked for")
    if not hmac.compare_digest(mdn.mic, expected.mic):
        return Verdict(Said.UNKNOWN, "MIC of another content")
    return Verdict(Said.PROCESSED)


def _refuses(told: Disposition) -> bool:
    text = told.text.lower()
    if told.type == "failed":
        return told.modifier == "failure" and text in UNSUPPORTED
    return told.type == "processed" and told.modifier == "error" and text in NEVER_REACHED
