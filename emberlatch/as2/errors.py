"""Errors of received messages, with the modifier that is reported to the sender."""

from __future__ import annotations

from enum import StrEnum


class Modifier(StrEnum):
    """The error modifiers of a disposition (RFC 4130, 7.5.3 and 7.5.4; RFC 5402, 6)."""

    AUTHENTICATION = "authentication-failed"
    DECRYPTION = "decryption-failed"
    DECOMPRESSION = "decompression-failed"
    INTEGRITY = "integrity-check-failed"
    SECURITY = "insufficient-message-security"
    SAME_PARTY = "sender-equals-receiver"
    UNEXPECTED = "unexpected-processing-error"
    UNSUPPORTED = "unsupported format"


class As2Error(Exception):
    """A message that can't be accepted: `modifier` is reported to the sender, `cause` is never sent.

    An invalid signature and a content that can't be decrypted are reported with the same modifier. With
    two modifiers, the answers would be a padding oracle (RFC 8551, 6).
    """

    def __init__(self, modifier: Modifier, cause: str) -> None:
        super().__init__(f"{modifier}: {cause}")
        self.modifier, self.cause = modifier, cause

    def __reduce__(self) -> tuple[type[As2Error], tuple[str, ...]]:
        return type(self), (self.modifier, self.cause)


class MimeError(As2Error):
    """Data that can't be read as MIME."""

    def __init__(self, cause: str) -> None:
        super().__init__(Modifier.UNEXPECTED, cause)

    def __reduce__(self) -> tuple[type[As2Error], tuple[str, ...]]:
        return type(self), (self.cause,)
