"""AS2 names and Message-IDs (RFC 4130, 5.3.3 and 6.2; RFC 5322, 3.6.4)."""

from __future__ import annotations

import re

from emberlatch.as2.errors import MimeError

MAX_NAME_CHARACTERS = 128
MAX_MESSAGE_ID_CHARACTERS = 255  # the limit that RFC 4130 recommends; longer ones are rejected

_ATOM = re.compile(r"[\x21\x23-\x5b\x5d-\x7e]{1,128}")
_QUOTED = re.compile(r'"((?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])+)"')
_MESSAGE_ID = re.compile(r"<?([\x21-\x3b\x3d\x3f-\x7e]{1,253})>?")


def quoted(name: str) -> str:
    """Encode a name for AS2-From and AS2-To; raises ValueError if it is no valid AS2 name."""
    if _ATOM.fullmatch(name):
        return name
    if not 1 <= len(name) <= MAX_NAME_CHARACTERS or not all(" " <= c <= "~" for c in name):
        raise ValueError("must be 1 to 128 printable ASCII characters")
    return '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'


def unquoted(text: str) -> str:
    """Decode the name in AS2-From or AS2-To; raises MimeError."""
    text = text.strip()
    if _ATOM.fullmatch(text):
        return text
    if len(text) <= 2 * MAX_NAME_CHARACTERS + 2 and (match := _QUOTED.fullmatch(text)):
        name = re.sub(r"\\(.)", r"\1", match[1])
        if len(name) <= MAX_NAME_CHARACTERS:
            return name
    raise MimeError(f"no AS2 name: {text[:40]!r}")


def message_id(text: str) -> str:
    """Return a Message-ID without angle brackets, which some senders omit; raises MimeError."""
    match = _MESSAGE_ID.fullmatch(text.strip()) if len(text) <= MAX_MESSAGE_ID_CHARACTERS + 64 else None
    if match is None:
        raise MimeError(f"no Message-ID: {text[:40]!r}")
    return match[1]
